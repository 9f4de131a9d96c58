"""Constants used by the kernel and by more than one component."""

from typing import Final

PROTOCOL_VERSION: Final = 1

# Upper bound of one frame between instances, in bytes. A tree part may reach
# the configuration service's limit of one megabyte.
MAX_FRAME_BYTES: Final = 2 * 1024 * 1024
MAX_BODY_BYTES: Final = 1024 * 1024
MAX_HEADER_BYTES: Final = 16 * 1024

# An endpoint that leaves gets no new work after this many seconds.
LEAVING_BOUND_S: Final = 3.0
# An owner that has not run for longer than its lease gives up ownership.
OWNER_LEASE_S: Final = 2.0

HEADER_REQUEST_ID: Final = "X-Request-Id"
HEADER_IDEMPOTENCY_KEY: Final = "Idempotency-Key"
HEADER_RAN: Final = "X-Request-Ran"
HEADER_RETRY_AFTER: Final = "Retry-After"
