#!/usr/bin/env bash
# Writes record.txt beside this file: what was sent, answered and run.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=$PWD PYTHONDONTWRITEBYTECODE=1
exec timeout -k 5 115 python3 review/10/case.py
