"""Constants of the catalog component."""

from typing import Final

DOMAIN: Final = "catalog"

# The longest wait of a watch at the store.
WATCH_WAIT_S: Final = 2.3
# Shares of the bound within which a change must be in force. A watcher has an
# answer of the store at least once in the first one: the pause after changes
# and the next wait add up to it. An instance that hears of no answer for the
# second one calls the store itself; the rest is for that call and for a late
# event loop.
ANSWER_INTERVAL_SHARE: Final = 0.6
SILENT_SHARE: Final = 0.72
# A watch after a long pause still waits this long.
MIN_WATCH_WAIT_S: Final = 0.2
# Time allowed for the answer after the wait.
READ_TIMEOUT_S: Final = 0.7
LIST_TIMEOUT_S: Final = 2.0
# The shortest time between two reads for decisions that must miss no change.
MIN_READ_INTERVAL_S: Final = 0.1
CONNECT_TIMEOUT_S: Final = 0.6
# The longest reply of the store: a page, or all changes since a watch. Values
# are up to 1 MB each, and a third longer in base64.
MAX_REPLY_BYTES: Final = 16 * 1024 * 1024
# A pause after each answer with changes batches bursts of them into one call.
# It takes this share of the bound within which changes must be in force; the
# rest is for a slow store and for news among peers. The maximum keeps the
# weights that endpoints publish recent, as routing relies on them.
BATCH_DELAY_SHARE: Final = 0.4
MAX_BATCH_DELAY_S: Final = 1.6
# Exponential backoff of failed calls; the maximum bounds how long an instance
# takes to catch up when the store is available again.
MIN_RETRY_S: Final = 0.15
RETRY_FACTOR: Final = 2.0
MAX_RETRY_S: Final = 1.0
# A watch that is answered before this share of its wait, and without changes,
# is answered early.
EARLY_SHARE: Final = 0.5

# How often an instance sends news of its revision, and to how many contacts.
# Instances that do not watch send it too, for data centres whose instances the
# store all rejects.
NEWS_PERIOD_S: Final = 0.5
WATCHER_NEWS_FANOUT: Final = 3
OTHER_NEWS_FANOUT: Final = 1
# Instances of each data centre that watch the store; two, so one may fail.
WATCHERS: Final = 2
# The longest and the shortest pause between two checks of whether an instance
# that does not watch has to.
WATCHER_POLL_S: Final = 0.25
MIN_WATCHER_POLL_S: Final = 0.01
# Longer values are compressed on the wire: a configuration may be large, and a
# watcher sends it to every neighbour.
COMPRESS_BYTES: Final = 1024
# A watcher that is behind a peer for this long requests the changes from it.
BEHIND_GRACE_S: Final = 0.6
# An instance that the store does not answer polls a peer this often, as a
# share of the bound within which changes must be in force.
POLL_SHARE: Final = 0.2
MAX_POLL_S: Final = 1.0
# How long an answer of the store may take beyond the wait of its watch before
# peers are polled.
SERVED_SLACK_S: Final = 0.1
# A request that is not answered in this time does not keep another from being
# sent to another peer,
LATE_ANSWER_S: Final = 0.2
# and after this time leads to a call to the store, which must still be within
# the bound.
MISSED_S: Final = 0.4
# A large configuration over a slow link takes up to this long.
ASK_TIMEOUT_S: Final = 2.0
# Requests under way at a time.
MAX_REQUESTS: Final = 3

# Entries of live endpoints do not expire in a shorter outage: they last for
# three renewal intervals.
MIN_LAPSE_OUTAGE_S: Final = 1.8
# Live endpoints whose entries expired in a store outage, or are missing in the
# copy it came back from, renew them within this time after it.
RENEWAL_S: Final = 2.0
# They are kept for longer: the rest is for the pause after changes, which is
# shorter meanwhile, and for the way to other instances.
LAPSE_GRACE_S: Final = 2.4
LAPSE_BATCH_DELAY_S: Final = 0.25
# How long what was known before the store came back from a copy is kept in
# place of older items of the copy. Endpoints and operators write again within
# seconds; entries of endpoints that have ended expire after three intervals of
# silence, of up to three seconds each.
SETTLE_S: Final = 10.0
# Removed keys that are kept, for peers that are behind.
MAX_REMOVED: Final = 4096
# Endpoints whose last start time is kept, also after their removal, to reject
# late entries of an earlier start.
MAX_KNOWN_STARTS: Final = 4096

# The longest batch delay and the longest wait of a watch, each as a share of
# the bound within which a revoked key must be rejected everywhere.
REVOKED_SHARE: Final = 0.2
# By how much the length of a wait may differ between two machines.
CLOCK_TOLERANCE: Final = 0.02
# An instance whose catalog is older than this requests changes of a fresher
# peer, if client keys can be revoked.
FRESH_AGE_S: Final = 0.8
# It asks only a peer whose catalog is fresher by at least this much,
MIN_AGE_GAIN_S: Final = 0.3
# and whose last news is no older than this, four news periods.
HINT_TTL_S: Final = 2.0
