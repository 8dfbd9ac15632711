#!/usr/bin/env bash
# Plays the kept seeds of the soak with real daemons. Usage: run.sh BIN_DIR
set -uo pipefail
bin=$(cd "$1" && pwd)
cd "$(dirname "${BASH_SOURCE[0]}")" || exit 1
failures=0
while read -r seed seconds _; do
    case $seed in '' | '#'*) continue ;; esac
    folder=$(mktemp -d)
    if "$bin/redwingwheel-soak" --programs "$bin" --folder "$folder" --seed "$seed" \
        --seconds "${seconds%:}" --port 24000; then
        rm -rf "$folder"
    else
        echo "FAILED: seed $seed; data and logs are in $folder"
        failures=$((failures + 1))
    fi
done < seeds
[ "$failures" -eq 0 ]
