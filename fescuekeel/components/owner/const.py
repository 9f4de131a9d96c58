"""Constants of the owner component."""

from typing import Final

DOMAIN: Final = "owner"

TICK_S: Final = 0.1
REPORT_PERIOD_S: Final = 0.5
REPORT_TIMEOUT_S: Final = 1.0
SNAPSHOT_PERIOD_S: Final = 1.0

# Views that name another owner do so for longer than this, so an instance
# that checks its view more often misses no change of owner.
MAX_RENEWAL_GAP_S: Final = 0.3

# An endpoint's report may lag behind its actual state by up to this much.
REPORT_LAG_S: Final = 5.0
# A call that checks whether an endpoint has crashed.
CRASH_CHECK_TIMEOUT_S: Final = 0.5
# Time for the answers of peers about an endpoint that seems to have crashed,
# three of their calls, and how many of them are asked.
PEER_CHECK_TIMEOUT_S: Final = 1.6
MAX_PEERS_ASKED: Final = 3
# An endpoint that has reported within this time before a run began was alive
# then: two report periods.
RECENTLY_ALIVE_S: Final = 1.0
# How long a new owner waits for the other instances to report running work.
PEERS_TIMEOUT_S: Final = 1.0
# An endpoint that has not reported for this long gets no more work. Must be
# less than LEAVING_BOUND_S: its reports that it is leaving may be delayed.
UNRESPONSIVE_S: Final = 2.5
# Without a report for this long, another instance is to own the endpoint. One
# report that is lost with a silent connection leaves a gap of 2.2 s.
LOST_CONTACT_S: Final = 3.0
# How long a handover overrides a view that still names the previous owner.
HANDOVER_OVERRIDE_S: Final = 10.0
# How long a previous owner confirms its handover. The sum with PEERS_TIMEOUT_S
# must be less than OWNER_LEASE_S, the shortest wait of a third instance.
HANDOVER_CONFIRM_S: Final = 0.8
# How long an instance that shuts down keeps confirming its handovers.
SHUTDOWN_CONFIRM_S: Final = 0.5

START_TIMEOUT_S: Final = 1.0
HANDOVER_TIMEOUT_S: Final = 1.0
# How long a request that needs a load waits for the owner of its adapter's
# other candidate endpoint; well below the entry's timeout for its answer.
COPY_TIMEOUT_S: Final = 0.2
EVICT_TIMEOUT_S: Final = 10.0
# A load is taken as failed after this many times its expected duration.
LOAD_TIMEOUT_FACTOR: Final = 20.0
MIN_LOAD_TIMEOUT_S: Final = 10.0
# A load without a reply is ordered again after this many times its expected
# duration, at least the second value. The time doubles with each repeat.
LOAD_REPEAT_FACTOR: Final = 4.0
MIN_REPEAT_S: Final = 1.0
# How long a running request may continue past its deadline.
RUNNING_GRACE_S: Final = 10.0
RETRY_AFTER_S: Final = 0.2

SERVICE_TIME_SMOOTHING: Final = 0.2
