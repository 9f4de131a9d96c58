"""Constants of the endpoints component."""

from typing import Final

DOMAIN: Final = "endpoints"

# Endpoints that leave.
LEAVING_TOPIC: Final = "leaving"
# How long an endpoint counts as leaving after the store has last listed it: an
# instance whose catalog is older may still list it.
LEAVING_TTL_S: Final = 600.0
# Endpoints that leave and are still listed are announced again after this,
# before the announcement expires at peers.
LEAVING_REFRESH_S: Final = 300.0
MAX_LEAVING: Final = 1024
# The interval at which announcements are checked. Its spread lets one instance
# announce for all.
MIN_CHECK_S: Final = 15.0
MAX_CHECK_S: Final = 45.0

# Endpoints that back off. More than there are endpoints.
MAX_BACK_OFFS: Final = 4096
# The first request after a back-off is delayed by up to this share of the time
# that the endpoint named, and by no more than the maximum.
RETURN_DELAY_SHARE: Final = 0.25
MAX_RETURN_DELAY_S: Final = 1.0
# Requests return to an endpoint in steps for at most this long, or until so
# many may be under way.
RETURN_S: Final = 2.0
FULL_WINDOW: Final = 8
# Endpoints whose window is full are asked about again after this.
WINDOW_RECHECK_S: Final = 0.03

# Rate limits that endpoints name.
LIMIT_TTL_S: Final = 600.0
# Limits in force are announced again after this, before they expire at peers.
LIMIT_REFRESH_S: Final = 300.0
MAX_LIMITED_ENDPOINTS: Final = 1024
# Endpoints that crash when they reject too many requests name a limit, which
# is valid for their service until this long after the last answer with it.
# Crashed endpoints restart within some seconds.
REJECTION_LIMIT_TTL_S: Final = 15.0
# The number is announced again after this while endpoints still name it.
REJECTION_LIMIT_REFRESH_S: Final = 5.0
MAX_REJECTION_LIMITS: Final = 1024

# Health of endpoints. The weight of a new result in the moving average.
RESULT_WEIGHT: Final = 0.15
HEALTH_HALF_LIFE_S: Final = 4.0
# Cost of a failure rate of 1 in the choice between endpoints.
FAILURE_COST_S: Final = 2.0
MIN_UNREACHABLE_S: Final = 0.5
MAX_UNREACHABLE_S: Final = 4.0
# Others are preferred for this time to an endpoint that rejects a request and
# names no time, longer each time that it rejects again afterwards.
MIN_REJECTING_S: Final = 0.5
MAX_REJECTING_S: Final = 4.0
# The cost of a connection through a peer in the choice between endpoints.
RELAY_COST_S: Final = 0.01
# An endpoint with outstanding requests that sends nothing for this time is
# avoided by further requests.
UNRESPONSIVE_AFTER_S: Final = 0.9
# The direct path to a silent endpoint is checked at this interval.
SILENCE_CHECK_S: Final = 0.45
# Healthy endpoints may pause for somewhat over a second. Callers leave a
# stream after a pause of two seconds.
FAILOVER_AFTER_S: Final = 1.6

# Waits at engines. Prefill time per prompt token until samples are available.
DEFAULT_PREFILL_TOKEN_S: Final = 0.045 / 1000
MAX_PREFILL_TOKEN_S: Final = 1.0 / 1000
SPEED_WEIGHT: Final = 0.2
# Shorter prompts are no sample of an engine's prefill speed.
MIN_SPEED_SAMPLE_TOKENS: Final = 500
# The duration of one scheduler step of an engine.
ENGINE_STEP_S: Final = 0.012
# The share of busy slots above which congestion adds to an engine's cost.
CONGESTION_SHARE: Final = 0.75
CONGESTION_COST_S: Final = 1.0

# An answer that does not say that the endpoint leaves shows for this time that
# it may be sent to, although its entry is missing.
ANSWER_TTL_S: Final = 0.5
