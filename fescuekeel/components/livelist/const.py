"""Constants of the livelist component."""

from typing import Final

DOMAIN: Final = "livelist"
LIVE_PATH: Final = "/v1/live"

POLL_S: Final = 1.0
# Random jitter of each interval, so that instances started at the same time
# do not poll at the same time.
JITTER_FRACTION: Final = 0.25
CONNECT_TIMEOUT_S: Final = 1.0
REQUEST_TIMEOUT_S: Final = 2.0
MAX_LIST_BYTES: Final = 1024 * 1024
