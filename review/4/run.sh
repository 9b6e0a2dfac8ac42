#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
export PYTHONDONTWRITEBYTECODE=1
timeout -k 5 110 python3 "$folder/case.py" "$folder"
code=$?
exit $((code > 2 ? 2 : code))
