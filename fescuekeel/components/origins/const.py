"""Constants of the origins component."""

from typing import Final

DOMAIN: Final = "origins"

# Instances that are told of a stream. In a small fleet a large share of it may
# end at once; in a large one two homes in two data centres are enough.
HOMES: Final = 3
HOMES_OF_LARGE_FLEET: Final = 2
LARGE_FLEET: Final = 64
# Instances that are asked for a stream: its homes now, and those that were
# its homes before others joined.
MAX_ASKED: Final = 5
ASK_TIMEOUT_S: Final = 0.4
# A home may be told of a stream while its caller already asks for it again.
ASK_ROUNDS: Final = 2
ROUND_PAUSE_S: Final = 0.15

# How long a stream is remembered after the time that its caller waits.
REMEMBERED_S: Final = 5.0
MAX_REMEMBERED_S: Final = 300.0
MAX_STREAMS: Final = 20_000
MAX_OWN_STREAMS: Final = 5_000
MAX_ID_CHARS: Final = 128
# Records in one message.
MAX_MESSAGE_RECORDS: Final = 200
EXPIRY_PERIOD_S: Final = 2.0

# A stream of which nothing is known may have begun this long ago.
MIN_HORIZON_S: Final = 60.0
MAX_VERSIONS: Final = 16
# The catalog of an instance that watches the store is never older than this
# while the store answers: two waits of a watch, and the pause between them.
FRESH_S: Final = 6.5
# The same for an instance that hears of no peer: a new version may serve
# elsewhere soon after it has lost its contact.
FRESH_ALONE_S: Final = 2.0
