#!/usr/bin/env bash
# All roles in one process with one data folder: a release note, a request, a gang, a recount sent
# twice, and a restart that keeps all of it. Usage: run.sh BIN_DIR
source "$(dirname "$0")/../common.sh"
trap 'deployment_kill; rm -rf "$suite_out"' EXIT
suite_out=$(mktemp -d)
bin_dir=$(cd "$1" && pwd)
example_dir=$(cd "$suite_dir/../examples/inspector" && pwd)
deployment_dir=$suite_out
base_port=24800
worker_names=(w1)
control_names=(all)
entry_address=127.0.0.1:$((base_port + 20))
all_entries=(--entry "$entry_address")
echo secret > "$suite_out/secret"
cat > "$suite_out/all.yaml" <<END
name: all
region: santiago
data_centre: dc1
roles: [entry, control, agent]
data_folder: $suite_out/data
cluster_secret_file: $suite_out/secret
log: {level: info, file: $suite_out/all.log}
control: {listen: "127.0.0.1:$base_port", replicas: ["127.0.0.1:$base_port"]}
entry:
  listen: $entry_address
  threads: 2
  max_body_kb: 1024
  drain_notice_ms: 100
  operators: [{name: ops, token_digest: $(tr -d '\n' < "$example_dir/tokens/ops.token" | sha256sum | cut -d' ' -f1)}]
agent: {worker: w1, rack: r1, listen: "127.0.0.1:$((base_port + 40))", backend: "127.0.0.1:$((base_port + 60))",
        accelerators: 8, accelerators_per_group: 4, cores: 32, memory_mb: 65536, slots: 8, connections: 64}
END
cat > "$suite_out/note.yaml" <<END
note: first
base: 0
added:
  data_centres: [{name: dc1, region: santiago}]
  client_accounts:
    - {name: mercado-central, token_digest: $(tr -d '\n' < "$example_dir/tokens/mercado-central.token" | sha256sum | cut -d' ' -f1), weight: 1}
  agreements:
    - {id: a1, account: mercado-central, level: group, count: 1, starts: 2026-01-01, ends: 2099-01-01}
  services:
    - {name: inspections, class: standard, idempotent: true, can_checkpoint: true, accounts: [mercado-central], default_deadline_ms: 5000}
    - {name: recounts, class: batch, idempotent: false, can_checkpoint: false, accounts: [mercado-central], default_deadline_ms: 5000}
END

recount() { echo lot | any "$account" request send recounts --file - --key "$key"; }
start_backend 0
start_daemon all
deployment_ready
check "a release note is in force" any ops release apply "$suite_out/note.yaml" --wait
check "a request is answered" any "$account" request send inspections --file "$suite_out/secret"
any "$account" job submit --id gang --service inspections --members 8 --adjacency host \
    --parameters '{"run_ms": 300}' > /dev/null
check "a gang of 8 runs to its end" wait_until 15 job_is gang done
key="$(date +%s)-lot"
first=$(recount)
stop_process all KILL
start_daemon all
must_happen 20 all_serving
check "the recorded answer survives a kill" [ "$(recount)" = "$first" ]
check "the job's record survives a kill" job_is gang done
# The caller gives up while the process is frozen; the request is still in the socket when it wakes.
before=$(executed_requests)
kill -STOP "${process_ids[all]}"
curl -s -m 0.5 -H "Authorization: Bearer $(tr -d '\n' < "$example_dir/tokens/$account.token")" \
    -H "X-Deadline-Ms: 500" -H "Idempotency-Key: $(date +%s)-frozen" --data lot \
    "http://$entry_address/v1/requests/recounts" > /dev/null
sleep 1
kill -CONT "${process_ids[all]}"
sleep 1
check "a request whose caller gave up while the process was frozen is not run" \
    [ "$(executed_requests)" -eq "$before" ]
stop_process all
check "a planned stop ends with status 0" [ "$?" -eq 0 ]
start_daemon all
must_happen 20 all_serving
check "no request, task or accelerator was used twice" [ "$(doubles)" -eq 0 ]
# A guarantee that the inventory cannot hold is refused with the shortfall.
printf 'note: large\nbase: 1\nadded:\n  agreements:\n    - {id: a2, account: mercado-central, level: host, count: 3, starts: 2026-01-01, ends: 2099-01-01}\n' \
    > "$suite_out/large.yaml"
any ops release apply "$suite_out/large.yaml" > "$suite_out/large.out" 2>&1
check "a note that the inventory cannot hold is refused with status 1" [ "$?" -eq 1 ]
check "the refusal names the agreement and the level" grep -q 'a2.*host' "$suite_out/large.out"
# A job that can never run is refused at once with the reason.
any "$account" job submit --id never --service inspections --members 2 --accelerators 9 > "$suite_out/never.out" 2>&1
check "a job that can never fit is refused at once" [ "$?" -ne 0 ]
suite_end
