"""State machine of one endpoint's ownership at this instance, without I/O.

The owner is chosen by hashing over a membership view, which may be stale, so
two instances may both consider themselves the owner. Safety does not depend
on the view: endpoints either check fencing tokens or rely on the owner's
lease, which is checked immediately before each order.
"""

import math
from dataclasses import dataclass, field
from enum import StrEnum

from fescuekeel.components.owner.const import (
    HANDOVER_CONFIRM_S,
    MAX_RENEWAL_GAP_S,
    PEERS_TIMEOUT_S,
    REPORT_LAG_S,
)
from fescuekeel.components.owner.fence import make_fence
from fescuekeel.const import OWNER_LEASE_S

__all__ = [
    "AskPeers",
    "ChosenAsOwner",
    "Elapsed",
    "Gained",
    "HandoverOffered",
    "Lost",
    "NotChosen",
    "OfferHandover",
    "OrderExecuted",
    "OrderUnconfirmed",
    "Ownership",
    "OwnershipEffect",
    "OwnershipEvent",
    "OwnershipState",
    "PeerReplied",
    "ReportReceived",
    "StaleFence",
]


class OwnershipState(StrEnum):
    """Ownership of an endpoint by this instance."""

    ABSENT = "absent"
    ACQUIRING = "acquiring"
    OWNED = "owned"


# Events.


@dataclass(frozen=True, slots=True)
class ChosenAsOwner:
    """The current view names this instance as the owner; renews the lease.

    ``peers`` are the other live instances. ``fenced`` means that orders of
    previous owners are harmless once this owner has given one: the endpoint
    checks fencing tokens, or has no adapters to evict.
    """

    peers: frozenset[str]
    fenced: bool


@dataclass(frozen=True, slots=True)
class NotChosen:
    """The view names another owner, or none if the endpoint is leaving."""

    successor: str | None


@dataclass(frozen=True, slots=True)
class HandoverOffered:
    """The previous owner ``by`` offers a handover; it gives no more orders."""

    by: str
    fence: int


@dataclass(frozen=True, slots=True)
class PeerReplied:
    """An instance asked at ``asked_at`` answered or timed out.

    ``fence`` is the highest fencing token that it knows, zero after a timeout.
    ``handed_over`` confirms that it has just handed the endpoint over to this
    instance.
    """

    instance: str
    asked_at: float
    fence: int = 0
    handed_over: bool = False


@dataclass(frozen=True, slots=True)
class ReportReceived:
    """The endpoint answered a poll that was sent at ``asked_at``."""

    fence: int
    asked_at: float


@dataclass(frozen=True, slots=True)
class OrderExecuted:
    """The endpoint executed an order with this fencing token."""

    fence: int


@dataclass(frozen=True, slots=True)
class StaleFence:
    """The endpoint refused an order: it has seen a higher fencing token."""

    fence: int


@dataclass(frozen=True, slots=True)
class OrderUnconfirmed:
    """An order was not answered and may still be executed later."""


@dataclass(frozen=True, slots=True)
class Elapsed:
    """Periodic tick."""


OwnershipEvent = (
    ChosenAsOwner
    | NotChosen
    | HandoverOffered
    | PeerReplied
    | ReportReceived
    | OrderExecuted
    | StaleFence
    | OrderUnconfirmed
    | Elapsed
)


# Effects.


@dataclass(frozen=True, slots=True)
class AskPeers:
    """Ask the endpoint and these instances for the running requests."""

    peers: frozenset[str]


@dataclass(frozen=True, slots=True)
class Gained:
    """Orders may be given from now on, with this fencing token."""

    fence: int


@dataclass(frozen=True, slots=True)
class Lost:
    """Give no more orders; return queued requests to their entries."""


@dataclass(frozen=True, slots=True)
class OfferHandover:
    """Offer the endpoint to its next owner."""

    successor: str
    fence: int


OwnershipEffect = AskPeers | Gained | Lost | OfferHandover


@dataclass(slots=True)
class Ownership:
    """The state of one endpoint's ownership at this instance.

    ``now`` is monotonic time in seconds, ``wall_ms`` the wall clock.

    >>> ownership = Ownership("i1")
    >>> ownership.handle(ChosenAsOwner(frozenset(), fenced=True), 10.0, 0)
    [AskPeers(peers=frozenset())]
    >>> ownership.state.value
    'acquiring'
    >>> report = ReportReceived(fence=5, asked_at=10.1)
    >>> (gained,) = ownership.handle(report, 10.2, 0)
    >>> gained.fence > 5, ownership.may_order(10.3), ownership.may_evict(10.3)
    (True, True, False)
    >>> ownership.may_order(20.0)
    False
    """

    instance_id: str
    state: OwnershipState = OwnershipState.ABSENT
    fence: int = 0
    highest_fence: int = 0
    _counter: int = 0
    _fenced: bool = False
    _acquiring_since: float = 0.0
    _renewed_at: float = 0.0
    _retry_at: float = 0.0
    _previous_lease_until: float = 0.0
    _evict_after: float = math.inf
    _successor: str = ""
    _handed_over_at: float = -math.inf
    _reported: bool = False
    _contact_at: float = -math.inf
    _handover_confirmed: bool = False
    _pending_peers: set[str] = field(default_factory=set)

    def may_order(self, now: float) -> bool:
        """Return whether an order may be given at time ``now``.

        Guards against a process that resumes after a pause during which
        another instance took over: its monotonic clock shows that the lease
        has expired.
        """
        return (
            self.state is OwnershipState.OWNED
            and now - self._renewed_at <= OWNER_LEASE_S
        )

    def may_evict(self, now: float) -> bool:
        """Return whether reports must show all work of previous owners."""
        return self.may_order(now) and now >= self._evict_after

    def may_confirm_handover(self, now: float) -> bool:
        """Return whether a successor may still ask to confirm a handover."""
        return (
            bool(self._successor) and now - self._handed_over_at <= HANDOVER_CONFIRM_S
        )

    def confirm_handover(self, asker: str, now: float) -> bool:
        """Return whether the endpoint was handed over to ``asker``.

        If the views name a third instance meanwhile, it asks too, which
        voids the handover.
        """
        if asker != self._successor:
            self._successor = ""
        return self.may_confirm_handover(now)

    def handle(
        self, event: OwnershipEvent, now: float, wall_ms: int
    ) -> list[OwnershipEffect]:
        """Handle one event and return the effects to apply."""
        effects = self._check_lease(now)
        match event:
            case ChosenAsOwner():
                effects += self._handle_chosen(event, now)
            case NotChosen(successor):
                effects += self._handle_not_chosen(successor, now)
            case HandoverOffered():
                effects += self._handle_offer(event)
            case PeerReplied():
                self._handle_peer_reply(event, now)
            case ReportReceived(fence, asked_at):
                self._record_fence(fence)
                if asked_at >= self._acquiring_since:
                    self._record_contact(now)
                if fence == self.fence:
                    self._record_fence_seen(now)
            case OrderExecuted(fence):
                if fence == self.fence:
                    self._record_fence_seen(now)
            case StaleFence(fence):
                effects += self._handle_stale_fence(fence, now)
            case OrderUnconfirmed():
                self._make_new_fence(wall_ms)
            case Elapsed():
                pass
        return effects + self._try_gain(now, wall_ms)

    def _record_fence(self, fence: int) -> None:
        self.highest_fence = max(self.highest_fence, fence)

    def _check_lease(self, now: float) -> list[OwnershipEffect]:
        if (
            self.state is OwnershipState.ABSENT
            or now - self._renewed_at <= OWNER_LEASE_S
        ):
            return []
        was_owned = self.state is OwnershipState.OWNED
        self.state = OwnershipState.ABSENT
        return [Lost()] if was_owned else []

    def _handle_chosen(self, event: ChosenAsOwner, now: float) -> list[OwnershipEffect]:
        missed = now - self._renewed_at > MAX_RENEWAL_GAP_S
        self._renewed_at = now
        self._fenced = event.fenced
        if self.state is OwnershipState.OWNED:
            return []
        # Restart a takeover after a pause: the views may have named another
        # owner meanwhile, whose lease must expire first.
        if self.state is OwnershipState.ACQUIRING and not missed:
            return []
        return self._acquire(event.peers, now)

    def _acquire(self, peers: frozenset[str], now: float) -> list[OwnershipEffect]:
        """Start a takeover.

        The previous owner may be paused and resume, so it must be assumed to
        give orders until its lease expires. Requests are not dispatched before
        that either, as it could evict their adapters. An endpoint that checks
        fencing tokens needs no such wait.
        """
        self.state = OwnershipState.ACQUIRING
        self._acquiring_since = now
        self._reported = False
        self._handover_confirmed = False
        self._start_waits(now)
        self._successor = ""
        self._pending_peers = set(peers)
        return [AskPeers(peers)]

    def _start_waits(self, now: float) -> None:
        self._previous_lease_until = now if self._fenced else now + OWNER_LEASE_S
        # Reports lag, so they show the previous owner's work late. A fenced
        # endpoint must first have seen the new token.
        self._evict_after = math.inf
        if not self._fenced:
            self._evict_after = self._previous_lease_until + REPORT_LAG_S

    def _record_contact(self, now: float) -> None:
        """Record a report; the waits of a takeover count from the first one.

        Guards against a second owner after a network partition: while this
        instance cannot reach the endpoint, an owner on the other side keeps
        renewing its lease, and the views take a moment to agree again.
        """
        regained = self._reported and now - self._contact_at > OWNER_LEASE_S
        first = not self._reported and not self._handover_confirmed
        if self.state is OwnershipState.ACQUIRING and (first or regained):
            self._start_waits(now)
        self._contact_at = now
        self._reported = True

    def _handle_offer(self, event: HandoverOffered) -> list[OwnershipEffect]:
        """Ask the previous owner to confirm the offer, which may be stale."""
        self._record_fence(event.fence)
        if self.state is OwnershipState.ABSENT:
            return []
        return [AskPeers(frozenset({event.by}))]

    def _handle_peer_reply(self, event: PeerReplied, now: float) -> None:
        """Handle an answer; a confirmed handover ends the waits early.

        An instance that confirms its handover gives no more orders, and a
        third instance named after it waits for a full lease. A confirmation
        is therefore valid only while it is younger than a lease.
        """
        self._pending_peers.discard(event.instance)
        self._record_fence(event.fence)
        fresh = now - event.asked_at <= PEERS_TIMEOUT_S
        if not event.handed_over or not fresh or self.state is OwnershipState.ABSENT:
            return
        self._handover_confirmed = True
        self._previous_lease_until = min(self._previous_lease_until, now)
        self._evict_after = min(self._evict_after, now)

    def _record_fence_seen(self, now: float) -> None:
        """Record that the endpoint refuses orders of previous owners."""
        if self.state is OwnershipState.OWNED and self._fenced:
            self._evict_after = min(self._evict_after, now + REPORT_LAG_S)

    def _handle_not_chosen(
        self, successor: str | None, now: float
    ) -> list[OwnershipEffect]:
        if self.state is OwnershipState.ABSENT:
            return []
        settled = self.may_evict(now)
        was_owned = self.state is OwnershipState.OWNED
        self.state = OwnershipState.ABSENT
        effects: list[OwnershipEffect] = [Lost()] if was_owned else []
        # An owner that may not know all running requests must not offer a
        # handover, which lets its successor skip the waits.
        if settled and successor is not None:
            self._successor = successor
            self._handed_over_at = now
            effects.append(OfferHandover(successor, self.fence))
        return effects

    def _handle_stale_fence(self, fence: int, now: float) -> list[OwnershipEffect]:
        """Give up ownership: another instance has taken over.

        If the view still names this instance, it retries with a higher token,
        but only after a lease. Otherwise two owners with different views would
        fence each other off at every order.
        """
        self._record_fence(fence)
        if self.state is not OwnershipState.OWNED or fence <= self.fence:
            return []
        self.state = OwnershipState.ABSENT
        self._retry_at = now + OWNER_LEASE_S
        return [Lost()]

    def _try_gain(self, now: float, wall_ms: int) -> list[OwnershipEffect]:
        if self.state is not OwnershipState.ACQUIRING or not self._reported:
            return []
        if self._pending_peers and now - self._acquiring_since < PEERS_TIMEOUT_S:
            return []
        if now < max(self._retry_at, self._previous_lease_until):
            return []
        self._make_new_fence(wall_ms)
        self.state = OwnershipState.OWNED
        return [Gained(self.fence)]

    def _make_new_fence(self, wall_ms: int) -> None:
        # Also protects against this owner's own delayed eviction: once a later
        # order has raised the endpoint's token, the delayed one is refused.
        self._counter += 1
        self.fence = make_fence(
            wall_ms, self._counter, self.instance_id, self.highest_fence
        )
        self._record_fence(self.fence)
