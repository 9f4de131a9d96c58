"""Constants of the placement component."""

from typing import Final

DOMAIN: Final = "placement"

# Claims and updates to peers.

TICK_S: Final = 0.25
UPDATE_PERIOD_S: Final = 0.5
# Larger fleets get periodic updates less often, in proportion to their size,
# which bounds the messages that each instance receives.
SMALL_FLEET_INSTANCES: Final = 16
MAX_UPDATE_SLOWDOWN: Final = 2.5
# Full state is sent at this interval, and deltas in between. Instances that
# join or reconnect get the full state at once.
FULL_UPDATE_PERIOD_S: Final = 10.0
# Larger fleets batch changes, in proportion to their size, which bounds the
# messages that each instance receives.
UPDATE_BATCH_S: Final = 0.1
MAX_UPDATE_BATCH_S: Final = 1.0
# Spreads the endpoints of a data centre over several holders, so that no
# holder's link and processor carry the loads of the whole data centre.
MEMBERS_PER_HOLDER: Final = 6

# Four update periods.
CLAIM_TTL_S: Final = 2.0
# A holder releases an endpoint that has not answered for this long.
CONTACT_TIMEOUT_S: Final = 1.5
# Added to the lease for orders in transit on a slow machine.
TAKEOVER_MARGIN_S: Final = 0.5
# Replaces the lease for a new endpoint whose data centre this instance has
# been the candidate for: two update periods, within which any other holder
# would be discovered.
NEW_ENDPOINT_WAIT_S: Final = 1.0
# Replaces the lease right after startup where endpoints check fencing tokens:
# time to discover peers and receive their claims. Too short without fencing,
# since instances started together may not know each other yet.
START_WAIT_S: Final = 1.0
# Candidacies that begin within this time of the start count as startup ones:
# instances that start together know each other after 1.5 s at the latest.
START_WINDOW_S: Final = 1.6
# Wait after a holder has released an endpoint. Without fencing it covers the
# time for which members may disagree on the candidate.
UNFENCED_HANDOVER_S: Final = 1.5
FENCED_HANDOVER_S: Final = 0.1
# An older claim or release may have been superseded by another holder.
PEER_CLAIM_FRESH_S: Final = 5.0
# Bounds the names kept to distinguish new endpoints from returning ones.
MAX_SEEN_ENDPOINTS: Final = 4096
# A longer gap between ticks means that the process was suspended.
SUSPENSION_GAP_S: Final = 1.0
# By how much the least term rises with the store's era: more than the changes
# that a copy may lack, also where revisions count microseconds. Later eras are
# worth less, so that terms stay below MAX_TERM if eras begin at a high number.
TERMS_PER_EARLY_ERA: Final = 2**32
EARLY_ERAS: Final = 2**14
TERMS_PER_LATER_ERA: Final = 2**23
# Low bits of a fencing token, below the term. Terms from each of the limits on
# have fewer, so that tokens stay exact in JSON readers with floating-point
# numbers (below 2**53) up to 2**34, and below 2**63 up to MAX_TERM.
HOLDER_HASH_BITS: Final = 32
HOLDER_HASH_BITS_OF_HIGH_TERMS: Final = 18
HOLDER_HASH_BITS_OF_HIGHEST_TERMS: Final = 8
FIRST_HIGH_TERM: Final = 2**19
FIRST_HIGHEST_TERM: Final = 2**43
# Above the tokens of all lower terms, also those of instances of earlier
# versions, which gave terms up to 2**20 the longest hash, and terms up to
# 2**44 that of high terms.
FIRST_HIGH_TOKEN: Final = 2**52
FIRST_HIGHEST_TOKEN: Final = 2**61 + 2**53
# Keeps fencing tokens within signed integers of 64 bits. No position of a
# store reaches it: revisions are below 2**53 and eras below 10**9.
MAX_TERM: Final = 2**54 + 2**52
# By how much a term rises after an endpoint has rejected it for a higher one,
# which is not known. It grows by the factor each time, up to the second value,
# so that MAX_TERM is thousands of rejections away.
MIN_TERM_RAISE: Final = 2**10
MAX_TERM_RAISE: Final = 2**40
TERM_RAISE_GROWTH: Final = 16

# Orders to endpoints.

# Engines accept no more loads at a time.
MAX_PENDING: Final = 4
# Initial estimate for a load from the weight store.
LOAD_S: Final = 0.26
# A load of an adapter that the endpoint still has in host memory.
WARM_LOAD_S: Final = 0.02
# A load order is repeated to poll for completion. It is answered at once and
# is cheaper than a report, which lags by some 100 ms.
CHECK_PERIOD_S: Final = 0.012
# Smoothing factor of the load time estimate, which follows a change within ten
# loads.
LOAD_TIME_WEIGHT: Final = 0.2
# Loads slower than the fastest one by this factor indicate contention at the
# weight store. Concurrency then decreases by a factor, and otherwise
# increases by a constant.
SLOW_LOAD_FACTOR: Final = 1.5
CONCURRENCY_DECREASE: Final = 0.8
CONCURRENCY_INCREASE: Final = 0.1
# Lets the fastest load time rise again; doubles it within some 350 loads.
FASTEST_LOAD_GROWTH: Final = 1.002
REPORT_PERIOD_S: Final = 0.25
# Applies while orders wait for a report.
REPORT_RETRY_S: Final = 0.1
# A report shows every order accepted this long before it was requested.
REPORT_LAG_S: Final = 0.5
# Recently unloaded adapters that an endpoint keeps in host memory.
WARM_ADAPTERS: Final = 100
# An admitted prompt counts as a use until its instance reports it, or for
# this long: twice the delay of a use update.
GRANT_TTL_S: Final = 0.6
# Exponential backoff after an endpoint has refused an order.
ORDER_RETRY_S: Final = 0.05
ORDER_RETRY_MAX_S: Final = 0.4
# An endpoint that refuses all orders for longer than a load takes counts as
# blocked, and load requests go to other endpoints.
BLOCKED_S: Final = 0.3
# Longer than streams last, which is six seconds at most: older uses are
# ignored even if the endpoint runs more requests than instances have reported.
STALE_USE_TTL_S: Final = 8.0
# Time for all instances to send their uses to a new holder.
USE_UPDATE_WAIT_S: Final = 1.0
IDLE_REPORT_PERIOD_S: Final = 1.0
# An accepted order that no report shows after this has failed.
ORDER_LOST_S: Final = 2.5
ORDER_TIMEOUT_S: Final = 1.0
# Base models take seconds to load, longer with many loads in parallel.
MODEL_LOAD_LOST_S: Final = 30.0
# One base model load at a time, plus one for each this many endpoints of the
# service that have the model. How many loads the weight store serves at full
# speed is not published, and a service without the model needs one soon.
ENDPOINTS_PER_MODEL_LOAD: Final = 2
MODEL_RETRY_S: Final = 5.0
REPORT_TIMEOUT_S: Final = 0.8

# Admission of prompts.

# Initial estimate of an engine's prefill speed.
PROMPT_TOKENS_PER_S: Final = 21_000
# Initial share of a window for prefill; decode steps and the network take
# the rest.
PROMPT_SHARE: Final = 0.5
# The share decreases after a window with a pause above this fraction of the
# accepted one, and increases slowly while prompts wait. A stream lasts for
# some five windows, and one pause that is too long makes all of it late.
LONG_PAUSE_RATIO: Final = 0.85
SHARE_DECREASE: Final = 0.875
SHARE_INCREASE: Final = 1.01
MIN_PROMPT_SHARE: Final = 0.15
MAX_PROMPT_SHARE: Final = 1.5
# Samples further than this factor from the initial speed are clamped.
SPEED_RANGE: Final = 8.0
# Smoothing factor of the speed estimate: an engine that has become slow shows
# within ten samples.
SPEED_WEIGHT: Final = 0.1
MAX_PROMPT_QUEUE_S: Final = 1.2
# Bounds the wait of the last adapter to about a second: four load at a time,
# for a third of a second each.
MAX_AWAITED_ADAPTERS: Final = 10
# Replicas are loaded only where fewer adapters are waited for.
MAX_AWAITED_BEFORE_REPLICA: Final = 2
# Applies where no route sets a target for the pause between tokens.
DEFAULT_WINDOW_S: Final = 0.3

# Eviction of adapters.

# Leaves the requests that waited for an adapter time to reach it.
MIN_RESIDENCY_S: Final = 0.25
# Lower demand counts as none: that of one request ten half-lives ago.
MIN_DEMAND: Final = 0.001
DEMAND_HALF_LIFE_S: Final = 6.0
REPLICA_REQUEST_TTL_S: Final = 3.0
# A use counts as running for this long after its last update.
USE_TTL_S: Final = 2.0
