"""Constants of the owner component."""

from typing import Final

DOMAIN: Final = "owner"

# How often time is looked at, and how often endpoints are asked to report.
TICK_S: Final = 0.1
REPORT_PERIOD_S: Final = 0.5
REPORT_TIMEOUT_S: Final = 1.0
SNAPSHOT_PERIOD_S: Final = 1.0

# Views do not name another owner and come back within this time, so that an
# instance that looks more often than this misses no change.
VIEW_GAP_S: Final = 0.3

# An endpoint's report may be this much older than what runs there.
REPORT_LAG_S: Final = 5.0
# A new owner waits this long for the other instances to say what they know.
PEERS_PATIENCE_S: Final = 1.0
# An endpoint that has not reported for this long gets nothing; less than
# LEAVING_BOUND_S, since it may be leaving and unable to say so.
UNREACHABLE_S: Final = 2.5
# How long a handover goes before a view that still names the instance that
# handed over.
OFFER_KEPT_S: Final = 10.0
# How long a handover is confirmed. Together with PEERS_PATIENCE_S it must stay
# below OWNER_LEASE_S, the least time that a third instance would wait.
CONFIRM_S: Final = 0.8
# An instance that shuts down stays this long to confirm its handovers.
LINGER_S: Final = 0.5

START_TIMEOUT_S: Final = 1.0
HANDOVER_TIMEOUT_S: Final = 1.0
# How long a request that needs a load waits for the word of its adapter's
# other endpoint; well below the entry's patience for its answer.
COPY_TIMEOUT_S: Final = 0.2
EVICT_TIMEOUT_S: Final = 10.0
# A load that takes this many times its expected time has failed.
LOAD_PATIENCE: Final = 20.0
MIN_LOAD_TIMEOUT_S: Final = 10.0
# How far past its answer time a request that already runs may go on.
RUNNING_GRACE_S: Final = 10.0
RETRY_AFTER_S: Final = 0.2

SERVICE_TIME_SMOOTHING: Final = 0.2
