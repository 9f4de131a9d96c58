"""Constants of the forward component."""

from typing import Final

DOMAIN: Final = "forward"

# Callers.
MAX_HEADER_BYTES: Final = 64 * 1024
MAX_BODY_BYTES: Final = 4 * 1024 * 1024
# Longer than any idle time that operators allow callers: closing first would
# cross requests that are on their way.
IDLE_TIMEOUT_S: Final = 600.0
# A request without a limit of its own still ends.
DEFAULT_TIME_LEFT_S: Final = 60.0
# New requests are served for so long after a shutdown began: the platform
# stops sending them after two missed probes of a second each.
DRAIN_SERVE_S: Final = 3.0
DRAIN_POLL_S: Final = 0.05
# What callers that come later are told to wait: another instance is ready now.
DRAIN_RETRY_S: Final = 0.05

# Endpoints. A connection in the same region stands after a few milliseconds;
# one that does not goes to a machine without power, or behind a cut.
CONNECT_TIMEOUT_S: Final = 0.25
# The pause after a connection that could not be made, growing with each.
UNSENT_PAUSE_S: Final = 0.02
MAX_UNSENT_PAUSE_S: Final = 0.3
# A kept connection is used for so much less than the endpoint says it keeps
# it, and so long if it says nothing.
KEEP_MARGIN_S: Final = 1.0
KEEP_UNSAID_S: Final = 0.4
# Requests that may not run twice use only connections that were used a moment
# ago: one that dies under them leaves it open whether they have run.
KEEP_UNSAFE_S: Final = 1.5
# The answer time below which nothing is worth sending any more.
MIN_SEND_S: Final = 0.01
# How often a request is sent again after a refusal, whatever the budget says.
MAX_SENDS: Final = 4

# Health of endpoints, as seen from here.
RESULT_WEIGHT: Final = 0.15
HEALTH_HALF_LIFE_S: Final = 4.0
# Seconds that a failure costs, in the choice between endpoints.
FAILURE_COST_S: Final = 2.0
UNREACHABLE_FIRST_S: Final = 0.5
UNREACHABLE_MAX_S: Final = 4.0
# Nothing came for so long although something was due: the endpoint is silent.
SILENCE_S: Final = 0.9

# An instance counts as cut off once nothing came from any other data centre
# for so long: three pieces of holders' news, which are 0.4 s apart, one second
# in a large fleet.
ISOLATION_SILENCE_S: Final = 1.2
# A connection that failed counts for so long: longer than the longest pause in
# which an endpoint is not tried again.
ISOLATION_MEMORY_S: Final = 5.0
# So many other data centres must be out of reach: one alone may be lost.
MIN_MISSED_CENTRES: Final = 2
# What callers of an instance that is cut off are told to wait: the platform
# takes two missed probes, a second apart, to lead them elsewhere.
CUT_OFF_RETRY_FROM_S: Final = 2.2
CUT_OFF_RETRY_TO_S: Final = 3.2

# The priority of what nobody waits for; engines know ten, 0 is the first.
LOWEST_PRIORITY: Final = 9

# Waits at engines. Prompts are read at some 20 to 26 tokens a millisecond.
TOKEN_S: Final = 0.045 / 1000
MAX_TOKEN_S: Final = 1.0 / 1000
SPEED_WEIGHT: Final = 0.2
# A prompt of so many tokens shows how fast an engine reads at least; the fixed
# part of a first piece is taken off.
SPEED_TOKENS: Final = 500
STEP_S: Final = 0.012
# How many prompts the fixed part of a first piece is learned from, how many
# must have come before it is believed, and the most that it is taken for.
OVERHEAD_MEMORY: Final = 60
OVERHEAD_SAMPLES: Final = 6
MAX_OVERHEAD_S: Final = 0.5
# A wait longer than this shows a stall, not how fast prompts are read.
MAX_FIT_WAIT_S: Final = 1.0
# Above this share of its slots, an engine's waits begin to grow.
CROWDED_SHARE: Final = 0.75
CROWDED_COST_S: Final = 1.0
# Waits this much above the shortest one are not worth a copy elsewhere.
SPREAD_WAIT_S: Final = 0.3
# A load goes to the adapter's first endpoint in rank whose wait is at most so
# much above the shortest one.
LOAD_SLACK_S: Final = 0.3
# So many endpoints, the first in rank, are an adapter's homes. Between four,
# one is hardly ever without room; each further one holds a copy more rarely.
HOMES: Final = 4
# A request waits in a queue once so many endpoints were crowded. The most
# wanted of 24,000 adapters fills seven engines of 62 by itself; at three
# milliseconds a question, eight cost a caller no more than a token does.
MAX_CROWDED: Final = 8
# So many endpoints that could serve a request are compared, at most.
MAX_COMPARED: Final = 8
# What the way to another data centre costs, there and back.
FAR_COST_S: Final = 0.003
SPREAD_PERIOD_S: Final = 1.0
# A request waits no longer for weights than this share of its time.
LOAD_WAIT_SHARE: Final = 0.3
# Callers leave a stream whose first piece takes four times its target; what
# is not sent by two and a half targets is told so, while they can come again.
PATIENCE_TARGETS: Final = 2.5
# What reading a prompt takes after its turn, and the way.
READING_S: Final = 0.12
# Beyond its patience, a request waits so long for the holder's word.
TURN_GRACE_S: Final = 0.1
# A prompt for which engines have had no room so many times is refused.
MAX_REFUSALS: Final = 3
# Callers that an overload turns away come back spread over this time: a burst
# lasts some seconds, and the same crowd a third of a second later finds the
# same queue. Their answer counts as late either way.
RETRY_FROM_S: Final = 1.5
RETRY_TO_S: Final = 3.5
LOAD_ASK_TIMEOUT_S: Final = 3.5
# While nobody holds an endpoint's orders, requests look again this often.
NO_HOLDER_POLL_S: Final = 0.1
# An older version of an adapter may serve for so long after a newer one was
# named, while that one is loaded. Five seconds are allowed from the naming.
VERSION_GRACE_S: Final = 1.5

# Requests with keys are turned away so much before the bound within which a
# key that was taken away must serve nowhere.
REVOKED_MARGIN_S: Final = 0.25
# An instance that hears nothing for so many times the bound of a new
# configuration has lost touch: in a quiet hour it hears once in the bound.
MISSED_PERIODS: Final = 2

# What callers are told to wait before they come again.
RETRY_AFTER_S: Final = 0.3
