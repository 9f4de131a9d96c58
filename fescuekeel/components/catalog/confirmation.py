"""Decide how fresh the catalog is known to be, and whom to ask for more; pure.

Every instance has to stop serving a key some time after it was taken away,
also one that hears nothing of it. So each knows until when its catalog was
the newest. Those that call the store learn it from each answer, the others
ask a peer: a peer's news alone proves nothing, since it may have been held up
for seconds on its way.
"""

from dataclasses import dataclass, field

from fescuekeel.components.catalog.const import (
    CLOCK_TOLERANCE,
    FRESH_ENOUGH_S,
    GATHER_SHARE,
    HINT_TTL_S,
    MAX_GATHER_S,
    REVOKED_SHARE,
    WATCH_WAIT_S,
    WORTH_ASKING_S,
)
from fescuekeel.components.catalog.follower import ListPage, WatchChanges
from fescuekeel.helpers.dialect import SourceReply, SourceStatus

__all__ = ["Sources", "choose_pace", "find_confirmed"]


def find_confirmed(
    call: ListPage | WatchChanges,
    reply: SourceReply,
    asked: float,
    replied: float,
    listing_asked: float,
) -> float | None:
    """Return the moment of which an answer of the store tells the state.

    It is that at which the call was sent. A watch that waited for its whole
    time and found nothing speaks of the end of that time. A listing has been
    read whole with its last page, and speaks of the time of its first.

    >>> watch = WatchChanges(after_revision=7, wait_s=2.0)
    >>> quiet = SourceReply(SourceStatus.OK, (), revision=7)
    >>> find_confirmed(watch, quiet, 10.0, replied=12.1, listing_asked=0.0)
    11.96
    """
    if reply.status is not SourceStatus.OK:
        return None
    if isinstance(call, ListPage):
        return None if reply.more and reply.items else listing_asked
    nothing_new = not reply.items and reply.revision == call.after_revision
    # Clocks and timers of two machines differ a little.
    waited_until = asked + (1 - CLOCK_TOLERANCE) * call.wait_s
    if nothing_new and replied >= waited_until:
        return waited_until
    return asked


def choose_pace(bound_s: float, revoked_s: float) -> tuple[float, float]:
    """Return how long changes are gathered, and how long a watch waits.

    ``bound_s`` is within what a change must be in force and ``revoked_s``
    within what a key that was taken away serves nowhere, zero for no bound. A
    watch that is answered with a change speaks of the time before its wait,
    and the next one ends a pause and a wait later: these three, and what a
    peer's word takes, stay below the second bound.

    >>> choose_pace(bound_s=3.0, revoked_s=5.0)
    (1.0, 1.0)
    >>> choose_pace(bound_s=2.0, revoked_s=0.0)
    (0.8, 2.3)
    """
    gather_s = min(MAX_GATHER_S, GATHER_SHARE * bound_s)
    if revoked_s <= 0:
        return gather_s, WATCH_WAIT_S
    most_s = REVOKED_SHARE * revoked_s
    return min(gather_s, most_s), min(WATCH_WAIT_S, most_s)


@dataclass(frozen=True, slots=True)
class Hint:
    """What a peer's news told of its own freshness, and when it came."""

    age_s: float
    heard: float


@dataclass(slots=True)
class Sources:
    """Hold which peers may know of a later moment than this instance.

    >>> sources = Sources()
    >>> sources.note_news("i2", age_s=0.3, now=10.0)
    >>> sources.choose(own_age_s=2.0, now=10.1)
    'i2'
    >>> sources.choose(own_age_s=0.2, now=10.1)
    """

    _hints_by_peer: dict[str, Hint] = field(default_factory=dict)

    def note_news(self, peer: str, age_s: float, now: float) -> None:
        """Take the age that a peer's news told."""
        self._hints_by_peer[peer] = Hint(age_s, now)

    def note_silent(self, peer: str) -> None:
        """Ask a peer that did not answer only after its next news."""
        self._hints_by_peer.pop(peer, None)

    def choose(self, own_age_s: float, now: float) -> str | None:
        """Return the peer to ask; ``None`` if nobody is worth it."""
        if own_age_s < FRESH_ENOUGH_S:
            return None
        for peer, hint in list(self._hints_by_peer.items()):
            if now - hint.heard > HINT_TTL_S:
                del self._hints_by_peer[peer]
        ages_by_peer = {
            peer: hint.age_s + now - hint.heard
            for peer, hint in self._hints_by_peer.items()
        }
        freshest = min(ages_by_peer, key=lambda id: ages_by_peer[id], default=None)
        if freshest is None:
            return None
        worth_it = ages_by_peer[freshest] <= own_age_s - WORTH_ASKING_S
        return freshest if worth_it else None
