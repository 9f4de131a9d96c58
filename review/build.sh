#!/usr/bin/env bash
# Build the stand-ins of the review's scripts, the project's own too. They are
# plain Python and use the libraries that the deploy file's build has placed.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:.:review
python3 -S -m compileall -q review standins
python3 -S -c "import common.http, common.system, standins.forwarding.store"
