"""Constants of the placement component."""

from typing import Final

DOMAIN: Final = "placement"

# How often a holder looks at its endpoints, and tells all what they hold.
TICK_S: Final = 0.25
NEWS_PERIOD_S: Final = 0.5
# Instances beyond this many make the news rarer in proportion, so that the
# messages that one instance gets do not grow with the fleet.
NEWS_FLEET: Final = 16
MAX_NEWS_SLOWDOWN: Final = 2.5
# Whole lists of what is held are told this often, differences in between; who
# comes anew or loses its connection gets the whole lists at once.
FULL_NEWS_PERIOD_S: Final = 10.0
# In a fleet that large, changes are gathered for so long before they are told,
# and longer in proportion in a larger one, so that the messages that an
# instance gets do not grow with the number of holders.
NEWS_GATHER_S: Final = 0.1
MAX_NEWS_GATHER_S: Final = 1.0
# One of so many instances of a data centre holds endpoints there, so that no
# holder's link and processor carry the loads of a whole data centre.
MEMBERS_PER_HOLDER: Final = 6

# A claim that was not heard for so long is over: four pieces of news.
CLAIM_TTL_S: Final = 2.0
# A holder that the endpoint has not answered for so long gives it up.
CONTACT_LOST_S: Final = 1.5
# Added to the lease before a new holder gives its first order: what a message
# takes on a slow machine.
TAKEOVER_MARGIN_S: Final = 0.5
# Instead of the lease, for an endpoint that is new and whose data centre this
# instance has long been the candidate of: more than two rounds of news, in
# which another holder, behind a cut until now, would be heard.
NEW_ENDPOINT_WAIT_S: Final = 1.0
# Instead of the lease, right after the start, where endpoints refuse the
# orders of an earlier holder: instances find each other within half a second,
# and a holder tells a newcomer within a quarter. No order of an earlier life
# of this process can follow. Where endpoints check nothing this is too short:
# two instances that had not found each other after a second gave orders both.
START_WAIT_S: Final = 1.0
# A candidacy counts as begun at the start for so long after it: instances
# that are started together know each other after 1.5 s at the latest.
START_WINDOW_S: Final = 1.6
# How long the next holder waits after a release, and after it has become the
# candidate, where endpoints do not refuse the orders of another: instances
# that have just started may be known to some only, for about a second.
UNFENCED_HANDOVER_S: Final = 1.5
FENCED_HANDOVER_S: Final = 0.1
# A holder's last word is believed for so long; after that another may have
# followed it.
LAST_WORD_FRESH_S: Final = 5.0
# How many endpoints are remembered, to tell a new one from one that was away.
MAX_SEEN_ENDPOINTS: Final = 4096
# A gap between two ticks longer than this means that the process was paused.
PAUSE_S: Final = 1.0
# A fencing number has the term above this many bits of the holder's identity.
IDENTITY_BITS: Final = 32
# Terms stay below this, so that fencing numbers stay below 2**53 and every
# JSON reader takes them exactly.
MAX_TERM: Final = 2**20

# How many adapters one endpoint may have on their way at a time: an engine
# takes no more than four.
MAX_PENDING: Final = 4
# An adapter from the weight store takes 250 to 290 ms, one that the endpoint
# held lately a tenth of that. A report lags by 100 ms and is priced as a
# probe; the order itself, given again, is answered at once with whether it
# holds already, for a seventh of the price.
LOAD_S: Final = 0.26
WARM_LOAD_S: Final = 0.02
CHECK_PERIOD_S: Final = 0.012
# How much the time of one load counts for what the next ones are expected to
# take: that is followed within ten loads, two seconds under load.
LOAD_TIME_WEIGHT: Final = 0.2
# A load that takes so many times as long as the fastest one shares the weight
# store with too many others: fewer are ordered at once then, down by a fifth
# for each such load and up by a tenth of one for each other.
SLOWED_LOAD: Final = 1.5
FEWER_AT_ONCE: Final = 0.8
MORE_AT_ONCE: Final = 0.1
# The fastest time is forgotten slowly: it counts as twice as long after some
# 350 loads.
FASTEST_FADES: Final = 1.002
LOOK_PERIOD_S: Final = 0.25
# A report that orders wait for is asked for again after this.
RETRY_LOOK_S: Final = 0.1
# A report shows each order that was taken so long before it was asked for.
REPORT_LAG_S: Final = 0.5
# How many adapters that an endpoint held lately it still has in its memory.
WARM_ADAPTERS: Final = 100
# For so long after its turn a prompt counts as a use of its weights, unless
# its instance tells of it: what an instance takes to tell, and as long again.
GRANT_TTL_S: Final = 0.6
# An endpoint that refuses orders is given the next one after this, doubled
# at each refusal up to the second figure.
ORDER_RETRY_S: Final = 0.05
ORDER_RETRY_MAX_S: Final = 0.4
# It counts as blocked once it has refused all orders for so long: a load takes
# no longer, and asks go elsewhere.
BLOCKED_S: Final = 0.3
# Uses that nobody has told for this long are not believed any more, also while
# an endpoint runs more than is told: streams take six seconds at most.
STALE_USE_TTL_S: Final = 8.0
# How long instances take to tell a new holder of their uses.
USES_TOLD_S: Final = 1.0
IDLE_LOOK_S: Final = 1.0
# An order that no report has shown after this was lost, or failed.
ORDER_LOST_S: Final = 2.5
ORDER_TIMEOUT_S: Final = 1.0
# A base model from the weight store may take seconds, and longer when many
# are on their way.
MODEL_LOAD_LOST_S: Final = 30.0
# For each so many endpoints of a service that have the base model, one more
# may load it beside the first: how many loads the weight store serves at full
# speed is not published, and a service that has nothing needs one soon.
ENDPOINTS_PER_MODEL_LOAD: Final = 2
# An endpoint is asked to load its base model again no sooner than this.
MODEL_RETRY_S: Final = 5.0
REPORT_TIMEOUT_S: Final = 0.8
# Reports are asked for by new connections when the last one failed.
CONNECT_TIMEOUT_S: Final = 0.4
# A kept connection to an endpoint is used again for so long, if the endpoint
# does not say how long it keeps one.
KEEP_S: Final = 1.0

# What an engine is taken to read until its speed is known: the engines of
# today read 19 to 26 tokens a millisecond. The rest of a window goes to the
# tokens of three steps and to the way.
PROMPT_TOKENS_PER_S: Final = 21_000
PROMPT_SHARE: Final = 0.5
# That share follows the pauses of running streams: an eighth less after one
# that comes near what callers accept, a little more in each window in which
# prompts wait. So one window in twelve has such a pause, and one in fifty
# or so one that is too long; a stream lives for some five windows, and a long
# pause spoils all that run. With one window in eight beyond the bound a fifth
# of all streams paused for too long.
LONG_PAUSE: Final = 0.85
SHARE_DOWN: Final = 0.875
SHARE_UP: Final = 1.01
MIN_PROMPT_SHARE: Final = 0.15
MAX_PROMPT_SHARE: Final = 1.5
# A speed that differs from that by more than this factor is not believed.
SPEED_RANGE: Final = 8.0
# How much a sample of an engine's speed counts: an engine that has turned slow
# is seen within ten, a second or two under load.
SPEED_WEIGHT: Final = 0.1
# No more prompts wait at one engine than are read within this time.
MAX_TURN_QUEUE_S: Final = 1.2
# No more adapters are waited for at one endpoint: at four at a time, of a
# third of a second each, the last one waits for more than a second.
MAX_ASKS: Final = 10
# Copies that nobody waits for are not made while so many loads are waited for.
MAX_ASKS_BEFORE_SPREAD: Final = 2
# The window where no route names the pause that its callers accept.
DEFAULT_WINDOW_S: Final = 0.3

# An adapter stays for so long after it was loaded, so that those who waited
# for it reach it: a message there and one back, on a slow machine.
MIN_STAY_S: Final = 0.25
# Demand below this counts as none; it is that of one request ten half-lives
# ago.
NO_DEMAND: Final = 0.001
# The half-life of what counts as an adapter's demand.
DEMAND_HALF_LIFE_S: Final = 6.0
# A wish for one more copy, which nobody waits for, ends after this.
SPREAD_ASK_TTL_S: Final = 3.0
# How long after a use was last told it still counts as running.
USE_TTL_S: Final = 2.0
