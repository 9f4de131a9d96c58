"""Constants of the keys component."""

from typing import Final

DOMAIN: Final = "keys"

HOMES: Final = 3
DEFAULT_LIFETIME_S: Final = 600.0
# A claim that nobody settles ends its lifetime after this long; requests are
# shorter, and a claiming instance does not act on a claim as old as FRESH_S.
REQUEST_MAX_S: Final = 600.0
FRESH_S: Final = 60.0
# An instance that the list has dropped counts as a home until all that it may
# have granted has ended.
HOLD_S: Final = DEFAULT_LIFETIME_S + REQUEST_MAX_S

MAX_CLAIMS: Final = 50_000
MAX_HELD: Final = 4096
PAGE: Final = 2000
CLAIM_TIMEOUT_S: Final = 0.5
CLAIM_TRIES: Final = 3
PULL_TIMEOUT_S: Final = 1.0
PULL_PERIOD_S: Final = 0.25
PULLS_AT_ONCE: Final = 16
EXPIRE_PERIOD_S: Final = 1.0
TIE_RETRY_S: Final = 0.2
