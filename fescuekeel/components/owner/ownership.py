"""Decide whether this instance owns an endpoint; a pure decision.

Who owns an endpoint is a soft decision for efficiency: hashing over a view of
the members that may be wrong. What keeps two owners from harming each other
is local to the endpoint: its fencing number where it checks one, and for the
others the lease below, which is checked right before each order.
"""

from collections.abc import Collection
from dataclasses import dataclass, field
from enum import StrEnum

from fescuekeel.components.owner.const import (
    OFFER_KEPT_S,
    PEERS_PATIENCE_S,
    REPORT_LAG_S,
)
from fescuekeel.components.owner.fence import make_fence
from fescuekeel.const import OWNER_LEASE_S

__all__ = [
    "AskPeers",
    "Elapsed",
    "FenceSeen",
    "Gained",
    "Lost",
    "Named",
    "Offer",
    "Offered",
    "OwnState",
    "Ownership",
    "OwnershipEffect",
    "OwnershipEvent",
    "PeerTold",
    "ReportSeen",
    "StaleFence",
    "Unnamed",
    "Unsure",
]


class OwnState(StrEnum):
    """Name what this instance is to an endpoint."""

    ABSENT = "absent"
    ACQUIRING = "acquiring"
    OWNED = "owned"


# Events.


@dataclass(frozen=True, slots=True)
class Named:
    """The view, as it is now, names this instance as the owner.

    This renews the lease. ``peers`` are the other live instances. ``fenced``
    tells that an earlier owner's orders can do no harm once this one has
    given an order: the endpoint checks fencing numbers, or holds nothing
    that could be evicted.
    """

    peers: frozenset[str]
    fenced: bool


@dataclass(frozen=True, slots=True)
class Unnamed:
    """The view names another owner, or none when the endpoint is leaving."""

    successor: str | None


@dataclass(frozen=True, slots=True)
class Offered:
    """The earlier owner hands over: it gives no more orders."""

    fence: int


@dataclass(frozen=True, slots=True)
class PeerTold:
    """An instance told what it knows, or did not answer (``fence`` 0)."""

    instance: str
    fence: int = 0


@dataclass(frozen=True, slots=True)
class ReportSeen:
    """The endpoint reported; ``asked`` is when it was asked to."""

    fence: int
    asked: float


@dataclass(frozen=True, slots=True)
class FenceSeen:
    """A higher fencing number was told of."""

    fence: int


@dataclass(frozen=True, slots=True)
class StaleFence:
    """The endpoint refused an order: it has seen a higher number."""

    fence: int


@dataclass(frozen=True, slots=True)
class Unsure:
    """An order was sent and not answered, so that it may be obeyed late."""


@dataclass(frozen=True, slots=True)
class Elapsed:
    """Time passed."""


OwnershipEvent = (
    Named
    | Unnamed
    | Offered
    | PeerTold
    | ReportSeen
    | FenceSeen
    | StaleFence
    | Unsure
    | Elapsed
)


# Effects.


@dataclass(frozen=True, slots=True)
class AskPeers:
    """Ask these instances what runs on the endpoint."""

    peers: frozenset[str]


@dataclass(frozen=True, slots=True)
class Gained:
    """Give orders from now on, with this fencing number."""

    fence: int


@dataclass(frozen=True, slots=True)
class Lost:
    """Give no more orders; what is queued goes back to its entries."""


@dataclass(frozen=True, slots=True)
class Offer:
    """Hand over to the next owner."""

    successor: str
    fence: int


OwnershipEffect = AskPeers | Gained | Lost | Offer


@dataclass(slots=True)
class Ownership:
    """The state of one endpoint's ownership at this instance.

    ``now`` is monotonic and in seconds, ``wall_ms`` the wall clock.

    >>> ownership = Ownership("i1")
    >>> ownership.handle(Named(frozenset(), fenced=True), 10.0, 0)
    []
    >>> ownership.state.value
    'acquiring'
    >>> (gained,) = ownership.handle(ReportSeen(fence=5, asked=10.1), 10.2, 0)
    >>> gained.fence > 5, ownership.may_order(10.3), ownership.may_evict(10.3)
    (True, True, False)
    >>> ownership.may_order(20.0)
    False
    """

    instance_id: str
    state: OwnState = OwnState.ABSENT
    fence: int = 0
    highest: int = 0
    _counter: int = 0
    _fenced: bool = False
    _began: float = 0.0
    _renewed: float = 0.0
    _not_before: float = 0.0
    _lease_until: float = 0.0
    _evict_after: float = 0.0
    _offered_until: float = -1.0
    _reported: bool = False
    _silent_peers: set[str] = field(default_factory=set)

    def may_order(self, now: float) -> bool:
        """Tell whether an order may be given at this very moment.

        Guards against a process that was paused and wakes up late: it still
        believes that it owns the endpoint, while another has taken over. Its
        monotonic clock went on, so that the lease is seen to have passed.
        """
        return self.state is OwnState.OWNED and now - self._renewed <= OWNER_LEASE_S

    def may_evict(self, now: float) -> bool:
        """Tell whether all that the earlier owner started must be known."""
        return self.may_order(now) and now >= self._evict_after

    def handle(
        self, event: OwnershipEvent, now: float, wall_ms: int
    ) -> list[OwnershipEffect]:
        """Take one event in and return what is to be done."""
        effects = self._check_lease(now)
        match event:
            case Named():
                effects += self._name(event, now)
            case Unnamed(successor):
                effects += self._unname(successor, now)
            case Offered(fence):
                self._take_offer(fence, now)
            case PeerTold(instance, fence):
                self._silent_peers.discard(instance)
                self._note(fence)
            case ReportSeen(fence, asked):
                self._note(fence)
                self._reported |= asked >= self._began
            case FenceSeen(fence):
                self._note(fence)
            case StaleFence(fence):
                effects += self._start_over(fence, now)
            case Unsure():
                self._renumber(wall_ms)
            case Elapsed():
                pass
        return effects + self._gain(now, wall_ms)

    def _note(self, fence: int) -> None:
        self.highest = max(self.highest, fence)

    def _check_lease(self, now: float) -> list[OwnershipEffect]:
        if self.state is OwnState.ABSENT or now - self._renewed <= OWNER_LEASE_S:
            return []
        was_owned = self.state is OwnState.OWNED
        self.state = OwnState.ABSENT
        return [Lost()] if was_owned else []

    def _name(self, event: Named, now: float) -> list[OwnershipEffect]:
        self._renewed = now
        self._fenced = event.fenced
        if self.state is not OwnState.ABSENT:
            self._silent_peers &= event.peers
            return []
        return self._acquire(event.peers, now)

    def _acquire(self, peers: Collection[str], now: float) -> list[OwnershipEffect]:
        self.state = OwnState.ACQUIRING
        self._began = now
        self._reported = False
        self._silent_peers = set(peers)
        # An owner that handed over gives no more orders and has told what
        # still runs. After any other, which may have been paused and wake up,
        # the new owner must assume that an order was given up to the end of
        # the old lease, or until the endpoint saw a higher number, and that
        # the report shows it late. Until the old lease has ended it hands
        # nothing over either: the old owner could evict what serves it.
        offered = now <= self._offered_until
        lease_s = 0.0 if offered or self._fenced else OWNER_LEASE_S
        self._lease_until = now + lease_s
        self._evict_after = now if offered else now + lease_s + REPORT_LAG_S
        self._offered_until = -1.0
        return [AskPeers(frozenset(peers))] if peers else []

    def _take_offer(self, fence: int, now: float) -> None:
        self._note(fence)
        if self.state is OwnState.ABSENT:
            self._offered_until = now + OFFER_KEPT_S
            return
        self._lease_until = min(self._lease_until, now)
        self._evict_after = min(self._evict_after, now)

    def _unname(self, successor: str | None, now: float) -> list[OwnershipEffect]:
        if self.state is OwnState.ABSENT:
            return []
        settled = self.may_evict(now)
        was_owned = self.state is OwnState.OWNED
        self.state = OwnState.ABSENT
        effects: list[OwnershipEffect] = [Lost()] if was_owned else []
        # An owner that is not sure itself of what runs must not vouch for it.
        if settled and successor is not None:
            effects.append(Offer(successor, self.fence))
        return effects

    def _start_over(self, fence: int, now: float) -> list[OwnershipEffect]:
        """Give up after a refusal, as another instance has taken over.

        If the view goes on naming this instance, it tries again with a higher
        number, but not at once: two owners that both believe their views
        would otherwise shut each other out at every order.
        """
        self._note(fence)
        if self.state is not OwnState.OWNED or fence <= self.fence:
            return []
        self.state = OwnState.ABSENT
        self._not_before = now + OWNER_LEASE_S
        return [Lost()]

    def _gain(self, now: float, wall_ms: int) -> list[OwnershipEffect]:
        if self.state is not OwnState.ACQUIRING or not self._reported:
            return []
        if self._silent_peers and now - self._began < PEERS_PATIENCE_S:
            return []
        if now < max(self._not_before, self._lease_until):
            return []
        self._renumber(wall_ms)
        self.state = OwnState.OWNED
        return [Gained(self.fence)]

    def _renumber(self, wall_ms: int) -> None:
        # Also guards against one's own eviction that is stuck on a silent
        # connection: once a later order has raised the endpoint's number, the
        # stuck one is refused when it arrives at last.
        self._counter += 1
        self.fence = make_fence(wall_ms, self._counter, self.instance_id, self.highest)
        self._note(self.fence)
