"""Times of the calls to the store that keep changes within their bound."""

from dataclasses import dataclass

from fescuekeel.components.catalog.const import (
    ANSWER_INTERVAL_SHARE,
    BATCH_DELAY_SHARE,
    MAX_BATCH_DELAY_S,
    MAX_POLL_S,
    MIN_WATCH_WAIT_S,
    POLL_SHARE,
    REVOKED_SHARE,
    SILENT_SHARE,
    WATCH_WAIT_S,
)

__all__ = ["WatchTiming", "choose_watch_timing"]


@dataclass(frozen=True, slots=True)
class WatchTiming:
    """Times of the calls to the store, in seconds.

    ``batch_delay_s`` is the pause after an answer with changes, and
    ``interval_s`` what this pause and the wait of the next watch add up to.
    ``wait_s`` is the longest wait. Without an answer of the store for
    ``silent_s``, a watcher is not relied on. An instance that the store does
    not answer polls peers each ``poll_s``.
    """

    batch_delay_s: float = 0.0
    interval_s: float = WATCH_WAIT_S
    wait_s: float = WATCH_WAIT_S
    silent_s: float = WATCH_WAIT_S
    poll_s: float = MAX_POLL_S

    def choose_wait_s(self, pause_s: float) -> float:
        """Return how long a watch waits that is sent after a pause."""
        return min(self.wait_s, max(MIN_WATCH_WAIT_S, self.interval_s - pause_s))


def choose_watch_timing(bound_s: float, revoked_s: float) -> WatchTiming:
    """Return the times of calls that keep changes within their bounds.

    ``bound_s`` bounds the time until a change is in force, ``revoked_s`` that
    until a revoked key is rejected everywhere; zero is no bound. A watch that
    returns a change confirms only up to its start, and the next one ends a
    batch delay and a wait later: two waits, the delay and the request of a
    peer must fit into ``revoked_s``.

    >>> timing = choose_watch_timing(bound_s=2.0, revoked_s=0.0)
    >>> timing.batch_delay_s, timing.interval_s, timing.silent_s, timing.poll_s
    (0.8, 1.2, 1.44, 0.4)
    >>> choose_watch_timing(bound_s=3.0, revoked_s=5.0).wait_s
    1.0
    """
    batch_delay_s = min(MAX_BATCH_DELAY_S, BATCH_DELAY_SHARE * bound_s)
    interval_s = ANSWER_INTERVAL_SHARE * bound_s
    wait_s = min(WATCH_WAIT_S, interval_s)
    if revoked_s > 0:
        batch_delay_s = min(batch_delay_s, REVOKED_SHARE * revoked_s)
        wait_s = min(wait_s, REVOKED_SHARE * revoked_s)
    silent_s = SILENT_SHARE * bound_s
    poll_s = min(MAX_POLL_S, POLL_SHARE * bound_s)
    return WatchTiming(batch_delay_s, interval_s, wait_s, silent_s, poll_s)
