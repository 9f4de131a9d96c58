"""Constants of the tree component."""

from typing import Final

DOMAIN: Final = "tree"

SECTION_SHOP: Final = "shop"
SECTION_SERVICE: Final = "service"
SECTION_ADAPTER: Final = "adapter"
SECTION_POOL: Final = "pool"
SECTION_ROSTER: Final = "roster"
CONF_NAMES: Final = "names"
CONF_TOKEN_SHA256: Final = "token_sha256"

NAME_PATTERN: Final = r"[A-Za-z0-9._-]{1,64}"
VERSION_PATTERN: Final = r"[A-Za-z0-9._-]{1,32}"

# The configuration service holds values up to a megabyte.
MAX_PART_BYTES: Final = 1024 * 1024
MAX_PARTS: Final = 512

KEY_MANIFEST: Final = "tree/manifest"
KEY_PART: Final = "tree/{revision}/{name}"

# How many instances of a data centre hold a watch, and how many calls a
# second all the others of a data centre make together.
WATCHERS_PER_DATA_CENTRE: Final = 2
POLLS_PER_S: Final = 4.0
MIN_POLL_S: Final = 2.0
JITTER_SHARE: Final = 0.25

WATCH_S: Final = 20.0
WATCH_GRACE_S: Final = 2.0
CONNECT_TIMEOUT_S: Final = 1.0
REQUEST_TIMEOUT_S: Final = 2.0
PEER_TIMEOUT_S: Final = 1.0

# A new instance asks its peers before it serves, at these times after it
# started until they answer. It waits at least until the platform's list could
# be read, and at most until the bound.
START_ASKS_S: Final = (0.0, 0.5, 1.5)
SETTLE_S: Final = 1.0
START_BOUND_S: Final = 5.0
PEERS_ASKED_AT_ONCE: Final = 32

TICK_S: Final = 0.25
RETRY_S: Final = 0.25
MAX_RETRY_S: Final = 5.0
