#!/usr/bin/env bash
# Hostile documents, headers and paths: each gets an answer of its own, and no process ends.
# Usage: run.sh BIN_DIR
source "$(dirname "$0")/../common.sh"
suite_begin "$1" 25400
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

# raw TEXT: the first line that an entry answers to these bytes.
raw() {
    exec 9<> "/dev/tcp/127.0.0.1/$((base_port + 20))"
    printf '%b' "$1" >&9
    timeout 3 head -n 1 <&9
    exec 9>&-
}

all_alive() {
    local name
    for name in "${!process_ids[@]}"; do
        kill -0 "${process_ids[$name]}" || return 1
    done
}

job_body deep "{\"a\":$(nested 450000)}" > "$suite_out/body"
for index in 0 1 2; do
    check "entry $index refuses a job that nests 450,002 deep" \
        answers 400 '"value":"nested 450002 deep"' \
        call "$account_token" "$index" /v1/jobs --data-binary "@$suite_out/body"
done
check "the answer names the limit" grep -qF '"allowed":"nested at most 64 deep"' "$suite_out/answer"
job_body deep-65 "$(nested 64)" > "$suite_out/body"
check "65 levels are refused" answers 400 '"value":"nested 65 deep"' \
    call "$account_token" 0 /v1/jobs --data-binary "@$suite_out/body"
job_body deep-64 "{\"run_ms\":100,\"a\":$(nested 62)}" > "$suite_out/body"
check "64 levels are accepted" answers 200 '"id":"deep-64"' \
    call "$account_token" 0 /v1/jobs --data-binary "@$suite_out/body"
must_happen 20 job_is deep-64 done
check "no process has ended over deep documents" all_alive

for index in 0 1 2; do
    check "entry $index refuses a deadline that is not UTF-8" \
        answers 400 '"field":"X-Deadline-Ms"' call "$account_token" "$index" \
        /v1/requests/price-checks -H $'X-Deadline-Ms: \xff\xfe' -d x
    check "entry $index takes any bytes in a key" answers 200 '' call "$account_token" "$index" \
        /v1/requests/recounts -H "Idempotency-Key: $(date +%s)-"$'\xff' -d x
    check "entry $index refuses a query value that is not UTF-8" answers 400 '"field":"limit"' \
        call "$account_token" "$index" $'/v1/jobs?limit=\xff'
    check "entry $index refuses a path that is not UTF-8" answers 404 not_run \
        call "$account_token" "$index" $'/v1/jobs/\xff'
    check "entry $index refuses a data centre that is not UTF-8" answers 404 not_run \
        call "$(cat "$example_dir/tokens/ops.token")" "$index" \
        $'/v1/data-centres/\xff/withdraw' -X POST
done
check "no process has ended over bytes that are not UTF-8" all_alive

{
    printf '{"service":"inspections","'
    head -c 900000 /dev/zero | tr '\0' 'n'
    printf '":1}'
} > "$suite_out/body"
check "an unknown field with a name of 900,000 bytes is refused" answers 400 '"field":"nnn' \
    call "$account_token" 0 /v1/jobs --data-binary "@$suite_out/body"
check "the answer does not repeat the whole name" [ "$(wc -c < "$suite_out/answer")" -lt 1000 ]
for number in 1e400 -1 1.5 18446744073709551616 -9223372036854775809 '"4"' null; do
    check "members $number is refused" answers 400 not_run call "$account_token" 0 /v1/jobs \
        -d "{\"service\":\"inspections\",\"members\":$number}"
done

ctl "$account" job submit --service inspections --parameters "$(nested 60000)" \
    > /dev/null 2> "$suite_out/message"
status=$?
check "the tool refuses deep parameters with status 2" [ "$status" -eq 2 ]
check "its line names the limit" grep -q 'nested at most 64 deep' "$suite_out/message"

for header in 'Host: x:99999' 'Host: x:0' 'Host: x:-1' 'Host: [::1' 'Host: ' \
    'Content-Length: 99999999999999999999' 'Content-Length: -1' 'Content-Length: x' \
    'Content-Type: \0377/;=' 'Accept: ;q=9e999' 'Connection: \0377' 'Cookie: =;=;' \
    'Cache-Control: max-age=99999999999999999999' 'Date: 99999999999999999999' 'Expect: \0377' \
    'Transfer-Encoding: chunked\r\n\r\nFFFFFFFFFFFFFFFFFFFF' 'Authorization: \0377'; do
    check "the header $header gets an answer" \
        grep -aq '^HTTP/1.1 [2-4]' <(raw "GET /health HTTP/1.1\r\n$header\r\n\r\n")
done
for line in 'GET  HTTP/1.1' 'GET /%zz%ff%0 HTTP/1.1' 'GET /?=&&==%ff HTTP/1.1' '\0377\0376 / HTTP/1.1' \
    'TRACE * HTTP/1.1'; do
    check "the request $line gets an answer" grep -aq '^HTTP/1.1 [2-4]' <(raw "$line\r\n\r\n")
done
check "no process has ended over headers" all_alive

check "every entry and worker serves" all_serving
check "a request is still answered" ctl "$account" request send price-checks --file /dev/null
suite_end
