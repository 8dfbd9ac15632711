# Shared by the end-to-end cases: an example deployment in a folder of its own, and checks that
# print one line each. Sourced with the folder of the programs as $1.
set -uo pipefail
suite_dir=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
# shellcheck source=/dev/null
source "$suite_dir/../examples/deployment.sh"
account=mercado-central
failures=0

# suite_begin BIN_DIR BASE_PORT: a running deployment of the first example, with its release note.
suite_begin() {
    trap 'deployment_kill; rm -rf "$suite_out"' EXIT
    suite_out=$(mktemp -d)
    deployment_configure "$(cd "$1" && pwd)" inspector "$suite_out/deployment" "$2"
    deployment_start
    deployment_ready || exit 1
    ctl ops release apply "$example_dir/release-note.yaml" --wait > /dev/null || exit 1
    all_entries=()
    for index in "${!control_names[@]}"; do
        all_entries+=(--entry "127.0.0.1:$((base_port + 20 + index))")
    done
}

# check TEXT COMMAND...: prints whether a condition holds; the case fails when one does not.
check() {
    local text=$1
    shift
    if "$@" > /dev/null 2>> "$suite_out/checks.err"; then
        echo "ok: $text"
    else
        echo "FAILED: $text"
        failures=$((failures + 1))
    fi
}

# all_serving: every worker is known and every entry is healthy, as the balancer sees it.
all_serving() {
    local index
    for index in "${!control_names[@]}"; do
        curl -sf -m 1 "http://127.0.0.1:$((base_port + 20 + index))/health" || return 1
    done
    all_workers_known
}

# must_happen SECONDS COMMAND...: waits as wait_until does; the case fails when it waits in vain.
must_happen() {
    if ! wait_until "$@"; then
        echo "FAILED: not within $1 s: ${*:2}"
        failures=$((failures + 1))
    fi
}

# suite_end: prints the logs' warnings when a check failed; returns the verdict.
suite_end() {
    if [ "$failures" -gt 0 ]; then
        sort "$suite_out"/*.err 2> /dev/null | uniq -c | sort -rn | head -20 >&2
        grep -h -E 'level=(warning|error)' "$deployment_dir"/*.log | tail -60 >&2
        exit 1
    fi
    exit 0
}

# any TOKEN ARGUMENT...: as ctl, with every entry of the deployment in turn.
any() {
    local token=$1
    shift
    "$bin_dir/redwingwheelctl" "${all_entries[@]}" \
        --token-file "$example_dir/tokens/$token.token" --timeout-ms 20000 "$@"
}

# json TOKEN ARGUMENT...: as any, with the answer as JSON on one line without spaces.
json() { any "$@" --json | tr -d ' \n'; }

# backend_log WORKER_INDEX: what the backend server executed.
backend_log() { curl -s -m 5 "http://127.0.0.1:$((base_port + 60 + $1))/log"; }

# executed_requests: number of requests that all backend servers together executed.
executed_requests() {
    local index
    for index in "${!worker_names[@]}"; do
        backend_log "$index" | sed 's/.*"requests":{\([^}]*\)}.*/\1/' | grep -o '":[0-9]*'
    done | sed 's/":/+/' | tr -d '\n' | sed 's/^/0/; s/$/\n/' | bc
}

# doubles: double executions of requests, tasks and accelerators over all backend servers.
doubles() {
    local index
    for index in "${!worker_names[@]}"; do
        backend_log "$index" | grep -oE '"(double_requests|double_tasks|double_accelerators)":[0-9]+'
    done | sed 's/.*:/+/' | tr -d '\n' | sed 's/^/0/; s/$/\n/' | bc
}

# leader_name: the control process that leads.
leader_name() {
    local port
    port=$(json ops status | grep -o '"leader":"[^"]*"' | sed 's/.*:\([0-9]*\)"/\1/')
    echo "${control_names[$((port - base_port))]}"
}

job_state() { json "$account" job show "$1" | grep -o '"state":"[^"]*"' | sed 's/.*"\([^"]*\)"$/\1/'; }
job_is() { [ "$(job_state "$1")" = "$2" ]; }
revision() { json ops release show | grep -o '"revision":[0-9]*' | head -1 | grep -o '[0-9]*$'; }

# balanced N TOKEN ARGUMENT...: as ctl, by the way of the platform's balancer: the N-th entry or the
# next one whose health page says that it serves.
balanced() {
    local turn=$1 token=$2 try address
    shift 2
    for try in 0 1 2; do
        address=127.0.0.1:$((base_port + 20 + (turn + try) % ${#control_names[@]}))
        if curl -sf -m 1 "http://$address/health" > /dev/null; then
            break
        fi
    done
    "$bin_dir/redwingwheelctl" --entry "$address" \
        --token-file "$example_dir/tokens/$token.token" --timeout-ms 20000 "$@"
}
