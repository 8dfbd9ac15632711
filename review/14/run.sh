#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no disruption.
folder=$(cd "$(dirname "$0")" && pwd)
exec bash "$folder/../stand_in_3/run_case.sh" too_many_on_one "$folder"
