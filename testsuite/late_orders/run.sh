#!/usr/bin/env bash
# Orders for a data centre that their operator has given up, and that reach an entry after later
# orders were acknowledged. Usage: run.sh BIN_DIR
source "$(dirname "$0")/../common.sh"
suite_begin "$1" 26000

token=$(tr -d '\n' < "$example_dir/tokens/ops.token")

# order ACTION ENTRY: sends an order, and gives it up after a second without an answer.
order() {
    curl -s -m 1 -o /dev/null -X POST -H "Authorization: Bearer $token" \
        "http://$2/v1/data-centres/dc2/$1"
}
# data_centre_state ENTRY: the state of dc2.
data_centre_state() {
    curl -s -m 5 -H "Authorization: Bearer $token" "http://$1/v1/status" | tr -d ' \n' |
        tr '{' '\n' | grep '"name":"dc2"' | sed 's/.*"state":"\([a-z_]*\)".*/\1/'
}
is_withdrawn() { [ "$(data_centre_state "$other")" = withdrawn ]; }

leader=$(leader_name)
names=()
for index in "${!control_names[@]}"; do
    [ "${control_names[$index]}" = "$leader" ] || names+=("$index")
done
slow=127.0.0.1:$((base_port + 20 + names[0]))
other=127.0.0.1:$((base_port + 20 + names[1]))

check "a data centre is withdrawn" order withdraw "$other"
kill -STOP "${process_ids[${control_names[${names[0]}]}]}"
order restore "$slow"
check "a frozen entry answers no order" [ "$?" -ne 0 ]
check "the order is acknowledged elsewhere" order restore "$other"
check "the data centre is withdrawn again" order withdraw "$other"
kill -CONT "${process_ids[${control_names[${names[0]}]}]}"
sleep 2
check "an order that a frozen entry reads late has no effect" is_withdrawn

# The end of the order is held up on the network, without a standstill of any process.
exec 9<> "/dev/tcp/${slow%:*}/${slow#*:}"
printf 'POST /v1/data-centres/dc2/restore HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n' \
    "$token" >&9
sleep 1
check "the order is acknowledged elsewhere again" order restore "$other"
check "the data centre is withdrawn once more" order withdraw "$other"
printf '\r\n' >&9
exec 9>&- 9<&-
sleep 2
check "an order that arrives after its operator has left has no effect" is_withdrawn
check "the entry serves orders of operators who wait" order restore "$slow"
check "the data centre is in service" [ "$(data_centre_state "$other")" = in_service ]
suite_end
