"""Constants of the forward component."""

from typing import Final

DOMAIN: Final = "forward"

# Callers.
MAX_HEADER_BYTES: Final = 64 * 1024
MAX_BODY_BYTES: Final = 4 * 1024 * 1024
# A caller that has not sent its body by then is not going to.
BODY_TIMEOUT_S: Final = 60.0
# Longer than callers' own idle timeouts: closing a connection first could lose
# a request in transit.
IDLE_TIMEOUT_S: Final = 600.0
# The timeout of requests that name none.
DEFAULT_TIME_LEFT_S: Final = 60.0
# New requests are accepted for this time after a shutdown began: the platform
# stops sending them after two failed probes, one second each. The rest allows
# for one late probe; callers count from the signal, which may have been
# handled some tenths of a second late.
DRAIN_SERVE_S: Final = 2.6
DRAIN_POLL_S: Final = 0.05
# How long a shutdown waits until the lines of cut requests are written; a
# blocked reader of the log must not use up the time for closing.
LAST_LINES_S: Final = 0.05
# Retry-After for requests that come later; other instances are ready.
DRAINING_RETRY_S: Final = 0.05
# Bounds the effect of a single long iteration of the event loop, such as one
# while the process starts.
MAX_SIGNAL_DELAY_S: Final = 0.5
# How long refusals are written after the end of a shutdown, and how long to
# wait for connections to close; the process must exit before it is killed.
LAST_FLUSH_S: Final = 0.2
CLOSE_S: Final = 0.1
# A caller that reads nothing of a whole answer for this time counts as gone.
MAX_FLUSH_S: Final = 60.0
FLUSH_POLL_S: Final = 0.01

# New connections are closed once iterations of the event loop have been longer
# than the first for the time below, until one is shorter than the second. With
# such iterations a request takes some tenths of a second.
MAX_LOOP_LAG_S: Final = 0.06
RESUME_LOOP_LAG_S: Final = 0.045
LATE_FOR_S: Final = 0.15
# An instance that closed connections less than this before is still under the
# same load.
CLOSED_LATELY_S: Final = 5.0
# The interval of log lines on closed connections.
CLOSED_REPORT_S: Final = 1.0

# Linear backoff of a request after failed connects.
CONNECT_BACKOFF_S: Final = 0.02
MAX_CONNECT_BACKOFF_S: Final = 0.3
# The share of the descriptors for idle connections to all endpoints.
IDLE_DESCRIPTOR_SHARE: Final = 0.1
# Idle connections are not reused within this margin of the endpoint's
# announced idle timeout; the default is for endpoints that announce none.
KEEP_ALIVE_MARGIN_S: Final = 1.0
DEFAULT_KEEP_ALIVE_S: Final = 0.4
# Requests that must not run twice reuse only recently used connections: if a
# connection breaks, their outcome is unknown.
MAX_UNSAFE_IDLE_S: Final = 1.5
# Relayed connections are reused for a short time only, and not for long: the
# peer that relays closes them when it shuts down.
MAX_RELAYED_IDLE_S: Final = 0.5
MAX_RELAYED_AGE_S: Final = 2.0
# Retry-After of a stream without a record. A report of it that is under way
# arrives within this time.
ORIGIN_RETRY_S: Final = 0.3
# How long the answer to a request may take that ends by a fault of this
# program.
FAULT_ANSWER_S: Final = 0.5
# How long to wait for another endpoint of a stream's software version: one
# that restarts registers again within this time.
VERSION_WAIT_S: Final = 2.0
# If a service had several versions within this time, each connection is asked
# for the incarnation of its endpoint.
VERSIONS_WITHIN_S: Final = 60.0
# No endpoint ends and serves again within this time.
MIN_RESTART_S: Final = 0.5
INCARNATION_TIMEOUT_S: Final = 0.5
# Callers choose these ids; longer ones are cut in the details of errors.
MAX_DETAIL_CHARS: Final = 64
# Requests with less time left are not sent.
MIN_TIME_LEFT_S: Final = 0.01
# A call that checks whether an endpoint has crashed, and how long a retry
# waits for the result.
CRASH_CHECK_TIMEOUT_S: Final = 0.25
CRASH_CHECK_WAIT_S: Final = 0.03
# A request that an endpoint has begun to run lasts for longer than a call to
# an endpoint that is down by at least this.
MIN_RUN_S: Final = 0.01
# An endpoint that was removed from the catalog less than this before its
# answers broke has crashed: a planned stop is announced seconds before.
SIMULTANEOUS_REMOVAL_S: Final = 0.5
# Rate limits that endpoints name. A higher rate is taken for an error, and a
# lower one than the minimum is raised to it: an endpoint that gets no requests
# could not announce the end of its limit.
MAX_NAMED_RATE_PER_S: Final = 1e6
MIN_ENDPOINT_RATE_PER_S: Final = 0.5
# Other instances may return unused parts of a limit, so a limited endpoint is
# tried again after this even if its home announced a longer wait.
LIMIT_RECHECK_S: Final = 0.25
# Spreads the retries of callers that were refused at the same time.
LIMIT_RETRY_JITTER_S: Final = 0.5
# A request asks for this many permits at once, then waits at this
# many.
MAX_PERMITS_ASKED: Final = 4
MAX_PERMITS_AWAITED: Final = 2
# An endpoint first seen less than this before has just started.
NEW_ENDPOINT_S: Final = 10.0
# The longest answer with an error that is kept while the request is retried,
# and the longest rejection that is read to its end.
MAX_KEPT_ANSWER_BYTES: Final = 64 * 1024
# The pause between two searches for another endpoint of a request whose
# endpoint is silent.
FAILOVER_PAUSE_S: Final = 0.5
# Limit of sends per request, regardless of the retry budget.
MAX_SENDS: Final = 4

# The retry budget. How much longer than another one a retry may take from here
# to its endpoint.
RETRY_DELIVERY_S: Final = 0.5
# Instances of a data centre that reach each other know of a new one after this
# time, even if one of them was paused for a moment.
JOIN_DETECTION_S: Final = 5.0
# An instance that was paused for longer may not know who has started since.
MAX_BUDGET_PAUSE_S: Final = 2.0
# How long an instance that was lost counts as running behind a partition.
LOST_SLACK_TTL_S: Final = 600.0

MONITOR_PERIOD_S: Final = 0.15

# An instance is cut off once it has received nothing from any other data
# centre for this time. Holders report every 0.4 s, in large fleets every 1 s.
ISOLATION_TIMEOUT_S: Final = 1.2
# Validity of a failed connect: longer than the longest pause in which an
# endpoint is avoided.
CONNECT_FAILURE_TTL_S: Final = 5.0
# A single unreachable data centre may itself be down.
MIN_UNREACHABLE_CENTRES: Final = 2
# Retry-After of an instance that is cut off: the platform routes callers to
# others after two failed probes, one second apart.
MIN_CUT_OFF_RETRY_S: Final = 2.2
MAX_CUT_OFF_RETRY_S: Final = 3.2

# Priorities are 0 (highest) to 9; the lowest is for background work.
LOWEST_PRIORITY: Final = 9

# The fixed overhead of a first chunk: samples in the moving window, samples
# needed for an estimate, and the largest estimate.
OVERHEAD_WINDOW_SAMPLES: Final = 60
MIN_OVERHEAD_SAMPLES: Final = 6
MAX_OVERHEAD_S: Final = 0.5
# Longer waits are stalls, not samples of the overhead.
MAX_SAMPLE_WAIT_S: Final = 1.0
# An additional copy is loaded if the cheapest holder's cost exceeds that of
# another endpoint by more than this.
SPREAD_COST_GAP_S: Final = 0.3
# An adapter is loaded at its first home whose cost exceeds that of the
# cheapest home by at most this.
HOME_COST_SLACK_S: Final = 0.3
# More homes make it less likely that all are congested, but also less likely
# that one still has the adapter cached. One of four nearly always has a place.
HOMES_PER_ADAPTER: Final = 4
# A request queues at an endpoint after this many congested ones. The most
# popular of 24,000 adapters fills seven engines of 62, and eight queries of
# 3 ms each take no longer than one token.
MAX_CONGESTED: Final = 8
# The sample of endpoints that one choice compares.
MAX_COMPARED: Final = 8
# The round-trip time to another data centre.
CROSS_CENTRE_COST_S: Final = 0.003
# The interval between requests for additional copies of the same weights.
SPREAD_PERIOD_S: Final = 1.0
# A request waits for an endpoint for at most this share of its remaining time.
LOAD_WAIT_SHARE: Final = 0.3
# It also waits for at most this multiple of its route's target, and is then
# refused while its caller can still retry: callers leave a stream whose first
# chunk takes four times its target.
PATIENCE_TARGETS: Final = 2.5
# Time from a prompt's admission to its first chunk: prefill and network.
PREFILL_S: Final = 0.12
# Added to the wait for admission, for the holder's answer.
ADMISSION_GRACE_S: Final = 0.1
# A prompt is refused after this many endpoints with full queues.
MAX_REFUSALS: Final = 3
# Retry-After on overload. A random value spreads the retries; a shorter one
# would meet the same queue, since a burst lasts for some seconds.
MIN_OVERLOAD_RETRY_S: Final = 1.5
MAX_OVERLOAD_RETRY_S: Final = 3.5
LOAD_ASK_TIMEOUT_S: Final = 3.5
# How many endpoints a request may choose without a pause: a burst, and one
# more for each MIN_ROUND_S of its search.
MAX_QUICK_ROUNDS: Final = 20
MIN_ROUND_S: Final = 0.005
# Choices after the search's time, for an endpoint that has just become free.
MAX_LATE_ROUNDS: Final = 5
# The polling interval while no endpoint, or no holder of it, is known.
NO_HOLDER_POLL_S: Final = 0.1
# The previous version of an adapter may serve for this time after a newer one
# was published, while that one is loaded. Five seconds after publication, the
# new one must serve.
VERSION_GRACE_S: Final = 1.5

# Requests with keys are rejected this much before the bound after which a
# revoked key must not be accepted anywhere.
REVOCATION_MARGIN_S: Final = 0.25
# An instance without a confirmed configuration for this many change bounds may
# have missed one: without changes it gets one confirmation per bound.
LOST_CONTACT_PERIODS: Final = 2

# Retry-After where the failure names no other.
DEFAULT_RETRY_AFTER_S: Final = 0.3
