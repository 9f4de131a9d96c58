"""Constants of the operators component."""

from typing import Final

DOMAIN: Final = "operators"

MAX_BODY_BYTES: Final = 16 * 1024
MAX_HEADER_BYTES: Final = 16 * 1024
IDLE_TIMEOUT_S: Final = 60.0
BODY_TIMEOUT_S: Final = 5.0

PERCENTILES: Final = (50.0, 90.0, 99.0, 99.9)
