"""Constants of the membership component."""

from typing import Final

DOMAIN: Final = "membership"

TICK_S: Final = 0.25
PROBE_PERIOD_S: Final = 0.5
PROBE_TIMEOUT_S: Final = 0.4
# A helper's own probe, plus one round trip to the helper.
INDIRECT_TIMEOUT_S: Final = 0.7
INDIRECT_PROBE_HELPERS: Final = 3
SUSPICION_TIMEOUT_S: Final = 1.2
# Every n-th probe period also probes a dead instance.
DEAD_PROBE_EVERY: Final = 4
# A longer gap between ticks means that the process was paused.
PAUSE_S: Final = 1.0

# Each piece of news is sent RETRANSMIT_FACTOR * log2(fleet size) times, but at
# most MAX_RETRANSMITS times. Comparing digests finds peers that miss it.
RETRANSMIT_FACTOR: Final = 3
MAX_RETRANSMITS: Final = 6
# Pieces of news per message, some 2 KB; large, so that instances of a fleet
# that starts all at once discover each other within seconds. With ten pieces,
# 195 instances on a virtual clock took over 20 s, with 100 they take 1.6 s.
MAX_NEWS: Final = 100
# News is pushed until it has been sent this often; then it rides on probes.
PUSH_TRANSMITS: Final = 4
# Full-state syncs to peers whose digest differs: the shortest time between
# two, and the most records in one, some 40 KB.
SYNC_PERIOD_S: Final = 0.5
MAX_SYNC_NEWS: Final = 1000
PUSH_FANOUT: Final = 3
PUSH_PERIOD_S: Final = 0.2
TREE_REPUBLISH_PERIOD_S: Final = 1.0

DEAD_RETENTION_S: Final = 7200.0
LEFT_RETENTION_S: Final = 120.0
LEAVING_RETENTION_S: Final = 3600.0
MAX_MEMBERS: Final = 4096
MAX_LEAVING_ENDPOINTS: Final = 8192
PRUNE_PERIOD_S: Final = 10.0
