#!/usr/bin/env bash
# run.sh CASE FOLDER: plays a case with the daemon of the deploy file; TROUBLE=0: without the disruption.
repository=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
lab=$repository/target/review-2/review-lab
daemon=$repository/target/bin/redwingwheeld
[ -x "$lab" ] && [ -x "$daemon" ] || { echo "build first: the line in deploy/system.toml, then review/build-2.sh" >&2; exit 2; }
exec timeout -k 5 118 "$lab" "$1" "$daemon" "$repository" "$2/record.txt" "${TROUBLE:-1}"
