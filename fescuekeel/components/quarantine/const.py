"""Constants of the quarantine component."""

from typing import Final

DOMAIN: Final = "quarantine"

# A request that has crashed this many endpoints is not sent again.
CRASHES_TO_QUARANTINE: Final = 3
# Requests that shared all their crashes cannot be distinguished; one more
# usually identifies the cause. After this many, all are quarantined.
MAX_SHARED_CRASHES: Final = 4
# A request is quarantined after this many crashes even if others explain all
# of them: two such requests may always come together.
MAX_EXPLAINED_CRASHES: Final = 5
# How long after its last crash a request is refused. Longer than callers
# retry, and short enough for endpoints that have been repaired.
QUARANTINE_S: Final = 120.0
# How long crashes are remembered. A request that is sent again after its
# quarantine is quarantined by the next crash.
CRASH_TTL_S: Final = 600.0
# Crash reports: one for each endpoint that crashed and instance that saw it.
MAX_REPORTS: Final = 1024
MAX_RELEASES: Final = 1024
MAX_SUSPECTS: Final = 8192
# Requests in one report; an endpoint rarely runs more of one instance.
MAX_FINGERPRINTS: Final = 128
# A request that completed within this time does not crash endpoints: others
# of the same content run on several endpoints, which may fail together.
COMPLETION_TTL_S: Final = 10.0
MAX_COMPLETIONS: Final = 4096
# Parts of prompts. The memory of suspects, and of parts that completed within
# the time above.
MAX_SUSPECT_PARTS: Final = 8192
# Requests with suspected parts in one report.
MAX_REPORTED_RUNS: Final = 64
MAX_COMPLETED_PARTS: Final = 16384
# A request's parts beyond this number are not judged.
MAX_PARTS: Final = 32
# Different requests that have to crash endpoints before a part is blamed.
MIN_REQUESTS: Final = 2
# A part crashes an endpoint as it begins to write an answer. A run that has
# written for longer is not suspected.
MAX_WRITTEN_S: Final = 0.5
# Endpoints that crash within this time may have one cause, such as a rack.
SIMULTANEOUS_CRASHES_S: Final = 0.1
