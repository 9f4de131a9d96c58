"""Constants of the relay component."""

from typing import Final

DOMAIN: Final = "relay"

# A connect within a region takes a few milliseconds; a later one is to a host
# that is down or partitioned.
CONNECT_TIMEOUT_S: Final = 0.25
# A connect that takes longer than this is raced against one through a peer.
DIRECT_HEAD_START_S: Final = 0.08
# Iterations of the event loop that a connect takes at most.
CONNECT_ITERATIONS: Final = 5
# The time for a peer's answer, and how long it has before the next is asked.
RELAY_TIMEOUT_S: Final = 0.6
RELAY_STAGGER_S: Final = 0.12
# Peers through which an instance relays. A small number bounds the connections
# between instances; several spread the load, and one of them may be cut too.
MAX_RELAY_PEERS: Final = 4
MAX_PEERS_ASKED: Final = 3
# How long others are asked before a peer that could not relay.
PEER_BACKOFF_S: Final = 1.0
# Connections that an instance relays for its peers at the same time.
MAX_RELAYED: Final = 256
# Backpressure: beyond this many queued bytes the source is not read.
MAX_QUEUED_BYTES: Final = 256 * 1024

# Probes of an endpoint without a direct path: the interval doubles from the
# first to the second value. Probes of all endpoints together are limited, so
# that the end of a partition causes no burst of connects.
MIN_PROBE_S: Final = 0.25
MAX_PROBE_S: Final = 1.0
MAX_PROBES_PER_TICK: Final = 4
TICK_S: Final = 0.1
# Endpoints without requests for this long are not probed.
WANTED_S: Final = 30.0
# How long an endpoint that neither this instance nor a peer reaches is not
# tried for requests.
DOWN_S: Final = 0.4
# How long no peer is asked for an endpoint after all asked ones have failed.
RELAY_RETRY_S: Final = 0.2
# A direct contact this recent shows that this instance is not cut off.
RECENT_CONTACT_S: Final = 2.0

# Announcements of the endpoints that an instance cannot reach.
UNREACHABLE_TOPIC: Final = "unreachable"
UNREACHABLE_TTL_S: Final = 600.0
UNREACHABLE_REFRESH_S: Final = 300.0
MAX_UNREACHABLE_FACTS: Final = 1024
MAX_NAMES: Final = 64
# A state is announced after it has lasted this long.
STABLE_S: Final = 0.3
