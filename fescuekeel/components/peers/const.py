"""Constants of the peers component."""

from typing import Final

from fescuekeel.helpers.peer_link import PEERS_DOMAIN

DOMAIN: Final = PEERS_DOMAIN

NONCE_BYTES: Final = 16
# Bounds the memory that an unauthenticated connection can use.
MAX_HELLO_BYTES: Final = 4096
READ_BYTES: Final = 64 * 1024
MAX_QUEUE_BYTES: Final = 16 * 1024 * 1024
MAX_INCOMING_CONNECTIONS: Final = 2048
# Shares of the descriptors for peers, and for those that have not shown the
# key yet. Whoever is not a peer closes no more than others of its kind.
PEER_DESCRIPTOR_SHARE: Final = 0.3
HANDSHAKE_DESCRIPTOR_SHARE: Final = 0.1
MAX_INCOMING_REQUESTS: Final = 50_000
MAX_ADDRESSES: Final = 4096

CONNECT_TIMEOUT_S: Final = 1.0
HELLO_TIMEOUT_S: Final = 2.0
RETRY_S: Final = 0.1
GOODBYE_TIMEOUT_S: Final = 1.0
IDLE_S: Final = 60.0
CHECK_PERIOD_S: Final = 0.25
# Silence after which a heartbeat is sent: shorter while a request waits for
# its answer, longer otherwise, which keeps the share of heartbeats low.
HEARTBEAT_S: Final = 0.3
IDLE_HEARTBEAT_S: Final = 0.5
# Time from the heartbeat until the connection counts as lost.
HEARTBEAT_TIMEOUT_S: Final = 0.7
SEED_PERIOD_S: Final = 1.0

# One-byte payloads are control frames; encoded messages are always longer.
HEARTBEAT: Final = b"\x01"
HEARTBEAT_ANSWER: Final = b"\x02"
GOODBYE: Final = b"\x03"

# Byte streams. The first byte of a payload is the type, data or end. Payloads
# of one byte are control frames, so data is always longer.
STREAM_DATA: Final = b"\x10"
STREAM_END: Final = b"\x11\x11"
MAX_STREAM_FRAME_BYTES: Final = 64 * 1024
# Heartbeat interval of the opening side, and the timeout of both sides.
STREAM_HEARTBEAT_S: Final = 0.3
STREAM_TIMEOUT_S: Final = 1.2
