#!/usr/bin/env bash
# Bad settings, a bad release note and a truncated frame: each is refused, and nothing else suffers.
# Usage: run.sh BIN_DIR
source "$(dirname "$0")/../common.sh"
suite_begin "$1" 24600

sed 's/^roles:.*/roles: [entry, kontrol]/' "$deployment_dir/w1.yaml" > "$suite_out/bad.yaml"
"$bin_dir/redwingwheeld" --config "$suite_out/bad.yaml" > /dev/null 2> "$suite_out/message"
status=$?
check "bad settings end with status 2" [ "$status" -eq 2 ]
check "the line names file, field, value and what is allowed" \
    grep -qE 'bad.yaml: roles\S*: value kontrol: allowed' "$suite_out/message"

printf 'note: bad\nbase: 1\nadded:\n  services:\n    - {name: x, class: fastest, accounts: [nobody]}\n' \
    > "$suite_out/note.yaml"
ctl ops release apply "$suite_out/note.yaml" > /dev/null 2> "$suite_out/message"
status=$?
check "a bad release note ends with status 2" [ "$status" -eq 2 ]
check "the line names the class" grep -q 'class: value fastest: allowed' "$suite_out/message"
check "nothing of it took effect" [ "$(revision)" = 1 ]

printf '\x7f\xff\xff\xff\x01' > "/dev/tcp/127.0.0.1/$base_port"
printf '\x00\x00\x01\x00\x01abc' > "/dev/tcp/127.0.0.1/$((base_port + 40))"
printf '\x00\x00\x00\x02\x09a' > "/dev/tcp/127.0.0.1/$base_port"
sleep 0.3
check "oversized, truncated and foreign frames are logged" \
    [ "$(grep -h 'event=frame_refused' "$deployment_dir"/*.log | wc -l)" -ge 3 ]
check "a request is still answered" ctl "$account" request send price-checks --file /dev/null
check "a wrong token is refused" grep -q 401 <(curl -s -o /dev/null -w '%{http_code}' \
    -H 'Authorization: Bearer wrong' -d x "http://$entry_address/v1/requests/price-checks")
check "another account's job cannot be seen" bash -c "
    '$bin_dir/redwingwheelctl' --entry $entry_address --token-file '$example_dir/tokens/$account.token' \
        job submit --id mine --service inspections --parameters '{\"run_ms\": 100}' &&
    ! '$bin_dir/redwingwheelctl' --entry $entry_address \
        --token-file '$example_dir/tokens/feria-maipo.token' job show mine"
check "no secret stands in a log" bash -c "! grep -qFf '$deployment_dir/secret' '$deployment_dir'/*.log"
suite_end
