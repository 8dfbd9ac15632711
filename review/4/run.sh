#!/usr/bin/env bash
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../run_case.sh" lasting "$folder"
