# Shared by the cases of clients that do not behave: two gateways, one of them a replica, and a
# supervisor, all in $suite_out and on the ports from $port on. Sourced with the folder of the
# programs as $1.
# shellcheck source=/dev/null
source "$(dirname "${BASH_SOURCE[0]}")/common.sh"

tolerated_losses=0

# write_gateway NAME INDEX EXTRA_SETTINGS [SEED...]
write_gateway() {
    local first=$((port + 10 * $2)) name=$1 extra=$3 seeds
    shift 3
    seeds=$(printf '"%s",' "${@:-127.0.0.1:$port}")
    cat > "$suite_out/$name.yaml" << END
name: $name
region: r
data_centre: dc
roles: [gateway]
cluster_secret_file: "$suite_out/secret"
log: {file: "$suite_out/$name.log"}
cluster:
  listen: 127.0.0.1:$first
  seeds: [${seeds%,}]
  founding: true
  tolerated_losses: $tolerated_losses
gateway:
  listen: 127.0.0.1:$((first + 1))
  readiness: 127.0.0.1:$((first + 2))
  administration: 127.0.0.1:$((first + 3))
metrics: {listen: "127.0.0.1:$((first + 4))"}
$extra
END
}

write_supervisor() {
    cat > "$suite_out/supervisor.yaml" << END
name: supervisor
region: r
data_centre: dc
roles: [supervisor]
cluster_secret_file: "$suite_out/secret"
log: {file: "$suite_out/supervisor.log"}
cluster: {seeds: ["127.0.0.1:$port"]}
supervisor: {listen: "127.0.0.1:$((port + 30))", worker: "127.0.0.1:$((port + 31))", lease_ms: 6000}
END
}

# status PORT PATH CURL_ARGUMENT...: the status of the answer.
status() {
    local to=$1 path=$2
    shift 2
    curl -s -m 10 -o /dev/null -w '%{http_code}' -H 'Content-Type: application/json' "$@" \
        "http://127.0.0.1:$to$path"
}

installed() {
    [ "$(status $((port + 3)) /Config.Put -d '{"Version":1,"Routes":[{"Name":"q","Host":"h.example",
        "PathPrefix":"/q/","Type":"non_idempotent","TimeoutMs":3000,"Priority":1,"Service":"s",
        "MaxAttempts":2,"Stretch":3.0,"Public":true}],"Services":[{"Name":"s"}],"Tenants":[]}')" = 200 ]
}

submitted() {
    local id
    id=$(od -An -N8 -tx1 /dev/urandom | tr -d ' \n')
    [ "$(status "$1" "/q/$id" -H 'Host: h.example' \
        -d '{"Spec":"x","Steps":[{"Count":1,"Cpu":500,"MemMb":256}]}')" = 200 ]
}
submitted_here() { submitted $((port + 1)); }
submitted_by_other() { submitted $((port + 11)); }
configuration_read() { [ "$(status $((port + 3)) /Config.Get)" = 200 ]; }
ready() { [ "$(status $((port + 2)) /readiness)" = 200 ]; }
metrics_read() { [ "$(status $((port + 4)) /metrics)" = 200 ]; }
announced() {
    [ "$(status $((port + 30)) /Instances.Heartbeat/i-1 -d '{"Service":"s",
        "Address":"127.0.0.1:'$((port + 31))'","Zone":"dc","Version":"v1","Slots":8,"State":"ready",
        "ColdRemainingMs":0,"Capacity":{"Cpu":16000,"MemMb":32768,"Gpu":0},"Labels":["a"],
        "ClockMs":1000,"Sequence":4,"born":1700000000000}')" = 200 ]
}

start_gateways() {
    bin_dir=$(cd "$1" && pwd)
    echo "secret of the case" > "$suite_out/secret"
    mkdir "$suite_out/data"
    write_gateway gateway 0 "data_folder: \"$suite_out/data\""
    write_gateway other 1 ""
    write_supervisor
    for name in gateway other supervisor; do
        start_daemon "$name"
    done
    wait_until 60 installed || exit 1
    wait_until 60 submitted_here || exit 1
    wait_until 60 submitted_by_other || exit 1
}
