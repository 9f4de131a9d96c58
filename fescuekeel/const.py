"""Constants of the core and of more than one component."""

from typing import Final

PROTOCOL_VERSION: Final = 1

# Largest frame between instances. Leaves room for a tree part, which the
# configuration service limits to one megabyte.
MAX_FRAME_BYTES: Final = 2 * 1024 * 1024
MAX_BODY_BYTES: Final = 1024 * 1024
MAX_HEADER_BYTES: Final = 16 * 1024

# An endpoint that is leaving gets no new requests after this time.
LEAVING_BOUND_S: Final = 3.0
# An owner that was not scheduled for longer than this gives up ownership.
OWNER_LEASE_S: Final = 2.0

HEADER_REQUEST_ID: Final = "X-Request-Id"
HEADER_IDEMPOTENCY_KEY: Final = "Idempotency-Key"
HEADER_RAN: Final = "X-Request-Ran"
HEADER_RETRY_AFTER: Final = "Retry-After"
