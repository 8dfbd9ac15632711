#!/usr/bin/env bash
# Plays the standard days of the users' deployments, and days with other seeds, on the users' bench.
# usage: regress.sh FLEETBENCH SYSTEM_FOLDER [SITE[:HUNT_DAYS]...]
#   FLEETBENCH     path of the bench
#   SYSTEM_FOLDER  folder with the users' site files
#   SITE           site files below it; default: all of the present milestone
#   HUNT_DAYS      days with other seeds; default 8
# JOBS (default 2) days are played at the same time: a large deployment takes 200 processes a day.
# Exits with 1 when a gate fails, a rule is broken or the bench fails.
set -euo pipefail

if [ $# -lt 2 ] || [ ! -x "$1" ] || [ ! -d "$2" ]; then
    sed -n 's/^# \{0,1\}//; 2,9p' "$0" >&2
    exit 2
fi
bench=$(realpath "$1")
system=$(realpath "$2")
shift 2
sites=("$@")
if [ ${#sites[@]} -eq 0 ]; then
    sites=(further/stve-auction.toml:40 further-grown/stve-auction-grown.toml
        large/cosecha-lovalledor-large.toml grown/cosecha-lovalledor-grown.toml
        grown/srco-wheel-grown.toml)
fi
cd "$(dirname "$0")/../.."
report=$(mktemp)
trap 'rm -f "$report"' EXIT
status=0

# Arguments: a verb of the bench, a site file, further options.
play() {
    local verb=$1 site=$2
    shift 2
    echo "== $verb $site"
    "$bench" "$verb" "$system/$site" "$@" --jobs "${JOBS:-2}" --why "regression run" \
        > "$report" 2>&1 || status=1
    grep -v "is played, after" "$report" || true
    if grep -qE "GATE failed|, [1-9][0-9]* with a rule broken" "$report"; then
        status=1
    fi
}

for entry in "${sites[@]}"; do
    days=8
    if [[ $entry == *:* ]]; then
        days=${entry##*:}
    fi
    play score "${entry%%:*}"
    play hunt "${entry%%:*}" --days "$days"
done
exit $status
