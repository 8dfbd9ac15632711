#!/usr/bin/env bash
# Crowds of jobs that are all valid: each alone is served, and all together must not cost a process
# its memory, its disk or its ordinary callers, neither at once nor after a restart.
# Usage: run.sh BIN_DIR CROWD
source "$(dirname "$0")/../gateways.sh"

crowd=$2
# The smallest machine of a gateway.
memory_kb=$((120 * 1024))
# The disk of a replica.
disk_kb=$((128 * 1024))
# Bounds a run that hangs. Nothing is measured with it.
hang_limit_s=60
port=27300

suite_out=$(mktemp -d)
deployment_dir=$suite_out
trap 'deployment_kill; rm -rf "$suite_out"' EXIT

kb_of() { awk -v key="$2:" '$1 == key {print $2}' "/proc/$1/status"; }
memory_within() { [ "$(kb_of "$1" VmHWM)" -le "$memory_kb" ]; }
disk_used_kb() { du -sk "$suite_out/$1" | cut -f1; }
disk_within() { [ "$(disk_used_kb "$1")" -le "$disk_kb" ]; }

# Two accounts with a queue of their own, beside the public one.
routes='{"Name":"q","Host":"h.example","PathPrefix":"/q/","Type":"non_idempotent","TimeoutMs":3000,
    "Priority":1,"Service":"s","MaxAttempts":2,"Stretch":3.0,"Public":true},
    {"Name":"k","Host":"h.example","PathPrefix":"/k/","Type":"non_idempotent","TimeoutMs":3000,
    "Priority":0,"Service":"s","MaxAttempts":2,"Stretch":3.0}'
accounts='{"Name":"a","ApiKeys":["key-a"]},{"Name":"b","ApiKeys":["key-b"]}'

# configuration VERSION ROUTES
configuration() {
    echo '{"Version":'"$1"',"Routes":['"$2"'],"Services":[{"Name":"s"}],"Tenants":['"$accounts"']}'
}
installed() {
    [ "$(status $((port + 3)) /Config.Put -d "$(configuration 1 "$routes")")" = 200 ]
}

# submitted_with_key PORT KEY
submitted_with_key() {
    local id
    id=$(od -An -N8 -tx1 /dev/urandom | tr -d ' \n')
    [ "$(status "$1" "/k/$id" -H 'Host: h.example' -H "Api-Key: $2" \
        -d '{"Spec":"x","Steps":[{"Count":1,"Cpu":500,"MemMb":256}]}')" = 200 ]
}
submitted_as_b() { submitted_with_key $((port + 1)) key-b; }

# repeat COUNT TEXT: the text as often, separated by commas.
repeat() { yes "$2" | head -n "$1" | paste -sd,; }
spec() { head -c "$1" /dev/zero | tr '\0' x; }

# check_processes WHEN: the processes live within their bounds, and ordinary callers are served.
check_processes() {
    local name id folder
    check "$1: a call without a key is answered" wait_until "$hang_limit_s" submitted_here
    check "$1: a call by the other gateway is answered" wait_until "$hang_limit_s" submitted_by_other
    check "$1: a call of another account is answered" wait_until "$hang_limit_s" submitted_as_b
    check "$1: accepted jobs are known" wait_until "$hang_limit_s" accepted_known
    check "$1: refused jobs are not" wait_until "$hang_limit_s" refused_unknown
    for name in "${!process_ids[@]}"; do
        id=${process_ids[$name]}
        check "$1: $name lives" kill -0 "$id"
        check "$1: $name uses $(kb_of "$id" VmHWM) kB, at most $memory_kb are allowed" \
            memory_within "$id"
    done
    for folder in $(cd "$suite_out" && ls -d data*); do
        check "$1: $(disk_used_kb "$folder") kB are in $folder, at most $disk_kb are allowed" \
            disk_within "$folder"
    done
}

# states_are STATUS EXPECTED: reads the state of the first submissions that got this status.
states_are() {
    local id
    for id in $(awk -v status="$1" '$2 == status {print $1}' "$suite_out/report" | head -n 5); do
        [ "$(status $((port + 1)) "/$queue/$id" -H 'Host: h.example' -H 'Api-Key: key-a')" = "$2" ] ||
            return 1
    done
}
accepted_known() { [ -z "$queue" ] || states_are 200 200; }
refused_unknown() { [ -z "$queue" ] || { states_are 503 410 && states_are 429 410; }; }

# crowd_of JOBS CONNECTIONS QUEUE ARGUMENT...: submits the body in $suite_out/body as often.
crowd_of() {
    local jobs=$1 connections=$2
    queue=$3
    shift 3
    "$bin_dir/job-crowd-stand-in" --ip 127.0.0.1 --port $((port + 1)) --host h.example \
        --path "/$queue/" --body-file "$suite_out/body" --jobs "$jobs" \
        --connections "$connections" --report "$suite_out/report" "$@" | tee "$suite_out/crowd.out"
    check "the crowd has sent its jobs" grep -q '^sent' "$suite_out/crowd.out"
}

# --- the own interface ----------------------------------------------------------------------------

# check_own_processes WHEN
check_own_processes() {
    local name id
    check "$1: a request is answered" wait_until "$hang_limit_s" \
        ctl "$account" request send price-checks --file /dev/null
    check "$1: a job of another account is accepted" wait_until "$hang_limit_s" \
        ctl frutas-andinas job submit --service recounts
    for name in "${control_names[@]}" "${worker_names[@]}"; do
        id=${process_ids[$name]}
        check "$1: $name lives" kill -0 "$id"
        check "$1: $name uses $(kb_of "$id" VmHWM) kB, at most $memory_kb are allowed" \
            memory_within "$id"
    done
}

# own_crowd JOBS CONNECTIONS PATH: as crowd_of, with the token of the ordinary account.
own_crowd() {
    "$bin_dir/job-crowd-stand-in" --ip 127.0.0.1 --port $((base_port + 20)) --host entry.example \
        --path "$3" --fixed-path --body-file "$suite_out/body" --jobs "$1" --connections "$2" \
        --header "Authorization: Bearer $(cat "$example_dir/tokens/$account.token")" |
        tee "$suite_out/crowd.out"
    check "the crowd has sent its jobs" grep -q '^sent' "$suite_out/crowd.out"
}

if [[ $crowd == own_* ]]; then
    # Daemons of the own interface get as much as a supervisor.
    memory_kb=$((128 * 1024))
    deployment_configure "$(cd "$1" && pwd)" inspector "$suite_out/deployment" "$port"
    deployment_start
    deployment_ready || exit 1
    ctl ops release apply "$example_dir/release-note.yaml" --wait > /dev/null || exit 1
fi
case $crowd in
own_jobs) # The largest parameters that a job may have, and too many members for two at once.
    echo '{"service":"recounts","members":24,"parameters":{"x":"'"$(spec 65000)"'"}}' \
        > "$suite_out/body"
    own_crowd 4000 60 /v1/jobs
    ;;
own_requests) # Bodies of the largest size that the entry takes.
    spec 1000000 > "$suite_out/body"
    own_crowd 1000 150 /v1/requests/price-checks
    ;;
esac
if [[ $crowd == own_* ]]; then
    check_own_processes "after the crowd"
    for name in "${control_names[@]}"; do
        stop_process "$name" KILL
        start_daemon "$name"
    done
    check_own_processes "after a restart"
    suite_end
fi

# --- the gateways ---------------------------------------------------------------------------------

# start_replicas: a group of three gateways and one without a disk, all of which serve callers.
start_replicas() {
    local index name
    local seeds=("127.0.0.1:$port" "127.0.0.1:$((port + 20))" "127.0.0.1:$((port + 30))")
    bin_dir=$(cd "$1" && pwd)
    tolerated_losses=1
    echo "secret of the case" > "$suite_out/secret"
    write_gateway gateway 0 "data_folder: \"$suite_out/data\"" "${seeds[@]}"
    write_gateway second 2 "data_folder: \"$suite_out/data2\"" "${seeds[@]}"
    write_gateway third 3 "data_folder: \"$suite_out/data3\"" "${seeds[@]}"
    write_gateway other 1 "" "${seeds[@]}"
    mkdir "$suite_out/data" "$suite_out/data2" "$suite_out/data3"
    for name in gateway second third other; do
        start_daemon "$name"
    done
    wait_until 60 installed || exit 1
    wait_until 60 submitted_here || exit 1
    wait_until 60 submitted_by_other || exit 1
}

# A replica is promoted once it holds the state.
count_promotions() { cat "$suite_out"/*.log | grep -c 'event=member_changed action=promote.*"OK"'; }
was_promoted() { [ "$(count_promotions)" -gt "$promotions" ]; }

if [ "$crowd" = leader ]; then
    start_replicas "$1"
else
    start_gateways "$1"
fi
step='{"Count":1,"Cpu":1000,"MemMb":64}'
case $crowd in
steps) # One job of 7,000 steps after the other, 242 kB each.
    echo '{"Spec":"x","Steps":['"$(repeat 7000 "$step")"']}' > "$suite_out/body"
    crowd_of 300 30 q
    ;;
wide) # Steps of 100,000 tasks.
    echo '{"Spec":"'"$(spec 4000)"'","Steps":[{"Count":100000,"Cpu":1000}]}' > "$suite_out/body"
    crowd_of 20 10 q
    ;;
tasks) # Steps of 1,000 tasks.
    echo '{"Spec":"x","Steps":[{"Count":1000,"Cpu":1000}]}' > "$suite_out/body"
    crowd_of 2000 30 q
    ;;
repeats) # Occurrences that are all due at once.
    echo '{"Spec":"x","Steps":['"$step"'],"RepeatCount":10000,"IntervalMs":1}' > "$suite_out/body"
    crowd_of 200 30 q
    ;;
small) # Jobs of ordinary size.
    echo '{"Spec":"'"$(spec 300)"'","Steps":['"$step"']}' > "$suite_out/body"
    crowd_of 40000 60 q
    ;;
payloads) # The largest payload that a job may have.
    echo '{"Spec":"'"$(spec 4000)"'","Steps":['"$step"']}' > "$suite_out/body"
    crowd_of 20000 60 q
    ;;
account) # All from one account with a key.
    echo '{"Spec":"'"$(spec 4000)"'","Steps":['"$(repeat 20 "$step")"']}' > "$suite_out/body"
    crowd_of 10000 60 k --header 'Api-Key: key-a'
    ;;
leader) # As payloads, at a group of replicas.
    echo '{"Spec":"'"$(spec 4000)"'","Steps":['"$step"']}' > "$suite_out/body"
    crowd_of 20000 60 q
    ;;
configurations | same_configuration) # The largest that the operators' listener takes.
    queue=
    version=@number@
    if [ "$crowd" = same_configuration ]; then
        version=2
    fi
    configuration "$version" "$routes,$(seq 5000 | awk '{printf "%s{\"Name\":\"r%05d\"," \
        "\"Host\":\"host%05d.example\",\"PathPrefix\":\"/path%05d/\"," \
        "\"Type\":\"non_idempotent\",\"TimeoutMs\":3000,\"TargetLatencyMs\":3000," \
        "\"Priority\":2,\"Service\":\"s\",\"MaxAttempts\":2,\"Stretch\":3.0}",
        (NR > 1 ? "," : ""), $1, $1, $1}')" > "$suite_out/body"
    "$bin_dir/job-crowd-stand-in" --ip 127.0.0.1 --port $((port + 3)) --host operators.example \
        --path /Config.Put --fixed-path --body-file "$suite_out/body" --jobs 300 \
        --connections 100 | tee "$suite_out/crowd.out"
    check "the crowd has sent its configurations" grep -q '^sent' "$suite_out/crowd.out"
    ;;
mixed) # Crowds one after the other, so that the state is as full as it gets when the next one comes.
    for payload_bytes in 4000 300; do
        echo '{"Spec":"'"$(spec $payload_bytes)"'","Steps":['"$step"']}' > "$suite_out/body"
        crowd_of 60000 200 q
    done
    echo '{"Spec":"'"$(spec 4000)"'","Steps":['"$(repeat 20 "$step")"']}' > "$suite_out/body"
    crowd_of 10000 60 k --header 'Api-Key: key-a' --cancel
    echo '{"Spec":"x","Steps":['"$(repeat 7000 "$step")"']}' > "$suite_out/body"
    crowd_of 200 100 q
    # As many values as a body of the largest size can hold.
    echo '{"Spec":"x","Steps":['"$step"'],"x":['"$(repeat 300000 '{}')"']}' > "$suite_out/body"
    crowd_of 200 100 q
    ;;
cancelled) # Each job is cancelled at once.
    echo '{"Spec":"'"$(spec 4000)"'","Steps":['"$(repeat 20 "$step")"']}' > "$suite_out/body"
    crowd_of 10000 60 q --cancel
    ;;
*)
    echo "unknown crowd: $crowd" >&2
    exit 2
    ;;
esac
check_processes "after the crowd"

if [ "$crowd" = leader ]; then
    # Each in turn is killed and comes back without its disk, so that every replica has led or has
    # received the state from another one.
    sed -i 's/founding: true/founding: false/' "$suite_out"/*.yaml
    for name in gateway second third; do
        promotions=$(count_promotions)
        stop_process "$name" KILL
        check "without $name: a call is answered" wait_until "$hang_limit_s" submitted_by_other
        find "$suite_out/$(sed -n 's/^data_folder: ".*\/\(.*\)"$/\1/p' "$suite_out/$name.yaml")" \
            -mindepth 1 -delete
        start_daemon "$name"
        check "with $name: a call is answered" wait_until "$hang_limit_s" submitted_here
        check "with $name: it is a replica again" wait_until "$hang_limit_s" was_promoted
    done
    check_processes "after changes of leader"
    suite_end
fi

kill -KILL "${process_ids[gateway]}"
wait "${process_ids[gateway]}" 2> /dev/null
start_daemon gateway
check_processes "after a restart"
suite_end
