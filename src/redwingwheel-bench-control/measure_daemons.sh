#!/usr/bin/env bash
# Starts the inspector example on loopback and prints, for each daemon, its share of a core over
# SECONDS without work, its resident memory and its thread count.
# Usage: measure_daemons.sh BIN_DIR [SECONDS [BASE_PORT]]
set -euo pipefail
cd "$(dirname "$0")/../.."
source examples/deployment.sh

length=${2:-20}
trap deployment_kill EXIT
deployment_configure "$(cd "$1" && pwd)" inspector run/measure-daemons "${3:-23000}"
deployment_start
deployment_ready
ctl ops release apply examples/inspector/release-note.yaml --wait > /dev/null
sleep 3

ticks_per_second=$(getconf CLK_TCK)
# User and system time of a process, in clock ticks.
ticks_of() { sed 's/^.*) //' "/proc/$1/stat" | awk '{print $12 + $13}'; }
field_of() { awk -v key="$2:" '$1 == key {print $2}' "/proc/$1/status"; }

declare -A before=()
names=("${control_names[@]}" "${worker_names[@]}")
for name in "${names[@]}"; do before[$name]=$(ticks_of "${process_ids[$name]}"); done
sleep "$length"
printf '%-12s %10s %10s %10s %8s\n' process core_share rss_kb peak_kb threads
for name in "${names[@]}"; do
    id=${process_ids[$name]}
    share=$(awk -v t="$(($(ticks_of "$id") - before[$name]))" -v hz="$ticks_per_second" \
        -v s="$length" 'BEGIN {printf "%.3f%%", 100 * t / hz / s}')
    printf '%-12s %10s %10s %10s %8s\n' "$name" "$share" "$(field_of "$id" VmRSS)" \
        "$(field_of "$id" VmHWM)" "$(field_of "$id" Threads)"
done
for index in "${!control_names[@]}"; do
    curl -sf "http://127.0.0.1:$((base_port + 20 + index))/metrics" \
        > "$deployment_dir/metrics-$index.txt"
done
deployment_stop
trap - EXIT
