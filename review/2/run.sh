#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
TROUBLE=${TROUBLE:-1}
exec "$folder/../run_case.sh" suspension "$folder" "$TROUBLE"
