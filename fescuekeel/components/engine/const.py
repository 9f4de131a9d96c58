"""Constants of the engine component."""

from typing import Final

DOMAIN: Final = "engine"

PATH_COMPLETIONS: Final = "/v1/completions"
PATH_CANCEL: Final = "/v1/cancel"
PATH_RESUME: Final = "/v1/resume"
PATH_LOAD: Final = "/v1/load_lora_adapter"
PATH_EVICT: Final = "/v1/unload_lora_adapter"
PATH_REPORT: Final = "/v1/report"
PATH_CACHE_EVENTS: Final = "/v1/cache_events"

JSON_HEADERS: Final = {"Content-Type": "application/json"}

# A stream that is idle for this long is resumed on a new connection.
SILENCE_S: Final = 1.0
MAX_SILENCE_S: Final = 8.0
# A response that is not streamed is idle until it is complete.
UNSTREAMED_SILENCE_FACTOR: Final = 4.0
# Delay before a broken stream is resumed, doubled after each failure.
RESUME_PAUSE_S: Final = 0.02
RESUME_ATTEMPTS: Final = 4
CANCEL_TIMEOUT_S: Final = 2.0
