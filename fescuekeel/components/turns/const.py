"""Constants of the turns component."""

from typing import Final

DOMAIN: Final = "turns"
LEADER_KEY: Final = "load-turns"

# The leader holds an ask open for this long, so that a grant needs no further
# round trip. Must be below ANSWER_TIMEOUT_S.
ASK_HOLD_S: Final = 0.6
ANSWER_TIMEOUT_S: Final = 1.0
# An instance that did not answer is not chosen as leader for this long.
LEADER_BACKOFF_S: Final = 5.0
TICK_S: Final = 0.1

# A grant that is not returned expires after this many load times.
GRANT_TIMEOUT_LOADS: Final = 4.0
INITIAL_LOAD_S: Final = 0.5
# Each AGED_EVERY-th grant goes to the oldest ask, if it is older than
# AGED_AFTER_LOADS load times. All other grants go by value, even when many
# asks are old.
AGED_AFTER_LOADS: Final = 20.0
AGED_EVERY: Final = 8
# Weight of the latest load in the moving average of the load time.
LOAD_TIME_WEIGHT: Final = 0.3
