"""Constants of the gateway component."""

from typing import Final

DOMAIN: Final = "gateway"

COMPLETIONS_PATH: Final = "/v1/completions"
SERVICES_PREFIX: Final = "/services/"
STREAM_CONTENT_TYPE: Final = "text/event-stream"
JSON_CONTENT_TYPE: Final = "application/json"

HEADER_QUEUE_MS: Final = "X-Queue-Ms"
HEADER_STALL_MS: Final = "X-Stall-Ms"

# Limits on slow callers; Tornado's defaults are unlimited or an hour.
CALLER_BODY_TIMEOUT_S: Final = 15.0
CALLER_WRITE_TIMEOUT_S: Final = 20.0
CALLER_IDLE_TIMEOUT_S: Final = 75.0

SUBMIT_TIMEOUT_S: Final = 1.0
IDEMPOTENCY_KEY_TTL_S: Final = 600.0
MAX_IDEMPOTENCY_KEY_CHARS: Final = 128
MAX_REQUEST_ID_CHARS: Final = 64
# Responses that are not streamed are buffered in memory until they end.
MAX_ANSWER_BYTES: Final = 8 * 1024 * 1024
DRAIN_POLL_S: Final = 0.05
