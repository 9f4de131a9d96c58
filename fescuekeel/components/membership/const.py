"""Constants of the membership component."""

from typing import Final

DOMAIN: Final = "membership"

TICK_S: Final = 0.25
PROBE_PERIOD_S: Final = 0.5
PROBE_TIMEOUT_S: Final = 0.4
# A helper needs its own probe's time and the way there and back.
INDIRECT_TIMEOUT_S: Final = 0.7
HELPERS: Final = 3
SUSPECT_S: Final = 1.2
# Of so many probe periods, one goes to an instance believed dead.
DEAD_PROBE_EVERY: Final = 4
# Longer without a tick than this means that the process was paused.
PAUSE_S: Final = 1.0

# Each piece of news is passed on this many times the logarithm of the fleet,
# but no more often than reaches nearly everybody in any fleet. What some have
# missed shows in the digest that goes with each message.
RETRANSMIT_FACTOR: Final = 3
MAX_RETRANSMITS: Final = 6
# So many pieces fit into one message of some 2 KB as it is sent. When a fleet
# of 195 starts, all know all after 1.6 s; with ten pieces a message it took
# over 20 s (on a virtual clock).
MAX_NEWS: Final = 100
# News is pushed until it was told so often; probes carry it from then on.
PUSHED_TIMES: Final = 4
# Members are told whole to a peer that knows others, once in so long at most,
# and so many at most: all of any fleet that is planned, in some 40 KB.
SYNC_PERIOD_S: Final = 0.5
MAX_SYNC: Final = 1000
PUSH_FANOUT: Final = 3
PUSH_PERIOD_S: Final = 0.2
TREE_HEARD_PERIOD_S: Final = 1.0

DEAD_KEPT_S: Final = 7200.0
LEFT_KEPT_S: Final = 120.0
LEAVING_KEPT_S: Final = 3600.0
MAX_MEMBERS: Final = 4096
MAX_LEAVING: Final = 8192
PRUNE_PERIOD_S: Final = 10.0
