"""Constants of the origins component."""

from typing import Final

DOMAIN: Final = "origins"

# Instances that store the origin of a stream. In a small fleet a large share
# may end at once; in a large one two in two data centres are enough.
HOMES: Final = 3
HOMES_OF_LARGE_FLEET: Final = 2
LARGE_FLEET: Final = 64
# Instances that are queried for a stream: its homes now, and those that were
# its homes before others joined.
MAX_ASKED: Final = 5
ASK_TIMEOUT_S: Final = 0.4
# A caller may resume a stream before the report has arrived at its homes.
ASK_ROUNDS: Final = 2
ROUND_PAUSE_S: Final = 0.15

# An origin is kept for this long after the time that its caller waits.
REMEMBERED_S: Final = 5.0
MAX_REMEMBERED_S: Final = 300.0
MAX_STREAMS: Final = 20_000
MAX_OWN_STREAMS: Final = 5_000
MAX_ID_CHARS: Final = 128
# Records in one message.
MAX_MESSAGE_RECORDS: Final = 200
EXPIRY_PERIOD_S: Final = 2.0

# Endpoints whose reports an instance reads when it starts, and how long it
# waits for one: an endpoint notices within seconds that its caller is gone.
MAX_READ_ENDPOINTS: Final = 16
READ_TIMEOUT_S: Final = 0.5
# Runs of one endpoint that are read.
MAX_RUNS_READ: Final = 500

# A stream without a record may have begun this long ago.
MIN_HORIZON_S: Final = 60.0
MAX_VERSIONS: Final = 16
# What an instance that has just started learns of the time before: as long as
# a stream's origin is kept, from a few peers at a time, until one tells it.
HISTORY_S: Final = MAX_REMEMBERED_S
HISTORY_PEERS: Final = 3
HISTORY_RETRY_S: Final = 0.2
HISTORY_RETRY_MAX_S: Final = 5.0
# Peers that started together have nothing to tell each other.
MIN_HISTORY_GAIN_S: Final = 1.0
MAX_HISTORY_VERSIONS: Final = 1_000
# With an older catalog, an instance reports its streams to their homes, as if
# several versions served. While the store answers, catalogs are younger.
REPORT_AGE_S: Final = 3.5
