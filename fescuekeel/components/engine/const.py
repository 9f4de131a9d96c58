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

# A stream without a byte for this long is taken up on a new connection.
SILENCE_S: Final = 1.0
MAX_SILENCE_S: Final = 8.0
# An answer that is not streamed is silent until it is whole.
WHOLE_ANSWER_FACTOR: Final = 4.0
# Pause before a broken stream is taken up again, doubled at each failure.
RESUME_PAUSE_S: Final = 0.02
RESUME_ATTEMPTS: Final = 4
CANCEL_TIMEOUT_S: Final = 2.0
