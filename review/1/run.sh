#!/usr/bin/env bash
# Exit with 1 if CONFIG or LOST was broken, 0 if they held, 2 if it can't run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps:.:review
exec python3 -S review/1/case.py
