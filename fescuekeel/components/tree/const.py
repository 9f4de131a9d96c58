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

# Maximum size of a value in the configuration service.
MAX_PART_BYTES: Final = 1024 * 1024
MAX_PARTS: Final = 512

KEY_MANIFEST: Final = "tree/manifest"
KEY_PART: Final = "tree/{revision}/{name}"

# Instances per data centre that hold a watch, and polls per second that all
# others of the data centre make together.
WATCHERS_PER_DATA_CENTRE: Final = 2
POLLS_PER_S: Final = 4.0
MIN_POLL_S: Final = 2.0
JITTER_SHARE: Final = 0.25

WATCH_S: Final = 20.0
WATCH_GRACE_S: Final = 2.0
CONNECT_TIMEOUT_S: Final = 1.0
REQUEST_TIMEOUT_S: Final = 2.0
PEER_TIMEOUT_S: Final = 1.0

# A new instance requests the manifests of its peers before it puts a tree in
# force, at these times after its start until they answer. The minimum leaves
# time to read the platform's live list; after the maximum it no longer waits
# for answers.
STARTUP_REQUEST_DELAYS_S: Final = (0.0, 0.5, 1.5)
MIN_STARTUP_S: Final = 1.0
MAX_STARTUP_S: Final = 5.0
MAX_STARTUP_REQUESTS: Final = 32

TICK_S: Final = 0.25
RETRY_S: Final = 0.25
MAX_RETRY_S: Final = 5.0
