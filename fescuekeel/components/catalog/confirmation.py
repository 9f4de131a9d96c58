"""Track how fresh the catalog is, and which peer to ask when it is not.

Every instance must stop serving a revoked client key in time, even if the
revocation does not reach it. So each one tracks up to when its catalog is
confirmed to be current: by answers of the store, or by asking a peer. News
alone confirms nothing, since messages may be delayed.
"""

from dataclasses import dataclass, field

from fescuekeel.components.catalog.const import (
    CLOCK_TOLERANCE,
    FRESH_AGE_S,
    HINT_TTL_S,
    MIN_AGE_GAIN_S,
)
from fescuekeel.components.catalog.follower import ListPage, WatchChanges
from fescuekeel.helpers.dialect import StoreReply, StoreStatus
from fescuekeel.helpers.published import Position

__all__ = ["PeerAges", "find_confirmed_at"]


def find_confirmed_at(
    call: ListPage | WatchChanges,
    reply: StoreReply,
    asked_at: float,
    replied_at: float,
    listing_asked_at: float,
) -> float | None:
    """Return up to when a store's answer confirms the catalog.

    In general this is when the call was sent. A watch that timed out without
    changes confirms up to the end of its wait. A listing confirms only with
    its last page, and up to when its first page was requested.

    >>> watch = WatchChanges(Position(0, 7), wait_s=2.0)
    >>> quiet = StoreReply(StoreStatus.OK, (), revision=7)
    >>> find_confirmed_at(
    ...     watch, quiet, 10.0, replied_at=12.1, listing_asked_at=0.0
    ... )
    11.96
    """
    if reply.status is not StoreStatus.OK:
        return None
    if isinstance(call, ListPage):
        return None if reply.more and reply.items else listing_asked_at
    era = call.after.era if reply.era is None else reply.era
    nothing_new = not reply.items and Position(era, reply.revision) == call.after
    # The clocks of the two machines may run at slightly different rates.
    waited_until = asked_at + (1 - CLOCK_TOLERANCE) * call.wait_s
    if nothing_new and replied_at >= waited_until:
        return waited_until
    return asked_at


@dataclass(frozen=True, slots=True)
class AgeHint:
    """The age of a peer's catalog by its last news, and when that came."""

    age_s: float
    received_at: float


@dataclass(slots=True)
class PeerAges:
    """Track how old the catalogs of peers are, to find a fresher one.

    >>> peer_ages = PeerAges()
    >>> peer_ages.record_news("i2", age_s=0.3, now=10.0)
    >>> peer_ages.choose(own_age_s=2.0, now=10.1)
    'i2'
    >>> peer_ages.choose(own_age_s=0.2, now=10.1)
    """

    _hints_by_peer: dict[str, AgeHint] = field(default_factory=dict)

    def record_news(self, peer: str, age_s: float, now: float) -> None:
        """Record the age that a peer's news reports."""
        self._hints_by_peer[peer] = AgeHint(age_s, now)

    def drop_peer(self, peer: str) -> None:
        """Skip a peer that did not answer until its next news."""
        self._hints_by_peer.pop(peer, None)

    def choose(self, own_age_s: float, now: float) -> str | None:
        """Return the freshest peer, ``None`` if none is worth a request."""
        if own_age_s < FRESH_AGE_S:
            return None
        for peer, hint in list(self._hints_by_peer.items()):
            if now - hint.received_at > HINT_TTL_S:
                del self._hints_by_peer[peer]
        ages_by_peer = {
            peer: hint.age_s + now - hint.received_at
            for peer, hint in self._hints_by_peer.items()
        }
        freshest = min(ages_by_peer, key=lambda id: ages_by_peer[id], default=None)
        if freshest is None:
            return None
        worth_it = ages_by_peer[freshest] <= own_age_s - MIN_AGE_GAIN_S
        return freshest if worth_it else None
