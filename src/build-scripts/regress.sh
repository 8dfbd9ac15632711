#!/usr/bin/env bash
# Plays the standard days of the users' deployments, and days with other seeds, on the users' bench.
# usage: regress.sh FLEETBENCH SYSTEM_FOLDER [SITE...]
#   FLEETBENCH     path of the bench
#   SYSTEM_FOLDER  folder with the users' site files
#   SITE           site files below it; default: all of the present milestone
# HUNT_DAYS (default 8) days are hunted on each site, JOBS (default 2) played at the same time: a
# large deployment takes 200 processes a day. Exits with 1 when a gate fails or a rule is broken.
set -euo pipefail

if [ $# -lt 2 ] || [ ! -x "$1" ] || [ ! -d "$2" ]; then
    sed -n 's/^# \{0,1\}//; 2,8p' "$0" >&2
    exit 2
fi
bench=$1
system=$2
shift 2
sites=("$@")
if [ ${#sites[@]} -eq 0 ]; then
    sites=(further/stve-auction.toml further-grown/stve-auction-grown.toml
        large/cosecha-lovalledor-large.toml grown/cosecha-lovalledor-grown.toml
        grown/srco-wheel-grown.toml)
fi
cd "$(dirname "$0")/../.."
report=$(mktemp)
trap 'rm -f "$report"' EXIT
status=0
for site in "${sites[@]}"; do
    for verb in score "hunt --days ${HUNT_DAYS:-8}"; do
        echo "== $verb $site"
        # shellcheck disable=SC2086
        "$bench" ${verb%% *} "$system/$site" $(echo "$verb" | cut -s -d' ' -f2-) \
            --jobs "${JOBS:-2}" --why "regression run" > "$report" 2>&1 || status=1
        grep -v "is played, after" "$report" || true
        if grep -qE "GATE failed|[, ][1-9][0-9]* with a rule broken" "$report"; then
            status=1
        fi
    done
done
exit $status
