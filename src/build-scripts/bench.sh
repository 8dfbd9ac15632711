#!/usr/bin/env bash
# Runs every measurement and writes its JSON lines. Usage: bench.sh BIN_DIR OUT_DIR
set -uo pipefail
cd "$(dirname "$0")/../.."
bin_dir=$(cd "$1" && pwd)
mkdir -p "$2"
out_dir=$(cd "$2" && pwd)

run() {
    local name=$1
    shift
    echo "== $name: $*"
    "$@" | tee "$out_dir/$name.txt"
    grep '^{' "$out_dir/$name.txt" > "$out_dir/$name.jsonl" || true
}

run placement "$bin_dir/redwingwheel-bench-placement" testsuite/traces/*.trace
run routing "$bin_dir/redwingwheel-bench-routing" --seconds 30 --seed 1
rm -rf "$out_dir/replication-log"
run replication "$bin_dir/redwingwheel-bench-replication" --folder "$out_dir/replication-log" --seconds 2
rm -rf "$out_dir/replication-log"
[ ! -x "$bin_dir/redwingwheel-bench-control" ] || run control "$bin_dir/redwingwheel-bench-control"
[ ! -x src/build-scripts/bench_load.sh ] || run load src/build-scripts/bench_load.sh "$bin_dir"
