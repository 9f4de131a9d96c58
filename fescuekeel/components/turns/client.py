"""The client side: owners ask the leader for load turns."""

from dataclasses import dataclass

from returns.pipeline import is_successful

from fescuekeel.components.turns.const import ANSWER_TIMEOUT_S, LEADER_BACKOFF_S
from fescuekeel.components.turns.decision import TurnKey, choose_leader
from fescuekeel.components.turns.leader import TurnLeader
from fescuekeel.core import Instance
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.peer_link import get_peer_link
from fescuekeel.messages import (
    AdapterRef,
    MemberView,
    TurnAnswer,
    TurnAsk,
    TurnDone,
)

__all__ = ["Turns"]


@dataclass(slots=True)
class TurnRequest:
    """A turn that an owner on this instance waits for or holds."""

    ask: TurnAsk
    leader: str = ""


class Turns:
    """Ask for load turns, and answer other instances' asks as the leader.

    An owner calls ``request`` again when the value changes, ``done`` when
    its load has ended, and ``withdraw`` when it no longer needs the turn.
    """

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self.leader = TurnLeader(instance)
        self._requests_by_key: dict[TurnKey, TurnRequest] = {}
        self._backoff_until_by_id: dict[str, float] = {}

    async def start(self) -> None:
        """Start answering asks."""
        await self.leader.start()

    async def stop(self) -> None:
        """Stop answering asks."""
        await self.leader.stop()

    async def request(
        self, endpoint: str, adapter: AdapterRef, value: float, waiting: int
    ) -> bool:
        """Wait for the turn; return false if it was withdrawn meanwhile.

        A second call for the same load only sends the new value and returns
        false immediately; the first call gets the turn.
        """
        key = TurnKey(endpoint, adapter)
        ask = TurnAsk(endpoint, adapter, value, waiting)
        existing = self._requests_by_key.get(key)
        if existing is not None:
            existing.ask = ask
            get_peer_link(self._instance).send(existing.leader, ask)
            return False
        request = TurnRequest(ask)
        self._requests_by_key[key] = request
        while self._requests_by_key.get(key) is request:
            if await self._ask_leader(request):
                return self._accept(key, request)
        return False

    def withdraw(self, endpoint: str, adapter: AdapterRef) -> None:
        """Withdraw an ask, or return an unused turn."""
        self._return_turn(endpoint, adapter, 0)

    def done(self, endpoint: str, adapter: AdapterRef, took_s: float) -> None:
        """Return the turn after a load, with the seconds that it took."""
        self._return_turn(endpoint, adapter, int(took_s * 1000))

    def _return_turn(self, endpoint: str, adapter: AdapterRef, took_ms: int) -> None:
        request = self._requests_by_key.pop(TurnKey(endpoint, adapter), None)
        if request is None or not request.leader:
            return
        body = TurnDone(endpoint, adapter, took_ms)
        get_peer_link(self._instance).send(request.leader, body)

    def _accept(self, key: TurnKey, request: TurnRequest) -> bool:
        if self._requests_by_key.get(key) is request:
            return True
        # Withdrawn while the grant was in flight. The leader may have got the
        # withdrawal before it granted, so the turn is returned again.
        body = TurnDone(key.endpoint, key.adapter, 0)
        get_peer_link(self._instance).send(request.leader, body)
        return False

    async def _ask_leader(self, request: TurnRequest) -> bool:
        """Ask once; a timeout counts as a grant.

        Guards against loads that never start because the leader is down.
        Loading without a turn only costs speed.
        """
        leader = self._choose_leader()
        request.leader = leader
        link = get_peer_link(self._instance)
        result = await link.ask(leader, request.ask, ANSWER_TIMEOUT_S)
        if is_successful(result):
            answer = result.unwrap()
            return isinstance(answer, TurnAnswer) and answer.granted
        until = self._instance.now() + LEADER_BACKOFF_S
        self._backoff_until_by_id[leader] = until
        self._instance.metrics.count("turns.leader_silent")
        log_event("turn_leader_silent", leader=leader)
        return True

    def _choose_leader(self) -> str:
        now = self._instance.now()
        self._backoff_until_by_id = {
            id: until for id, until in self._backoff_until_by_id.items() if until > now
        }
        view = self._instance.bus.latest(MemberView) or MemberView()
        leader = choose_leader(view.members_by_id, self._backoff_until_by_id)
        return leader or self._instance.id
