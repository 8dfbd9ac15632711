#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need; does nothing when all are present.
set -euo pipefail

packages=(
    g++ cmake ninja-build ccache pkg-config clang-format clang-tidy
    libpistache-dev libcurl4-openssl-dev libmsgpack-cxx-dev libboost-dev libyaml-cpp-dev
    libpopt-dev libspdlog-dev libfmt-dev libabsl-dev catch2 libtrompeloeil-cpp-dev nlohmann-json3-dev
    libxxhash-dev libssl-dev librapidcheck-dev libbenchmark-dev curl bc procps
)

missing=()
for package in "${packages[@]}"; do
    if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
        missing+=("$package")
    fi
done

if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${missing[@]}"
fi
