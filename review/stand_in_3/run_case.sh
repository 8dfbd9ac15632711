#!/usr/bin/env bash
# run_case.sh NAME FOLDER: plays a case and writes FOLDER/record.txt. Ends after 115 s at the latest.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/cases ] && [ -x target/bin/redwingwheeld ] || exit 2
timeout -k 1 115 target/review-3/cases "$1" . "$2/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
