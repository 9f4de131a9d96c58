"""Decide which ask for a load turn is granted next; pure.

The leader is chosen by rendezvous hashing, without consensus. Two leaders at a
time only share the weight store's bandwidth, and without any the owners load
without turns. No safety condition depends on it.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from fescuekeel.components.turns.const import (
    AGED_AFTER_LOADS,
    AGED_EVERY,
    ASK_HOLD_S,
    GRANT_TIMEOUT_LOADS,
    INITIAL_LOAD_S,
    LEADER_KEY,
    LOAD_TIME_WEIGHT,
)
from fescuekeel.messages import (
    AdapterRef,
    InstanceState,
    Member,
    PeerMessage,
    TurnAnswer,
    TurnAsk,
    TurnDone,
)
from fescuekeel.util import rendezvous

__all__ = ["TurnKey", "TurnReply", "TurnTable", "choose_leader"]


@dataclass(frozen=True, slots=True, order=True)
class TurnKey:
    """Identify a load: one adapter at one endpoint."""

    endpoint: str
    adapter: AdapterRef


@dataclass(frozen=True, slots=True)
class TurnReply:
    """Effect: answer an open ask."""

    request: PeerMessage
    answer: TurnAnswer


@dataclass(slots=True)
class PendingAsk:
    """An ask not yet granted.

    ``since`` is when the load was first asked for, and ``held_since`` when
    the ask was last repeated or deferred.
    """

    request: PeerMessage
    value: float
    since: float
    held_since: float


@dataclass(frozen=True, slots=True)
class CurrentGrant:
    """The turn that is granted and not yet returned."""

    key: TurnKey
    granted_at: float


def choose_leader(
    members_by_id: Mapping[str, Member], unresponsive: Collection[str] = ()
) -> str | None:
    """Return the leader: an alive and responsive member, or else any member.

    >>> choose_leader({"i1": Member("i1", "", "dc1", 1)})
    'i1'
    >>> choose_leader({})
    """
    alive = [
        id
        for id, member in members_by_id.items()
        if member.state is InstanceState.ALIVE and id not in unresponsive
    ]
    return rendezvous.choose(LEADER_KEY, alive or members_by_id)


@dataclass(slots=True)
class TurnTable:
    """Grant one turn at a time, to the ask of the highest value.

    ``load_s`` is the moving average of the load time in seconds, and
    ``timeouts`` the number of grants that expired without being returned.
    """

    load_s: float = INITIAL_LOAD_S
    timeouts: int = 0
    _pending_by_key: dict[TurnKey, PendingAsk] = field(default_factory=dict)
    _grant: CurrentGrant | None = None
    _grant_count: int = 0

    @property
    def pending_count(self) -> int:
        """Return the number of waiting asks."""
        return len(self._pending_by_key)

    @property
    def granted_key(self) -> TurnKey | None:
        """Return the load that has the turn, if any."""
        return self._grant.key if self._grant is not None else None

    def ask(self, request: PeerMessage, now: float) -> list[TurnReply]:
        """Handle an ask; one with number zero only changes the value."""
        body = request.body
        assert isinstance(body, TurnAsk)
        key = TurnKey(body.endpoint, body.adapter)
        pending = self._pending_by_key.get(key)
        if request.number == 0:
            if pending is not None:
                pending.value = body.value
            return []
        replies = []
        if pending is not None and pending.request.number:
            replies.append(self._defer(pending.request))
        since = pending.since if pending is not None else now
        self._pending_by_key[key] = PendingAsk(request, body.value, since, now)
        return replies + self._advance(now)

    def done(self, body: TurnDone, now: float) -> list[TurnReply]:
        """Handle a returned turn or a withdrawn ask."""
        key = TurnKey(body.endpoint, body.adapter)
        replies = []
        pending = self._pending_by_key.pop(key, None)
        if pending is not None and pending.request.number:
            # Without an answer the client would treat this leader as down.
            replies.append(self._defer(pending.request))
        if self.granted_key == key:
            self._grant = None
            if body.took_ms > 0:
                self.load_s += LOAD_TIME_WEIGHT * (body.took_ms / 1000 - self.load_s)
        return replies + self._advance(now)

    def tick(self, now: float) -> list[TurnReply]:
        """Expire the grant, grant the next turn, and defer asks held long."""
        replies = self._advance(now)
        for key, pending in list(self._pending_by_key.items()):
            if now - pending.held_since < ASK_HOLD_S:
                continue
            if pending.request.number:
                replies.append(self._defer(pending.request))
                # Kept for ASK_HOLD_S more, so a repeated ask keeps its age.
                pending.request = PeerMessage("", 0, pending.request.body)
                pending.held_since = now
                continue
            del self._pending_by_key[key]
        return replies

    def _advance(self, now: float) -> list[TurnReply]:
        """Expire the grant and grant the next turn.

        Runs for each ask, so it must not iterate over all pending ones unless
        a turn is free.
        """
        self._expire_grant(now)
        return self._grant_next(now)

    def _expire_grant(self, now: float) -> None:
        # Guards against an owner that fails while it holds the turn, which
        # would stop all loads. Its load may still run, sharing the bandwidth.
        if self._grant is None:
            return
        if now - self._grant.granted_at < GRANT_TIMEOUT_LOADS * self.load_s:
            return
        self._grant = None
        self.timeouts += 1

    def _grant_next(self, now: float) -> list[TurnReply]:
        # An ask for the load that has the turn is granted again, as the first
        # answer may have been lost.
        if self.granted_key is not None:
            pending = self._pending_by_key.get(self.granted_key)
            if pending is None or not pending.request.number:
                return []
            return [self._grant_turn(self.granted_key, now)]
        asks = {
            key: pending
            for key, pending in self._pending_by_key.items()
            if pending.request.number
        }
        if not asks:
            return []
        return [self._grant_turn(self._choose(asks, now), now)]

    def _choose(self, asks: dict[TurnKey, PendingAsk], now: float) -> TurnKey:
        oldest = min(asks, key=lambda key: (asks[key].since, key))
        is_aged = now - asks[oldest].since > AGED_AFTER_LOADS * self.load_s
        if is_aged and self._grant_count % AGED_EVERY == AGED_EVERY - 1:
            return oldest
        return min(asks, key=lambda key: (-asks[key].value, asks[key].since, key))

    def _grant_turn(self, key: TurnKey, now: float) -> TurnReply:
        pending = self._pending_by_key.pop(key)
        if self.granted_key != key:
            self._grant_count += 1
        self._grant = CurrentGrant(key, now)
        answer = TurnAnswer(key.endpoint, key.adapter, granted=True)
        return TurnReply(pending.request, answer)

    def _defer(self, request: PeerMessage) -> TurnReply:
        body = request.body
        assert isinstance(body, TurnAsk)
        answer = TurnAnswer(body.endpoint, body.adapter, granted=False)
        return TurnReply(request, answer)
