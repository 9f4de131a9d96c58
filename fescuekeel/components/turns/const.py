"""Constants of the turns component."""

from typing import Final

DOMAIN: Final = "turns"
LEADER_KEY: Final = "load-turns"

# A question is held this long, so that a grant needs no round trip. It is
# less than the time after which an asker takes the leader for silent.
HOLD_S: Final = 0.6
ANSWER_TIMEOUT_S: Final = 1.0
# How long an instance that did not answer is passed over as leader.
SILENT_S: Final = 5.0
TICK_S: Final = 0.1

# A grant not given back is void after this many load times.
GRANT_LOADS: Final = 4.0
FIRST_LOAD_S: Final = 0.5
# An ask this many load times old goes first, but only each FAIR_EVERY-th
# time, so that a long queue of old asks does not undo the order by value.
OLD_LOADS: Final = 20.0
FAIR_EVERY: Final = 8
SMOOTHING: Final = 0.3
