"""Constants of the livelist component."""

from typing import Final

DOMAIN: Final = "livelist"
LIVE_PATH: Final = "/v1/live"

POLL_S: Final = 1.0
# Each wait is drawn from this share of the interval around it, so that
# instances started together do not call together.
JITTER_SHARE: Final = 0.25
CONNECT_TIMEOUT_S: Final = 1.0
REQUEST_TIMEOUT_S: Final = 2.0
MAX_LIST_BYTES: Final = 1024 * 1024
