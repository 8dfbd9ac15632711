#!/usr/bin/env bash
# Starts an example deployment on loopback, uses it and stops it. Usage: run.sh BIN_DIR EXAMPLE
set -euo pipefail
cd "$(dirname "$0")/.."
source examples/deployment.sh

example=${2:-inspector}
case "$example" in
inspector)
    account=mercado-central quick=price-checks gang=inspections once=recounts
    ;;
planner | relink)
    example=planner
    account=northline quick=driver-hours-checks gang=timetable-builds once=coach-allocations
    ;;
*)
    echo "EXAMPLE: value $example: allowed inspector, planner or relink" >&2
    exit 2
    ;;
esac

# Reads one field of the flat JSON that redwingwheelctl prints.
field() { grep -o "\"$1\": *[^,}]*" | head -1 | sed 's/^[^:]*: *//; s/"//g'; }
job_is() { [ "$(ctl "$account" job show "$1" --json | field state)" = "$2" ]; }
say() { printf '\n== %s\n' "$*"; }

trap deployment_kill EXIT
deployment_configure "$(cd "$1" && pwd)" "$example" run/"$example" 21000
say "starting ${#control_names[@]} entry and control daemons, ${#worker_names[@]} agents and their backend servers"
deployment_start
deployment_ready

say "applying the release note"
ctl ops release apply "examples/$example/release-note.yaml" --wait

say "a $quick request"
echo "what does lot 17 cost" > "$deployment_dir/question"
ctl "$account" request send "$quick" --file "$deployment_dir/question"

say "a gang of 16 on two workers of one rack"
ctl "$account" job submit --id demo-gang --service "$gang" --members 16 --accelerators 1 \
    --adjacency rack --parameters '{"run_ms": 2000}'
wait_until 10 job_is demo-gang running
ctl "$account" job show demo-gang
ctl ops explain demo-gang
wait_until 20 job_is demo-gang done

say "a $once request, sent twice with one key"
key="$(date +%s)-demo"
first=$(ctl "$account" request send "$once" --key "$key" --file "$deployment_dir/question")
second=$(ctl "$account" request send "$once" --key "$key" --file "$deployment_dir/question")
printf 'first answer:  %s\nsecond answer: %s\n' "$first" "$second"
[ "$first" = "$second" ] || { echo "the work ran twice" >&2; exit 1; }

say "taking dc2 out while requests go on"
failed=0
(for n in $(seq 40); do
    ctl "$account" request send "$quick" --file "$deployment_dir/question" &> /dev/null || exit 1
done) &
traffic=$!
ctl ops datacentre withdraw dc2 --wait
ctl ops status
ctl ops datacentre restore dc2 --wait
wait "$traffic" || failed=1
[ "$failed" -eq 0 ] || { echo "a request failed while dc2 was out" >&2; exit 1; }
echo "40 requests answered meanwhile, none failed"

say "usage of $account"
ctl "$account" account usage "$account"

say "stopping"
deployment_stop
trap - EXIT
echo "all processes have ended"
