#!/usr/bin/env bash
# Runs clang-tidy over every source file. Usage: check_lint.sh BUILD_DIR [FILE...]
# A file whose text and headers are unchanged since a clean run is skipped.
set -euo pipefail
cd "$(dirname "$0")/../.."
build_dir=$1
shift
cache_dir=${XDG_CACHE_HOME:-$HOME/.cache}/redwingwheel-lint
mkdir -p "$cache_dir"

if [ "$#" -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(find src platform -name '*.cpp' | sort)
fi
headers_digest=$(find src platform -name '*.h' | sort | xargs cat .clang-tidy | sha256sum | cut -d' ' -f1)

lint_file() {
    local file=$1 digest
    digest=$( (echo "$headers_digest"; cat "$file") | sha256sum | cut -d' ' -f1)
    if [ -e "$cache_dir/$digest" ]; then
        return 0
    fi
    if clang-tidy --quiet -p "$build_dir" "$file" 2>/dev/null; then
        touch "$cache_dir/$digest"
    else
        echo "lint: $file has findings"
        return 1
    fi
}
export -f lint_file
export headers_digest cache_dir build_dir
printf '%s\0' "${files[@]}" | xargs -0 -P "$(nproc)" -I{} bash -c 'lint_file "$1"' _ {}
echo "lint: clean"
