#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 14 into target/review-3, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o target/review-3/cases \
    review/stand_in_3/cases.cpp review/stand_in_3/lab.cpp
