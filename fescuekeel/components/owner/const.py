"""Constants of the owner component."""

from typing import Final

DOMAIN: Final = "owner"

# How often time is looked at, and how often endpoints are asked to report.
TICK_S: Final = 0.1
REPORT_PERIOD_S: Final = 0.5
REPORT_TIMEOUT_S: Final = 1.0
SNAPSHOT_PERIOD_S: Final = 1.0

# An endpoint's report may be this much older than what runs there.
REPORT_LAG_S: Final = 5.0
# A new owner waits this long for the other instances to say what they know.
PEERS_PATIENCE_S: Final = 1.0
# An endpoint that has not reported for this long gets nothing.
UNREACHABLE_S: Final = 3.0
# A handover that comes before the view names this instance is kept this long.
OFFER_KEPT_S: Final = 10.0

START_TIMEOUT_S: Final = 1.0
HANDOVER_TIMEOUT_S: Final = 1.0
EVICT_TIMEOUT_S: Final = 10.0
# A load that takes this many times its expected time has failed.
LOAD_PATIENCE: Final = 20.0
MIN_LOAD_TIMEOUT_S: Final = 10.0
# How far past its answer time a request that already runs may go on.
RUNNING_GRACE_S: Final = 10.0
RETRY_AFTER_S: Final = 0.2

DEFAULT_MAX_QUEUED: Final = 512
SERVICE_TIME_SMOOTHING: Final = 0.2
