"""Which ask for a load turn is granted next; pure decisions.

The leader is soft: it is chosen by hashing and agreed with nobody. Two of
them at once only share the weight store's speed, and while there is none the
owners load without turns. No promise rests on it.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from fescuekeel.components.turns.const import (
    FAIR_EVERY,
    FIRST_LOAD_S,
    GRANT_LOADS,
    HOLD_S,
    LEADER_KEY,
    OLD_LOADS,
    SMOOTHING,
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
    """Name a load: one adapter at one endpoint."""

    endpoint: str
    adapter: AdapterRef


@dataclass(frozen=True, slots=True)
class TurnReply:
    """Effect: answer a held question."""

    question: PeerMessage
    answer: TurnAnswer


@dataclass(slots=True)
class Pending:
    """An ask not yet granted; ``held_since`` is that of its last question."""

    question: PeerMessage
    value: float
    since: float
    held_since: float


@dataclass(frozen=True, slots=True)
class Grant:
    """The turn that is out."""

    key: TurnKey
    at: float


def choose_leader(
    members_by_id: Mapping[str, Member], silent: Collection[str] = ()
) -> str | None:
    """Return who hands out the turns on the reachable side of the fleet.

    >>> choose_leader({"i1": Member("i1", "", "dc1", 1)})
    'i1'
    >>> choose_leader({})
    """
    alive = [
        id
        for id, member in members_by_id.items()
        if member.state is InstanceState.ALIVE and id not in silent
    ]
    return rendezvous.choose(LEADER_KEY, alive or members_by_id)


@dataclass(slots=True)
class TurnTable:
    """Hand out one turn at a time, the most valuable ask first.

    ``load_s`` is the time of a load in seconds, as measured. ``timeouts``
    counts the grants that nobody gave back.
    """

    load_s: float = FIRST_LOAD_S
    timeouts: int = 0
    _pending_by_key: dict[TurnKey, Pending] = field(default_factory=dict)
    _grant: Grant | None = None
    _granted: int = 0

    @property
    def pending_count(self) -> int:
        """Return how many asks wait."""
        return len(self._pending_by_key)

    @property
    def granted(self) -> TurnKey | None:
        """Return the load that has the turn."""
        return self._grant.key if self._grant is not None else None

    def ask(self, question: PeerMessage, now: float) -> list[TurnReply]:
        """Take an ask; one with number zero only changes the value."""
        body = question.body
        assert isinstance(body, TurnAsk)
        key = TurnKey(body.endpoint, body.adapter)
        pending = self._pending_by_key.get(key)
        if question.number == 0:
            if pending is not None:
                pending.value = body.value
            return []
        replies = []
        if pending is not None and pending.question.number:
            replies.append(self._put_off(pending.question))
        since = pending.since if pending is not None else now
        self._pending_by_key[key] = Pending(question, body.value, since, now)
        return replies + self._move(now)

    def done(self, body: TurnDone, now: float) -> list[TurnReply]:
        """Take a turn back, or an ask that is withdrawn."""
        key = TurnKey(body.endpoint, body.adapter)
        replies = []
        pending = self._pending_by_key.pop(key, None)
        if pending is not None and pending.question.number:
            # Unanswered, the asker would take this leader for silent.
            replies.append(self._put_off(pending.question))
        if self.granted == key:
            self._grant = None
            if body.took_ms > 0:
                self.load_s += SMOOTHING * (body.took_ms / 1000 - self.load_s)
        return replies + self._move(now)

    def tick(self, now: float) -> list[TurnReply]:
        """Void an old grant, grant what can be, put off what is held long."""
        replies = self._move(now)
        for key, pending in list(self._pending_by_key.items()):
            if now - pending.held_since < HOLD_S:
                continue
            if pending.question.number:
                replies.append(self._put_off(pending.question))
                # Kept for a while so that the next question keeps its age.
                pending.question = PeerMessage("", 0, pending.question.body)
                pending.held_since = now
                continue
            del self._pending_by_key[key]
        return replies

    def _move(self, now: float) -> list[TurnReply]:
        """Void an old grant and grant what can be.

        Asks come more often than ticks, and each must not look at all others.
        """
        self._void_grant(now)
        return self._grant_next(now)

    def _void_grant(self, now: float) -> None:
        # Guards against an owner that dies or is cut off with the turn: all
        # loads would stop. Its load may still go on and shares the speed.
        if self._grant is None:
            return
        if now - self._grant.at < GRANT_LOADS * self.load_s:
            return
        self._grant = None
        self.timeouts += 1

    def _grant_next(self, now: float) -> list[TurnReply]:
        # The answer to the one that has the turn may have been lost.
        if self.granted is not None:
            pending = self._pending_by_key.get(self.granted)
            if pending is None or not pending.question.number:
                return []
            return [self._give(self.granted, now)]
        held = {
            key: pending
            for key, pending in self._pending_by_key.items()
            if pending.question.number
        }
        if not held:
            return []
        return [self._give(self._choose(held, now), now)]

    def _choose(self, held: dict[TurnKey, Pending], now: float) -> TurnKey:
        oldest = min(held, key=lambda key: (held[key].since, key))
        is_old = now - held[oldest].since > OLD_LOADS * self.load_s
        if is_old and self._granted % FAIR_EVERY == FAIR_EVERY - 1:
            return oldest
        return min(held, key=lambda key: (-held[key].value, held[key].since, key))

    def _give(self, key: TurnKey, now: float) -> TurnReply:
        pending = self._pending_by_key.pop(key)
        if self.granted != key:
            self._granted += 1
        self._grant = Grant(key, now)
        answer = TurnAnswer(key.endpoint, key.adapter, granted=True)
        return TurnReply(pending.question, answer)

    def _put_off(self, question: PeerMessage) -> TurnReply:
        body = question.body
        assert isinstance(body, TurnAsk)
        answer = TurnAnswer(body.endpoint, body.adapter, granted=False)
        return TurnReply(question, answer)
