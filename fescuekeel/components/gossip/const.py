"""Constants of the gossip component."""

from typing import Final

DOMAIN: Final = "gossip"

# New facts are collected for this long before they are sent: a crash breaks
# many answers within milliseconds.
FLUSH_S: Final = 0.02
# The interval of digests to one contact. Facts lost with a connection reach
# an instance by the second or third digest.
DIGEST_PERIOD_S: Final = 0.5
# Contacts that get the digest of an instance that started or was paused.
CATCH_UP_FANOUT: Final = 3
# A longer gap between two ticks means that the process was paused.
PAUSE_S: Final = 1.5
# A first answer to another digest has only the facts of this long ago, since
# most differences are facts that are still on their way.
RECENT_S: Final = 5.0
# All facts are sent to a peer whose digest differs again within this time.
REPEATED_MISMATCH_S: Final = 3.0
# Bounds of one message. The frame limit is 2 MiB.
MAX_MESSAGE_FACTS: Final = 500
MAX_MESSAGE_BYTES: Final = 256 * 1024
# Facts that expire sooner than this are not accepted: the receiver would send
# them back to peers that have just dropped them.
MIN_TIME_LEFT_S: Final = 1.0
