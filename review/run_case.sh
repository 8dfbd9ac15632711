#!/usr/bin/env bash
# Runs one scenario for review/N/run.sh. Usage: run_case.sh SCENARIO FOLDER TROUBLE
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
export TROUBLE=$3
repository=$(cd "$(dirname "$0")/.." && pwd)
program=$repository/target/review/scenario
if [ ! -x "$program" ] || [ ! -x "$repository/target/bin/redwingwheeld" ]; then
    echo "build first: the line in deploy/system.toml, then review/build.sh" >&2
    exit 2
fi
timeout --kill-after=3 115 "$program" "$1" "$repository" "$2/record.txt"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
