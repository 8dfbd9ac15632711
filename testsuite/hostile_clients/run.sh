#!/usr/bin/env bash
# Crowds of clients that send as much as they may, stop just short of the end of their requests and
# stay: no process ends, memory and descriptors stay bounded, and an ordinary call is answered.
# Usage: run.sh BIN_DIR LISTENER
source "$(dirname "$0")/../gateways.sh"

listener=$2
# The smallest machine of a gateway has 120 MB, that of a supervisor 128 MB. Daemons of the own
# interface get as much as a supervisor.
gateway_memory_kb=$((120 * 1024))
daemon_memory_kb=$((128 * 1024))
# The descriptors that a process may open here, and those that it may use: the rest stays free for
# ordinary callers and for the other processes of the system.
descriptor_limit=512
descriptor_bound=448
crowd_size=150
# More clients than the process may open descriptors.
silent_crowd_size=600
# A body that the listeners of callers take.
body_bytes=1000000
# Bounds a run that hangs. Nothing is measured with it.
hang_limit_s=60

ulimit -S -n "$descriptor_limit"
suite_out=$(mktemp -d)
deployment_dir=$suite_out
trap 'exec 8>&-; deployment_kill; rm -rf "$suite_out"' EXIT

kb_of() { awk -v key="$2:" '$1 == key {print $2}' "/proc/$1/status"; }
memory_within() { [ "$(kb_of "$1" VmHWM)" -le "$2" ]; }
descriptors_within() { [ "$(find "/proc/$1/fd" -mindepth 1 | wc -l)" -le "$descriptor_bound" ]; }

# crowd KIND PATH PORT: starts a crowd, waits until it has sent what it can, and lets it stay.
crowd() {
    local size=$crowd_size
    if [ "$1" = silent ]; then
        size=$silent_crowd_size
    fi
    mkfifo "$suite_out/crowd.in"
    (ulimit -S -n 4096 && exec "$bin_dir/client-crowd-stand-in" --ip 127.0.0.1 --port "$3" \
        --path "$2" --kind "$1" --connections "$size" --bytes "$body_bytes" \
        < "$suite_out/crowd.in" > "$suite_out/crowd.out" 2>&1) &
    process_ids[crowd]=$!
    exec 8> "$suite_out/crowd.in"
    check "$1: the crowd has sent what it can" \
        wait_until "$hang_limit_s" grep -q sent "$suite_out/crowd.out"
}

end_crowd() {
    exec 8>&-
    wait "${process_ids[crowd]}"
    unset "process_ids[crowd]"
    rm -f "$suite_out/crowd.in"
}

# withstands KIND PATH PORT MEMORY_KB ORDINARY_CALL PROCESS...
withstands() {
    local kind=$1 path=$2 target_port=$3 memory_kb=$4 ordinary_call=$5 name id
    shift 5
    for name in "$@"; do
        echo 5 > "/proc/${process_ids[$name]}/clear_refs"
    done
    crowd "$kind" "$path" "$target_port"
    check "$kind: an ordinary call is answered" wait_until "$hang_limit_s" "$ordinary_call"
    for name in "$@"; do
        id=${process_ids[$name]}
        check "$kind: $name lives" kill -0 "$id"
        check "$kind: $name uses $(kb_of "$id" VmHWM) kB, at most $memory_kb are allowed" \
            memory_within "$id" "$memory_kb"
        check "$kind: $name keeps descriptors free" descriptors_within "$id"
    done
    end_crowd
}

# --- the gateway and the supervisor ---------------------------------------------------------------

port=27100

http_kinds=(silent header whole pieces complete large-chunks small-chunks announced endless)

# --- the own interface ----------------------------------------------------------------------------

start_own_interface() {
    deployment_configure "$(cd "$1" && pwd)" inspector "$suite_out/deployment" 27200
    deployment_start
    deployment_ready || exit 1
    ctl ops release apply "$example_dir/release-note.yaml" --wait > /dev/null || exit 1
}
price_checked() { ctl "$account" request send price-checks --file /dev/null; }

case $listener in
callers)
    start_gateways "$1"
    for kind in "${http_kinds[@]}"; do
        withstands "$kind" /q/0123456789abcdef $((port + 1)) "$gateway_memory_kb" submitted_here gateway
    done
    ;;
operators)
    start_gateways "$1"
    for kind in "${http_kinds[@]}"; do
        withstands "$kind" /Config.Put $((port + 3)) "$gateway_memory_kb" configuration_read gateway
    done
    ;;
readiness)
    start_gateways "$1"
    for kind in "${http_kinds[@]}"; do
        withstands "$kind" /readiness $((port + 2)) "$gateway_memory_kb" ready gateway
    done
    ;;
metrics)
    start_gateways "$1"
    for kind in "${http_kinds[@]}"; do
        withstands "$kind" /metrics $((port + 4)) "$gateway_memory_kb" metrics_read gateway
    done
    ;;
processes)
    start_gateways "$1"
    for kind in silent frame endless; do
        withstands "$kind" / "$port" "$gateway_memory_kb" submitted_by_other gateway other
    done
    ;;
announcements)
    start_gateways "$1"
    for kind in "${http_kinds[@]}"; do
        withstands "$kind" /Instances.Heartbeat/i-1 $((port + 30)) "$daemon_memory_kb" announced \
            supervisor
    done
    ;;
entry)
    start_own_interface "$1"
    for kind in "${http_kinds[@]}"; do
        withstands "$kind" /v1/jobs $((base_port + 20)) "$daemon_memory_kb" price_checked \
            "${control_names[0]}"
    done
    ;;
own_processes)
    start_own_interface "$1"
    for kind in silent frame endless; do
        withstands "$kind" / "$base_port" "$daemon_memory_kb" price_checked "${control_names[0]}"
        withstands "$kind" / $((base_port + 40)) "$daemon_memory_kb" price_checked "${worker_names[0]}"
    done
    ;;
*)
    echo "unknown listener: $listener" >&2
    exit 2
    ;;
esac
suite_end
