# Functions to start and stop an example deployment on loopback; sourced by run.sh and testsuite.
# Every process is ended by its own process number.

declare -A process_ids=()
deployment_dir=""

# deployment_configure BIN_DIR EXAMPLE OUT_DIR BASE_PORT: writes settings. The ports of control,
# entries, agents and backend servers begin at BASE_PORT, +20, +40 and +60.
deployment_configure() {
    bin_dir=$1
    example_dir=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)/$2
    rm -rf "$3"
    mkdir -p "$3"
    deployment_dir=$(cd "$3" && pwd)
    base_port=$4
    "$example_dir/../make_settings.sh" "$2" "$deployment_dir" "$base_port" $((base_port + 20)) \
        $((base_port + 40)) $((base_port + 60))
    mapfile -t control_names < <(awk '$1 == "control" {print $2}' "$example_dir/deployment.table")
    mapfile -t worker_names < <(awk '$1 == "agent" {print $2}' "$example_dir/deployment.table")
    entry_address=127.0.0.1:$((base_port + 20))
}

# start_process NAME COMMAND...: runs a command in the background and notes its process number.
start_process() {
    local name=$1
    shift
    "$@" >> "$deployment_dir/$name.out" 2>&1 &
    process_ids[$name]=$!
}

start_daemon() {
    start_process "$1" "$bin_dir/redwingwheeld" --config "$deployment_dir/$1.yaml"
}

# start_backend WORKER_INDEX [OPTION...]
start_backend() {
    local index=$1
    shift
    start_process "backend-${worker_names[$index]}" "$bin_dir/backend-server-stand-in" \
        --port $((base_port + 60 + index)) --name "${worker_names[$index]}" "$@"
}

deployment_start() {
    local index
    for index in "${!worker_names[@]}"; do
        start_backend "$index"
    done
    for name in "${control_names[@]}" "${worker_names[@]}"; do
        start_daemon "$name"
    done
}

# stop_process NAME [SIGNAL]: ends one process and waits for it; returns its exit status.
stop_process() {
    local id=${process_ids[$1]:-}
    if [ -z "$id" ]; then
        return 0
    fi
    unset "process_ids[$1]"
    kill "-${2:-TERM}" "$id" 2>/dev/null || true
    local status=0
    wait "$id" 2>/dev/null || status=$?
    return "$status"
}

# deployment_stop: a planned stop, agents and entries before control. Prints what did not end well.
deployment_stop() {
    local name failed=0
    for name in "${worker_names[@]}"; do
        kill -TERM "${process_ids[$name]:-0}" 2>/dev/null || true
    done
    for name in "${worker_names[@]}" "${control_names[@]}"; do
        stop_process "$name" || { echo "$name ended with status $?"; failed=1; }
    done
    for name in "${!process_ids[@]}"; do
        stop_process "$name" || true
    done
    return "$failed"
}

# deployment_kill: ends everything at once; for the exit trap of a script.
deployment_kill() {
    local name
    for name in "${!process_ids[@]}"; do
        stop_process "$name" KILL || true
    done
}

# ctl TOKEN_NAME ARGUMENT...: the command-line tool with a token of the example.
ctl() {
    local token=$1
    shift
    "$bin_dir/redwingwheelctl" --entry "$entry_address" \
        --token-file "$example_dir/tokens/$token.token" "$@"
}

# wait_until SECONDS COMMAND...: repeats a command until it succeeds.
wait_until() {
    local deadline=$((SECONDS + $1))
    shift
    until "$@" > /dev/null 2>&1; do
        if [ "$SECONDS" -ge "$deadline" ]; then
            echo "not in time: $*" >&2
            return 1
        fi
        sleep 0.1
    done
}

# all_workers_known: every worker of the deployment serves.
all_workers_known() {
    [ "$(ctl ops status --json | grep -o '"state": *"serving"' | wc -l)" -eq "${#worker_names[@]}" ]
}

deployment_ready() {
    wait_until 30 curl -sf "http://$entry_address/health"
    wait_until 30 all_workers_known
}
