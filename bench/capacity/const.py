"""Target fleet size, and the budget of a node for the control plane."""

from typing import Final

NODES: Final = 350
WORKERS: Final = 780
ADAPTERS: Final = 86_000
REQUESTS_PER_S: Final = 2_800
TOKENS_PER_S: Final = 870_000
DATA_CENTRES: Final = 7
ACTIVATED_SHARE_PER_HOUR: Final = 0.18
CHANGES_PER_DAY: Final = 610
FAILURES_PER_DAY: Final = 15
REPLACEMENTS_PER_DAY: Final = 80
POOLS: Final = 4
# Assumed share of requests with an idempotency key.
KEYED_SHARE: Final = 0.1

NODES_PER_CENTRE: Final = NODES // DATA_CENTRES
WORKERS_PER_NODE: Final = WORKERS / NODES
DAY_S: Final = 86_400

BUDGET_CORE: Final = 0.023
BUDGET_MB: Final = 32
BUDGET_BYTES_PER_S: Final = 8_000
SERVICE_CALLS_PER_S: Final = 2_000

# Length and signature of a frame; TCP and IP headers of a packet.
FRAME_BYTES: Final = 36
PACKET_BYTES: Final = 40
MB: Final = 1024 * 1024
