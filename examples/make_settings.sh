#!/usr/bin/env bash
# Writes the settings of an example deployment. Usage:
#   make_settings.sh EXAMPLE OUT_DIR [CONTROL_PORT [ENTRY_PORT [AGENT_PORT [BACKEND_PORT]]]]
# EXAMPLE is a folder beside this script with deployment.table and tokens/. Process n of a kind gets
# the port of its kind plus n, counted from 0. OUT_DIR receives NAME.yaml for each process and the
# cluster secret; the processes keep their logs and data folders there.
set -euo pipefail
example_dir=$(cd "$(dirname "$0")/$1" && pwd)
mkdir -p "$2"
out_dir=$(cd "$2" && pwd)
control_port=${3:-7101}
entry_port=${4:-8101}
agent_port=${5:-9101}
backend_port=${6:-9201}
ip=127.0.0.1

rows() {
    grep -v '^ *\(#\|$\)' "$example_dir/deployment.table" | grep "^$1 "
}

read -r _ region cores memory_mb accelerators per_group slots connections <<< "$(rows worker_type)"
operator_digest=$(tr -d '\n' < "$example_dir/tokens/ops.token" | sha256sum | cut -d' ' -f1)
replicas=""
for ((i = 0; i < $(rows control | wc -l); i++)); do
    replicas+="${replicas:+, }$ip:$((control_port + i))"
done

if [ ! -s "$out_dir/secret" ]; then
    (umask 077 && od -An -N32 -tx1 /dev/urandom | tr -d ' \n' > "$out_dir/secret")
fi

# The part that all processes share: name, data centre, roles.
write_common() {
    cat << END
name: $1
region: $region
data_centre: $2
roles: [$3]
cluster_secret_file: "$out_dir/secret"
log: {level: info, file: "$out_dir/$1.log"}
END
}

index=0
while read -r _ name data_centre; do
    {
        write_common "$name" "$data_centre" "entry, control"
        cat << END
data_folder: "$out_dir/$name.data"
control:
  listen: $ip:$((control_port + index))
  replicas: [$replicas]
entry:
  listen: $ip:$((entry_port + index))
  threads: 4
  max_body_kb: 1024
  drain_notice_ms: 500
  operators: [{name: ops, token_digest: $operator_digest}]
END
    } > "$out_dir/$name.yaml"
    index=$((index + 1))
done < <(rows control)

index=0
while read -r _ name data_centre rack; do
    {
        write_common "$name" "$data_centre" "agent"
        cat << END
control:
  replicas: [$replicas]
agent:
  worker: $name
  rack: $rack
  listen: $ip:$((agent_port + index))
  backend: $ip:$((backend_port + index))
  accelerators: $accelerators
  accelerators_per_group: $per_group
  cores: $cores
  memory_mb: $memory_mb
  slots: $slots
  connections: $connections
END
    } > "$out_dir/$name.yaml"
    index=$((index + 1))
done < <(rows agent)
