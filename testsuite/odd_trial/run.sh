#!/usr/bin/env bash
# Hostile documents, headers and paths: each gets an answer of its own, and no process ends.
# Usage: run.sh BIN_DIR
source "$(dirname "$0")/../common.sh"
suite_begin "$1" 25600
account_token=$(cat "$example_dir/tokens/$account.token")

# nested N: N arrays inside each other.
nested() {
    head -c "$1" /dev/zero | tr '\0' '['
    head -c "$1" /dev/zero | tr '\0' ']'
}

# job_body ID PARAMETERS
job_body() { printf '{"id":"%s","service":"inspections","parameters":%s}' "$1" "$2"; }

# call TOKEN ENTRY_INDEX PATH CURL_ARGUMENT...: the body of the answer, followed by its status.
call() {
    local token=$1 index=$2 path=$3
    shift 3
    curl -s -m 10 -w ' %{http_code}' -H "Authorization: Bearer $token" "$@" \
        "http://127.0.0.1:$((base_port + 20 + index))$path" 2>> "$suite_out/curl.err"
}

# answers STATUS TEXT COMMAND...: the answer has this status and contains the text.
answers() {
    local status=$1 text=$2
    shift 2
    "$@" > "$suite_out/answer"
    grep -aq " $status\$" "$suite_out/answer" && grep -aqF "$text" "$suite_out/answer"
}

all_alive() {
    local name
    for name in "${!process_ids[@]}"; do
        kill -0 "${process_ids[$name]}" || return 1
    done
}

for depth in 30000; do
job_body "deep-$depth" "{\"run_ms\":100,\"a\":$(nested $depth)}" > "$suite_out/body"
call "$account_token" 0 /v1/jobs --data-binary "@$suite_out/body" | head -c 300; echo
sleep 3
echo "depth $depth: $(job_state deep-$depth)"
check alive all_alive
done
grep -h "deep-" "$deployment_dir"/w*.log | head -20
suite_end
