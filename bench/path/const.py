"""Constants of the path measurement."""

import hashlib
from typing import Final

LOOPBACK: Final = "127.0.0.1"
DEPLOYMENT: Final = "bench"
# All endpoints are in the second data centre, so that the entry instance and
# the owner are always different processes.
ENTRY_DATA_CENTRE: Final = "entry"
OWNER_DATA_CENTRE: Final = "owner"

SHOP_TOKEN: Final = "token-of-the-bench"
MODEL: Final = "write/a{number}"
MODEL_AT_ENGINE: Final = "a{number}@1"
ENDPOINT: Final = "gpu-{number}"
ADAPTERS: Final = 48
ENGINES: Final = 8
STEP_S: Final = 0.008
MAX_RUNNING: Final = 32

TREE: Final = f"""
[shop shop]
token_sha256 = {hashlib.sha256(SHOP_TOKEN.encode()).hexdigest()}
answer_s = 20

[pool gpu]
kind = engine
slots = {ADAPTERS}
max_running = {MAX_RUNNING}
step_s = {STEP_S}

[service shop/write]
pool = gpu

[roster shop/write]
names =
    {{names}}
"""

PAIR_TOKENS: Final = 8
PAIR_WORKERS: Final = 4
WARM_UP_S: Final = 3.0
LOAD_PROCESSES: Final = 3
PAIRS_S: Final = 12.0
LOAD_S: Final = 8.0

GOAL_REQUESTS_PER_S: Final = 200
GOAL_TOKENS_PER_S: Final = 10_000
GOAL_ADDED_P99_MS: Final = STEP_S * 1000
