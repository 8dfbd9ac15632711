#!/usr/bin/env bash
# Measures a deployment of the first example on loopback with redwingwheel-load, prints a table and
# the goals, and leaves JSON lines and logs in a new folder. Usage: bench_load.sh BIN_DIR [SECONDS]
# Exit status 1 means a wrong or lost answer, a double execution or a process that ended by itself;
# a missed goal is only printed.
set -euo pipefail
cd "$(dirname "$0")/../.."
source examples/deployment.sh

bin_given=$(cd "$1" && pwd)
seconds=${2:-8}
account=mercado-central
seed=1
out=$(mktemp -d)
lines=$out/load.jsonl
faults=0
# 88 slots of 100 ms. Shorter requests would make the processors of one host the limit before the
# slots are, and then the run would measure the load tool and the stand-ins as well.
slow_ms=100
capacity=$((11 * 8 * 1000 / slow_ms))
trap deployment_kill EXIT

backends() {
    local index
    for index in "${!worker_names[@]}"; do
        echo "127.0.0.1:$((base_port + 60 + index))"
    done
}
fault() { curl -sf -m 5 -d "$2" "http://$1/fault" > /dev/null; }
fault_all() {
    local backend
    for backend in $(backends); do
        fault "$backend" "$1"
    done
}
# value LABEL FIELD [SERVICE]: one figure of an earlier run.
value() {
    grep "\"label\":\"$1\",\"service\":\"${3:-all}\"" "$lines" | tail -1 |
        grep -o "\"$2\":[0-9.e+-]*" | cut -d: -f2
}
compute() { awk "BEGIN {printf \"%.3f\", $1}"; }
goal() {
    local verdict=missed
    awk "BEGIN {exit !($2)}" && verdict=met
    echo "goal: $1: $verdict"
    echo "{\"goal\":\"$1\",\"verdict\":\"$verdict\"}" >> "$lines"
}
# load LABEL OPTION...: one run of the load tool.
load() {
    local label=$1
    shift
    echo "== $label"
    "$bin_dir/redwingwheel-load" --seed "$seed" --label "$label" --json "$lines" "$@" ||
        { echo "$label: wrong or lost answers"; echo "$label" >> "$out/faults"; }
}
entry_load() {
    load "$@" "${entries[@]}" --token-file "$example_dir/tokens/$account.token" --keyed recounts
}
# check_doubles LABEL: what the backend servers executed twice or beyond their limits.
check_doubles() {
    local backend doubles=0 excess=0 found
    for backend in $(backends); do
        found=$(curl -sf -m 10 "http://$backend/log")
        for number in $(grep -oE '"double_[a-z]+":[0-9]+' <<< "$found" | cut -d: -f2); do
            doubles=$((doubles + number))
        done
        for number in $(grep -oE '"excess_[a-z]+":[0-9]+' <<< "$found" | cut -d: -f2); do
            excess=$((excess + number))
        done
    done
    echo "after $1: double executions $doubles, slots or connections in excess $excess"
    echo "{\"label\":\"$1\",\"double_executions\":$doubles,\"excess\":$excess}" >> "$lines"
    [ "$doubles" -eq 0 ] || faults=$((faults + 1))
    check_processes "$1"
}
# check_processes LABEL: a process that ended by itself counts as a fault and is started again, so
# that the later runs measure the whole deployment.
check_processes() {
    local name id status
    for name in "${control_names[@]}" "${worker_names[@]}"; do
        id=${process_ids[$name]}
        if ! kill -0 "$id" 2> /dev/null; then
            status=0
            wait "$id" 2> /dev/null || status=$?
            echo "$1: $name ended with status $status, started again"
            echo "{\"label\":\"$1\",\"ended\":\"$name\",\"status\":$status}" >> "$lines"
            faults=$((faults + 1))
            start_daemon "$name"
            deployment_ready
            sleep 2
        fi
    done
}
# mix FRACTION: half price checks, three tenths inspections, one fifth recounts.
mix() {
    awk "BEGIN {r = $capacity * $1; printf \"price-checks:%.1f:200,inspections:%.1f:20000,recounts:%.1f:500\", r * 0.5, r * 0.3, r * 0.2}"
}

deployment_configure "$bin_given" inspector "$out/deployment" 25000
deployment_start
deployment_ready
ctl ops release apply "$example_dir/release-note.yaml" --wait > /dev/null
entries=()
for index in "${!control_names[@]}"; do
    entries+=(--entry "127.0.0.1:$((base_port + 20 + index))")
done
direct=()
for backend in $(backends); do
    direct+=(--entry "$backend")
done
sleep 2

# Latency added: one after the other, twice, so that a drift of the machine shows.
fault_all '{"slow_ms": 5}'
for turn in 1 2; do
    load "direct-$turn" --direct "${direct[@]}" --mix "price-checks:50:200" --seconds "$seconds"
    entry_load "entry-$turn" --mix "price-checks:50:200" --seconds "$seconds"
done
check_doubles latency
for turn in 1 2; do
    through=$(value "entry-$turn" median_ms) straight=$(value "direct-$turn" median_ms)
    added=$(compute "$through - $straight")
    echo "added at the median, turn $turn: $added ms, ratio $(compute "$through / $straight")"
    goal "turn $turn: the entry adds at most 1 ms at the median ($added ms)" "$added <= 1"
done

fault_all "{\"slow_ms\": $slow_ms}"
for load_factor in 0.7 1.0 2.0; do
    entry_load "load-$load_factor" --mix "$(mix $load_factor)" --seconds "$seconds"
    check_doubles "load-$load_factor"
done
share=$(compute "$(value load-2.0 goodput_per_s) / $(value load-1.0 goodput_per_s)")
goal "goodput at twice capacity at least 0.9 of that at capacity ($share)" "$share >= 0.9"

# A data centre leaves and returns while load goes on.
entry_load withdrawal --mix "$(mix 0.5)" --seconds "$((seconds + 4))" &
loader=$!
sleep 4
ctl ops datacentre withdraw dc2 --wait || echo "withdraw" >> "$out/faults"
sleep "$((seconds / 2))"
ctl ops datacentre restore dc2 --wait || echo "restore" >> "$out/faults"
wait "$loader"
check_doubles withdrawal
failed=$(($(value withdrawal sent) - $(value withdrawal done)))
goal "no request failed by a withdrawal ($failed)" "$failed == 0"

straggler=$(backends | sed -n 2p)
fault "$straggler" '{"fail_all": true}'
entry_load straggler --mix "$(mix 0.5)" --seconds "$seconds"
fault "$straggler" '{"fail_all": false}'
check_doubles straggler

# An agent that stops answering while its connections stay open. An agent announces the address it
# listens on, so that a relay cannot stand in front of one; a paused process is the nearest case.
sleep 5
paused=${process_ids[w3]}
entry_load paused-agent --mix "$(mix 0.5)" --seconds "$((seconds + 4))" &
loader=$!
sleep 4
kill -STOP "$paused"
sleep 3
kill -CONT "$paused"
wait "$loader"
check_doubles paused-agent

deployment_stop || { echo "not every process ended well"; faults=$((faults + 1)); }
trap - EXIT
[ ! -s "$out/faults" ] || faults=$((faults + $(wc -l < "$out/faults")))
echo "JSON lines: $lines"
echo "faults (wrong or lost answers, double executions, ended processes): $faults"
[ "$faults" -eq 0 ]
