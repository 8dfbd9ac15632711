#!/usr/bin/env bash
# Compares the help and the messages on bad input with the reference output. Usage: run.sh BIN_DIR
# With UPDATE=1 the reference output is written anew.
set -uo pipefail
tool=$1/redwingwheelctl
unset REDWINGWHEEL_ENTRY REDWINGWHEEL_TOKEN_FILE
actual=$(mktemp -d)
trap 'rm -rf "$actual"' EXIT

# Runs the tool and records the command line, both outputs and the exit status.
record() {
    echo "\$ redwingwheelctl $*"
    "$tool" "$@" < /dev/null 2>&1
    echo "exit status $?"
    echo
}

{
    record --help
    for command in "release apply" "release show" "release diff" "release history" "job submit" \
        "job show" "job list" "job cancel" explain "request send" status "datacentre withdraw" \
        "datacentre restore" "account show" "account usage" "config check" "token digest"; do
        # shellcheck disable=SC2086
        record $command --help
    done
} > "$actual/help.txt"

{
    record
    record relase apply
    record release apply
    record --loud status
    record status
    record --entry nowhere status
    record --entry 127.0.0.1:1 --token-file missing.token status
    record --entry 127.0.0.1:1 --token-file empty.token status
    record release show --wait
    record --timeout-ms ten --entry 127.0.0.1:1 --token-file good.token status
    record --entry 127.0.0.1:1 --token-file good.token job submit --members 0 --priority now
    record --entry 127.0.0.1:1 --token-file good.token request send recounts --key 12
    record --entry 127.0.0.1:1 --token-file good.token release apply bad-note.yaml
    record config check missing.yaml
    record config check bad-settings.yaml
    record config check bad-note.yaml
    record config check not-yaml.yaml
    record config check good-settings.yaml
    record token digest good.token
    record token digest empty.token
} > "$actual/bad-input.txt"

if [ "${UPDATE:-0}" = 1 ]; then
    cp "$actual"/*.txt expected/
fi
status=0
for file in help.txt bad-input.txt; do
    diff -u "expected/$file" "$actual/$file" || status=1
done
exit "$status"
