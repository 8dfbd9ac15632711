#!/usr/bin/env bash
# Agents die, freeze past their lease, or are cut off while their data centre is withdrawn.
# Usage: run.sh BIN_DIR
source "$(dirname "$0")/../common.sh"
suite_begin "$1" 24200

executions() { [ "$(executed_requests)" -eq "$1" ]; }
index_of() {
    local index
    for index in "${!worker_names[@]}"; do
        [ "${worker_names[$index]}" != "$1" ] || echo "$index"
    done
}

# An agent is killed after it began a recount and before it answered.
key="$(date +%s)-killed"
body='{"lot": 17}'
for index in "${!worker_names[@]}"; do
    curl -s -m 5 -d '{"slow_ms": 1500}' "http://127.0.0.1:$((base_port + 60 + index))/fault" > /dev/null
done
echo "$body" | any "$account" request send recounts --file - --key "$key" --deadline-ms 6000 \
    > /dev/null 2> "$suite_out/outcome" &
sender=$!
sleep 0.7
busy=""
for index in "${!worker_names[@]}"; do
    if backend_log "$index" | grep -q '"active_requests":1'; then
        busy=${worker_names[$index]}
    fi
done
stop_process "${busy:-none}" KILL
wait "$sender"
check "a recount was running when its agent was killed" [ -n "$busy" ]
check "its outcome is told as unknown" grep -q unknown "$suite_out/outcome"
for index in "${!worker_names[@]}"; do
    curl -s -m 5 -d '{"slow_ms": 0}' "http://127.0.0.1:$((base_port + 60 + index))/fault" > /dev/null
done
start_daemon "$busy"
must_happen 20 all_serving
sleep 4
echo "$body" | any "$account" request send recounts --file - --key "$key" --deadline-ms 6000 \
    > /dev/null 2> "$suite_out/outcome"
check "a resend is told unknown and not run again" grep -q unknown "$suite_out/outcome"
check "the recount ran once" executions 1

# An agent freezes past its lease under a gang, which is stopped, freed and run again elsewhere.
any "$account" job submit --id frozen --service inspections --members 4 --accelerators 8 \
    --adjacency data_centre --parameters '{"run_ms": 6000}' > /dev/null
must_happen 10 job_is frozen running
victim=$(json "$account" job show frozen | grep -o '"workers":\["w[0-9]*' | grep -o 'w[0-9]*$')
check "a worker of the gang is known" [ -n "$victim" ]
kill -STOP "${process_ids[$victim]}"
starts_again() { json "$account" job show frozen | grep -q '"starts":2'; }
check "a gang with a frozen agent is run again" wait_until 20 starts_again
echo "frozen: $victim, job: $(json "$account" job show frozen)"
kill -CONT "${process_ids[$victim]}"
check "the gang ends" wait_until 25 job_is frozen done
check "no accelerator was used twice" [ "$(doubles)" -eq 0 ]
must_happen 20 all_serving

# A data centre is withdrawn while its agents are frozen; they wake after the withdrawal.
dc2=(w5 w6 w7 w8)
for n in $(seq 12); do
    any "$account" job submit --id "wave-$n" --service inspections --members 2 --accelerators 4 \
        --adjacency rack --parameters '{"run_ms": 500}' > /dev/null
done &
submitter=$!
sleep 0.2
for worker in "${dc2[@]}"; do kill -STOP "${process_ids[$worker]}"; done
any ops datacentre withdraw dc2 --wait > "$suite_out/withdrawn"
check "the withdrawal is in force within seconds" grep -q "in force everywhere" "$suite_out/withdrawn"
now_ms=$(awk '{printf "%d", $1 * 1000}' /proc/uptime)
for worker in "${dc2[@]}"; do kill -CONT "${process_ids[$worker]}"; done
wait "$submitter"
all_done() {
    local n
    for n in $(seq 12); do job_is "wave-$n" done || return 1; done
}
check "the work is done in the other data centres" wait_until 30 all_done
late_starts() {
    local worker
    for worker in "${dc2[@]}"; do
        backend_log "$(index_of "$worker")" | grep -o '"started_ms":[0-9]*' | grep -o '[0-9]*$'
    done | awk -v limit="$now_ms" '$1 > limit' | wc -l
}
check "no task started there after the withdrawal" [ "$(late_starts)" -eq 0 ]
any ops datacentre restore dc2 --wait > /dev/null
must_happen 20 all_serving
any "$account" job submit --id back --service inspections --members 8 --accelerators 8 \
    --adjacency data_centre --parameters '{"run_ms": 300}' > /dev/null 2>&1
check "every worker serves again after the return" all_workers_known
suite_end
