#!/usr/bin/env bash
# Fails when a source file differs from what clang-format makes of it.
set -euo pipefail
cd "$(dirname "$0")/../.."
find src platform -name '*.h' -o -name '*.cpp' | sort | xargs clang-format --dry-run --Werror
echo "format: clean"
