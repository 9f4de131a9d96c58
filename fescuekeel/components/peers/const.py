"""Constants of the peers component."""

from typing import Final

from fescuekeel.helpers.peer_link import PEERS_DOMAIN

DOMAIN: Final = PEERS_DOMAIN

NONCE_BYTES: Final = 16
# A stranger may make us hold no more than this before it has signed.
MAX_HELLO_BYTES: Final = 4096
READ_BYTES: Final = 64 * 1024
MAX_QUEUE_BYTES: Final = 16 * 1024 * 1024
MAX_INCOMING: Final = 2048
MAX_QUESTIONS: Final = 50_000
MAX_ADDRESSES: Final = 4096

CONNECT_TIMEOUT_S: Final = 1.0
HELLO_TIMEOUT_S: Final = 2.0
RETRY_S: Final = 0.1
GOODBYE_TIMEOUT_S: Final = 1.0
IDLE_S: Final = 60.0
CHECK_PERIOD_S: Final = 0.25
# A sign of life is asked for when nothing came for so long: sooner while a
# question waits for its answer, which a silent connection would hold up. With
# 0.3 s for all messages, half of all frames were heartbeats and their answers.
HEARTBEAT_S: Final = 0.3
IDLE_HEARTBEAT_S: Final = 0.5
# A connection on which no sign of life comes within this time is silent.
LIFE_SIGN_S: Final = 0.7
SEED_PERIOD_S: Final = 1.0

# Payloads of one byte are the link's own; those of pycapnp are longer.
HEARTBEAT: Final = b"\x01"
HEARTBEAT_ANSWER: Final = b"\x02"
GOODBYE: Final = b"\x03"
