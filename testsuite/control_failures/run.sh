#!/usr/bin/env bash
# Control replicas die while work goes on: the leader, all of them at once, and one with its disk.
# Usage: run.sh BIN_DIR
source "$(dirname "$0")/../common.sh"
suite_begin "$1" 24000

recounts=24
issued=$(date +%s)

# send_recounts FILE: sends each recount once, some at a time; notes key and answer.
send_recounts() {
    local n
    : > "$1"
    for n in $(seq "$recounts"); do
        (
            echo "lot $n" | any "$account" request send recounts --file - --key "$issued-lot$n" \
                --deadline-ms 8000 > "$suite_out/answer.$n" 2> "$suite_out/outcome.$n"
            echo "$n $? $(cat "$suite_out/answer.$n")" >> "$1"
        ) &
        [ $((n % 6)) -ne 0 ] || sleep 0.25
    done
    wait $(jobs -p | grep -vxF "$(printf '%s\n' "${process_ids[@]}")")
}

replicas() { json ops status | grep -o '"replicas":\[[^]]*'; }
index_of_control() {
    local index
    for index in "${!control_names[@]}"; do
        [ "${control_names[$index]}" != "$1" ] || echo "$index"
    done
}
answered() { [ "$(awk '$2 == 0' "$1" | wc -l)" -eq "$recounts" ]; }
same_answers() { diff <(sort "$1") <(sort "$2") >&2; }
at_most_once() { [ "$(executed_requests)" -le "$recounts" ]; }
nothing_doubled() { [ "$(doubles)" -eq 0 ]; }

leader=$(leader_name)
send_recounts "$suite_out/first" &
sender=$!
sleep 0.4
stop_process "$leader" KILL
wait "$sender"
# A caller whose answer was lost sends its request again with the same key.
send_recounts "$suite_out/second"
check "every recount is answered after the leader was killed" answered "$suite_out/second"
check "no recount ran twice" at_most_once
start_daemon "$leader"
must_happen 20 all_serving

before=$(revision)
for name in "${control_names[@]}"; do
    stop_process "$name" KILL
done
sleep 1
for name in "${control_names[@]}"; do
    start_daemon "$name"
done
must_happen 30 all_serving
send_recounts "$suite_out/third"
check "the configuration is the same after all replicas were killed" [ "$(revision)" = "$before" ]
check "recorded answers are the same" same_answers "$suite_out/second" "$suite_out/third"
check "no recount ran twice after all replicas were killed" at_most_once

# A replica loses its disk; once it is repaired a second host is lost for good.
leader=$(leader_name)
followers=()
for name in "${control_names[@]}"; do
    [ "$name" = "$leader" ] || followers+=("$name")
done
lost_port=$((base_port + $(index_of_control "${followers[0]}")))
lost_identity=$(replicas | tr '{' '\n' | grep "\"127.0.0.1:$lost_port\"" |
    grep -o '"identity":"[0-9a-f]*"' | grep -o '[0-9a-f]\{16\}')
stop_process "${followers[0]}" KILL
rm -rf "${deployment_dir:?}/${followers[0]}.data"
start_daemon "${followers[0]}"
# The new identity is a voter, and the old one is no member any more.
replaced() {
    local now
    now=$(replicas) && [ "$(echo "$now" | grep -oE '"role":"(leader|follower)"' | wc -l)" -eq 3 ] &&
        ! echo "$now" | grep -qE "learner|$lost_identity"
}
must_happen 30 replaced
check "a replica with an empty disk takes the place of the lost one" replaced
stop_process "$leader" KILL
check "a change is accepted after a second host is lost" \
    must_happen 15 any ops release apply "$example_dir/release-note-2.yaml" --wait
check "the accepted configuration went on" [ "$(revision)" = "$((before + 1))" ]
send_recounts "$suite_out/fourth"
check "recorded answers survive the second loss" same_answers "$suite_out/second" "$suite_out/fourth"
check "no recount ran twice in the whole run" at_most_once
check "no attempt, task or accelerator was used twice" nothing_doubled
suite_end
