"""Constants of the allowance component."""

from typing import Final

DOMAIN: Final = "allowance"

# Unspent grants expire after this. It bounds by how much a limit is exceeded
# when units granted in one window are spent in the next.
GRANT_TTL_S: Final = 1.0
# Share of the free capacity (at most what accrues in GRANT_TTL_S) that is
# granted beyond the need, so that most requests need no round trip.
PREFETCH_SHARE: Final = 1 / 8
# Share of a window's capacity from which nothing is prefetched.
RESERVED_SHARE: Final = 0.2
# Rate at which a new home's capacity grows, as a share of the limit's rate:
# another home may have granted a whole window just before.
WARMUP_RATE_SHARE: Final = 0.75
# Timeout of a query to an account's home: several round trips.
ASK_TIMEOUT_S: Final = 0.25
# An unresponsive home isn't queried for this long. Its deputies are queried
# meanwhile; if none answers, the instance uses its own share of the limit.
HOME_BACKOFF_S: Final = 1.0
# The home of an account and its deputies, in the order in which they are
# queried: with four, nearly every side of a partition contains one.
MAX_HOMES_ASKED: Final = 4
# A request waits once for capacity that becomes free within this time.
MAX_ADMISSION_WAIT_S: Final = 0.1
# Bounds of the wait that a refusal returns.
MIN_RETRY_AFTER_S: Final = 0.1
MAX_RETRY_AFTER_S: Final = 4.0
# The home is queried again this long after a refusal: a smaller request may
# fit, and units that other instances did not need become free.
RECHECK_S: Final = 0.5
# Refused requests lengthen the wait of later ones for this long.
REFUSED_DEMAND_TTL_S: Final = 1.0
# Lost instances count as admitting requests for this long if the settings give
# no revoked_bound_s.
LOST_INSTANCE_TTL_S: Final = 60.0
# Added to revoked_bound_s, within which an instance without the current
# configuration stops admitting: the time to detect that.
LOST_DETECTION_MARGIN_S: Final = 2.0
MAX_ACCOUNTS: Final = 4096

# Rate limits of endpoints. Their names begin with this prefix; an account that
# is named like an endpoint would share its units.
ENDPOINT_PREFIX: Final = "endpoint/"
ENDPOINT_WINDOW_S: Final = 4.0
# Requests in each window beyond the rate: without one, the slowest endpoints
# would never get a whole request.
ENDPOINT_BURST: Final = 1.0

# Prefix of the concurrency limits of endpoints that crash when they reject too
# many requests.
CONCURRENCY_PREFIX: Final = "concurrency/"
# Rejections are counted over this time.
REJECTION_WINDOW_S: Final = 1.0
# Permits beyond the slots, as a share: an endpoint would be idle between
# two requests if none waited.
EXTRA_PERMITS_SHARE: Final = 0.1
# An endpoint that has just started begins with this share of its slots.
START_SHARE: Final = 0.25
# An answer adds this much to the limit, and a rejection takes this much off
# what was in use. After a rejection the limit is kept for a while.
RAISED_BY: Final = 0.5
LOWERED_BY: Final = 0.5
HOLD_S: Final = 3.0
# Nothing is sent after this share of the rejections that an endpoint names.
REJECTED_SHARE: Final = 0.75
# Rejections within this time lower the limit once.
DECREASE_PERIOD_S: Final = 0.25
# Added to the time after which an unreturned permit expires.
PERMIT_MARGIN_S: Final = 1.0
# Validity of the request count that an instance has reported.
RUNNING_TTL_S: Final = 1.0
# Unused limits expire after this.
CONCURRENCY_TTL_S: Final = 30.0
