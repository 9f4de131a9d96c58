"""Decides when to request changes from a peer, and from which one; pure.

An instance is behind from a peer's announcement of a higher position until it
reaches that position, whatever other peers say. Announcements go to a few
contacts only, so an instance whose calls the store does not answer polls peers
as well.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

from fescuekeel.components.catalog.const import (
    BEHIND_GRACE_S,
    HINT_TTL_S,
    LATE_ANSWER_S,
    MAX_REQUESTS,
    MISSED_S,
)
from fescuekeel.helpers.published import BEGINNING, Position

__all__ = ["ChangeRequests", "OwnState"]

NEVER = float("inf")


@dataclass(frozen=True, slots=True)
class OwnState:
    """What an instance knows, and how its own calls to the store fare.

    ``must_watch`` says that it has to call the store, and ``served_until`` is
    until when its last answer counts as a sign that the store serves it.
    """

    position: Position
    must_watch: bool
    served_until: float


@dataclass(frozen=True, slots=True)
class Request:
    """A request under way, and the position that its peer has announced."""

    announced: Position
    sent_at: float


@dataclass(slots=True)
class ChangeRequests:
    """Track which peers are ahead, and the requests that are under way.

    An instance that the store answers waits for its own watch first. A late
    answer is not waited for: the next request goes to another peer.

    >>> requests = ChangeRequests(poll_s=0.4)
    >>> own = OwnState(Position(0, 7), must_watch=True, served_until=10.0)
    >>> requests.record_news("i2", Position(0, 9), own.position, now=10.0)
    >>> requests.choose(own, ["i2", "i3"], now=10.1)
    'i2'
    >>> requests.record_sent("i2", now=10.1)
    >>> requests.record_news("i3", Position(0, 7), own.position, now=10.2)
    >>> requests.choose(own, ["i2", "i3"], now=10.2)
    >>> requests.choose(own, ["i2", "i3"], now=10.4)
    'i3'
    """

    poll_s: float
    # The highest position that any peer announced.
    target: Position = BEGINNING
    behind_since: float = NEVER
    # The highest position that a peer announced and did not send in time.
    missed: Position = BEGINNING
    _ahead_by_peer: dict[str, Position] = field(default_factory=dict)
    _answered_at_by_peer: dict[str, float] = field(default_factory=dict)
    _requests_by_peer: dict[str, Request] = field(default_factory=dict)
    # When a request was last sent, or no peer was left to send one to.
    _attempted_at: float = float("-inf")
    _polled: str = ""

    # What happens.

    def record_news(
        self, peer: str, position: Position, own: Position, now: float
    ) -> None:
        """Record the position that a peer announces."""
        if position <= own:
            self._ahead_by_peer.pop(peer, None)
            return
        self._ahead_by_peer[peer] = position
        if self.target <= own:
            self.behind_since = now
        self.target = max(self.target, position)

    def record_answered_by_store(self, peer: str, answered_at: float) -> None:
        """Record when the store last answered a peer."""
        known_at = self._answered_at_by_peer.get(peer, answered_at)
        self._answered_at_by_peer[peer] = max(known_at, answered_at)

    def record_sent(self, peer: str, now: float) -> None:
        """Record a request to a peer."""
        announced = self._ahead_by_peer.get(peer, BEGINNING)
        self._requests_by_peer[peer] = Request(announced, now)
        self._attempted_at = now
        self._polled = peer

    def record_answer(self, peer: str, own: Position) -> None:
        """Record that a peer has sent its changes, up to a position."""
        self._requests_by_peer.pop(peer, None)
        self._ahead_by_peer.pop(peer, None)
        self.record_reached(own)

    def record_failure(self, peer: str) -> None:
        """Skip a peer that did not answer until its next news."""
        request = self._requests_by_peer.pop(peer, None)
        if request is not None:
            self.missed = max(self.missed, request.announced)
        self._ahead_by_peer.pop(peer, None)
        self._answered_at_by_peer.pop(peer, None)

    def record_reached(self, own: Position) -> None:
        """Apply a position that this instance has reached."""
        if own >= self.target:
            self.behind_since = NEVER
        for peer, position in list(self._ahead_by_peer.items()):
            if position <= own:
                del self._ahead_by_peer[peer]

    # What follows.

    def is_waiting(self, now: float) -> bool:
        """Return whether a request may still be answered in time."""
        sent = [request.sent_at for request in self._requests_by_peer.values()]
        return len(sent) >= MAX_REQUESTS or any(
            now - sent_at < LATE_ANSWER_S for sent_at in sent
        )

    def find_missed(self, now: float) -> Position:
        """Return the highest position that was announced and not sent."""
        for request in self._requests_by_peer.values():
            if now - request.sent_at >= MISSED_S:
                self.missed = max(self.missed, request.announced)
        return self.missed

    def choose(self, own: OwnState, contacts: Sequence[str], now: float) -> str | None:
        """Return the peer to send a request to now, ``None`` for none."""
        if self.is_waiting(now):
            return None
        if now >= self._get_request_due(own):
            free = self._ahead_by_peer.keys() - self._requests_by_peer.keys()
            if free:
                return max(free, key=lambda peer: (self._ahead_by_peer[peer], peer))
        if now < self._get_poll_due(own):
            return None
        # The pause applies without a free peer, too.
        self._attempted_at = now
        return self._choose_polled(contacts, now)

    def find_due(self, own: OwnState, now: float) -> float:
        """Return when to choose next, unless something happens before."""
        if len(self._requests_by_peer) >= MAX_REQUESTS:
            return NEVER
        due = self._get_poll_due(own)
        if self._ahead_by_peer.keys() - self._requests_by_peer.keys():
            due = min(due, self._get_request_due(own))
        if self.is_waiting(now):
            due = max(due, self._attempted_at + LATE_ANSWER_S)
        return due

    def _get_request_due(self, own: OwnState) -> float:
        """Return from when on peers that are ahead are asked."""
        if not own.must_watch or own.served_until <= self.behind_since:
            return self.behind_since
        return min(self.behind_since + BEHIND_GRACE_S, own.served_until)

    def _get_poll_due(self, own: OwnState) -> float:
        """Return when to ask a peer that has announced nothing."""
        if not own.must_watch:
            return NEVER
        pause_s = LATE_ANSWER_S if self._requests_by_peer else self.poll_s
        return max(own.served_until, self._attempted_at + pause_s)

    def _choose_polled(self, contacts: Sequence[str], now: float) -> str | None:
        """Return a peer that the store answers, or the next contact."""
        for peer, at in list(self._answered_at_by_peer.items()):
            if now - at > HINT_TTL_S:
                del self._answered_at_by_peer[peer]
        answered = self._answered_at_by_peer.keys() - self._requests_by_peer.keys()
        if answered:
            return max(answered, key=lambda peer: self._answered_at_by_peer[peer])
        free = [peer for peer in contacts if peer not in self._requests_by_peer]
        later = [peer for peer in free if peer > self._polled]
        return min(later or free, default=None)
