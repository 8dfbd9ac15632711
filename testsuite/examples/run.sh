#!/usr/bin/env bash
# Writes the settings of each example and checks them and the release notes. Usage: run.sh BIN_DIR
# Guards against examples that fall behind the settings' keys, and against port clashes.
set -euo pipefail
export LC_ALL=C
tool=$1/redwingwheelctl
examples=$(cd ../../examples && pwd)
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT

{
    for example in inspector planner; do
        "$examples/make_settings.sh" "$example" "$out/$example" 17101 18101 19101 19201
        for file in "$out/$example"/*.yaml "$examples/$example"/*.yaml; do
            echo "$example $("$tool" config check "$file" 2>&1 | sed "s#^.*/##")"
        done
        listens=$(sed -n 's/^ *\(listen\|backend\): //p' "$out/$example"/*.yaml)
        echo "$example addresses $(wc -l <<< "$listens") distinct $(sort -u <<< "$listens" | wc -l)"
        stat -c "$example secret mode %a size %s" "$out/$example/secret"
    done
    # Shows that the check can fail.
    sed -i 's/^  slots: .*/  slots: 0/' "$out/planner/w1.yaml"
    "$tool" config check "$out/planner/w1.yaml" 2>&1 | sed "s#^.*/##" || true
} > "$out/actual.txt"

if [ "${UPDATE:-0}" = 1 ]; then
    cp "$out/actual.txt" expected/checks.txt
fi
diff -u expected/checks.txt "$out/actual.txt"
