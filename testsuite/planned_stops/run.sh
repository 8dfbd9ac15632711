#!/usr/bin/env bash
# Planned stops under load: an entry, a control leader, an agent, a backend server. Nothing is cut.
# Usage: run.sh BIN_DIR
source "$(dirname "$0")/../common.sh"
suite_begin "$1" 24400

for index in "${!worker_names[@]}"; do
    curl -s -m 5 -d '{"slow_ms": 120}' "http://127.0.0.1:$((base_port + 60 + index))/fault" > /dev/null
done

# load COUNT FILE: requests through every entry in turn, eight at a time; notes each failure.
load() {
    local n
    : > "$2"
    for n in $(seq "$1"); do
        (echo "photo $n" | balanced "$n" "$account" request send inspections --file - > /dev/null 2>> "$2.err" ||
            echo "$n" >> "$2") &
        [ $((n % 8)) -ne 0 ] || sleep 0.15
    done
    wait $(jobs -p | grep -vxF "$(printf '%s\n' "${process_ids[@]}")")
}
none_failed() { [ ! -s "$1" ]; }
ended_well() { [ "$1" -eq 0 ]; }

# stop_under_load NAME: stops a process in the middle of the load.
stop_under_load() {
    load 80 "$suite_out/failed" &
    local loader=$! status=0
    sleep 0.6
    stop_process "$1" || status=$?
    wait "$loader"
    check "no request failed while $2 was stopped" none_failed "$suite_out/failed"
    check "$2 ended with status 0" ended_well "$status"
    start_daemon "$1"
    must_happen 20 all_serving
}

leader=$(leader_name)
for name in "${control_names[@]}"; do
    [ "$name" = "$leader" ] || follower=$name
done
stop_under_load "$follower" "an entry with a control follower"
stop_under_load "$leader" "an entry with the control leader"
stop_under_load w1 "an agent"

# A backend server shuts down: it gets no new work after 2 s, and what it had is finished.
load 120 "$suite_out/failed" &
loader=$!
sleep 0.4
curl -s -m 5 -d '{"drain": true}' "http://127.0.0.1:$((base_port + 60))/fault" > /dev/null
wait "$loader"
check "no request failed while a backend server shut down" none_failed "$suite_out/failed"
last_arrival=$(backend_log 0 | grep -o '"last_arrival_after_drain_ms":[0-9]*' | grep -o '[0-9]*$')
check "a backend server in shutdown got nothing new after 2 s" [ "${last_arrival:-0}" -le 2000 ]
curl -s -m 5 -d '{"drain": false}' "http://127.0.0.1:$((base_port + 60))/fault" > /dev/null
check "it serves again when it has come back" wait_until 10 all_serving

# Many notes, then a restart of everything.
before=$(revision)
notes=60
for n in $(seq "$notes"); do
    cat > "$suite_out/note.yaml" <<END
note: weights-$n
base: $((before + n - 1))
changed:
  client_accounts:
    - {name: feria-maipo, weight: $((1 + n % 7))}
END
    any ops release apply "$suite_out/note.yaml" > /dev/null || echo "note $n refused"
done
for name in "${worker_names[@]}" "${control_names[@]}"; do stop_process "$name" KILL; done
for name in "${control_names[@]}" "${worker_names[@]}"; do start_daemon "$name"; done
must_happen 30 all_serving
check "every note is in force after everything was restarted" [ "$(revision)" = "$((before + notes))" ]

# Two operators race from the same base.
for n in 1 2; do
    cat > "$suite_out/race-$n.yaml" <<END
note: race-$n
base: $((before + notes))
changed:
  client_accounts:
    - {name: feria-maipo, weight: $((10 + n))}
END
    any ops release apply "$suite_out/race-$n.yaml" > "$suite_out/race-$n" 2>&1 &
    racers[$n]=$!
done
won=0
for n in 1 2; do wait "${racers[$n]}" && won=$((won + 1)); done
check "one of two racing notes is accepted" [ "$won" -eq 1 ]
check "the other is told the field" grep -q "feria-maipo/weight" "$suite_out/race-1" "$suite_out/race-2"
# A signal that comes while the process drains must not end it: the one that is waited for is not blocked elsewhere.
repeated_stop() {
    local id=${process_ids[${worker_names[0]}]}
    for _ in 1 2 3 4 5; do
        kill -TERM "$id" 2> /dev/null
        sleep 0.02
    done
    stop_process "${worker_names[0]}"
}
check "a process that is told to stop again and again drains and ends well" repeated_stop

suite_end
