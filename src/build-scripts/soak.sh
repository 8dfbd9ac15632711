#!/usr/bin/env bash
# Runs the soak on fresh seeds. Usage: soak.sh BIN_DIR SECONDS FIRST_SEED SEEDS
# FIRST_SEED 0 takes the time of day. Prints how to repeat a seed that fails.
set -uo pipefail
bin=$(cd "$1" && pwd)
seconds=$2
first=$3
[ "$first" -eq 0 ] && first=$(date +%s)
failures=0
for ((seed = first; seed < first + $4; ++seed)); do
    folder=$(mktemp -d)
    if "$bin/redwingwheel-soak" --programs "$bin" --folder "$folder" --seed "$seed" \
        --seconds "$seconds" > "$folder/soak.log" 2>&1; then
        tail -n 1 "$folder/soak.log"
        rm -rf "$folder"
    else
        grep -E '^(FAULT|seed|the deployment)' "$folder/soak.log"
        echo "FAILED: make soak SECONDS=$seconds SEED=$seed; data and logs are in $folder"
        failures=$((failures + 1))
    fi
done
echo "$4 seeds from $first, $failures failed"
[ "$failures" -eq 0 ]
