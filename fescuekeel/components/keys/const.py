"""Constants of the keys component."""

from typing import Final

DOMAIN: Final = "keys"

# Number of homes, that is replicas, of a key.
HOMES_PER_KEY: Final = 3
DEFAULT_LIFETIME_S: Final = 600.0
# A claim that is never settled starts its lifetime after this. Requests are
# shorter, and no instance acts on its own claim past CLAIM_MAX_AGE_S.
REQUEST_MAX_S: Final = 600.0
CLAIM_MAX_AGE_S: Final = 60.0
# An instance that is no longer listed counts as a home until all claims that
# it may have granted have expired.
DELISTED_HOLD_S: Final = DEFAULT_LIFETIME_S + REQUEST_MAX_S

MAX_CLAIMS: Final = 50_000
MAX_LEFT_INSTANCES: Final = 4096
PAGE_RECORDS: Final = 2000
CLAIM_TIMEOUT_S: Final = 0.5
CLAIM_TRIES: Final = 3
PULL_TIMEOUT_S: Final = 1.0
PULL_PERIOD_S: Final = 0.25
MAX_CONCURRENT_PULLS: Final = 16
EXPIRE_PERIOD_S: Final = 1.0
TIE_RETRY_S: Final = 0.2
# Longer than it takes to notice that a connection is silent, or that a
# partition has healed.
RESEND_SETTLE_S: Final = 30.0
MAX_RECENT_REQUESTS: Final = 4_000
