"""The owners' side: ask the leader for load turns."""

from dataclasses import dataclass

from returns.pipeline import is_successful

from fescuekeel.components.turns.const import ANSWER_TIMEOUT_S, SILENT_S
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
class Wanted:
    """A turn that an owner here wants or has."""

    ask: TurnAsk
    leader: str = ""


class Turns:
    """Ask for turns, and answer the asks of others.

    An owner calls ``request`` again when the value changes, ``done`` when
    its load has ended, and ``withdraw`` when it needs the turn no more.
    """

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self.leader = TurnLeader(instance)
        self._wanted_by_key: dict[TurnKey, Wanted] = {}
        self._silent_until_by_id: dict[str, float] = {}

    async def start(self) -> None:
        """Start to answer."""
        await self.leader.start()

    async def stop(self) -> None:
        """Stop answering."""
        await self.leader.stop()

    async def request(
        self, endpoint: str, adapter: AdapterRef, value: float, waiting: int
    ) -> bool:
        """Wait for the turn; return false when it was withdrawn meanwhile.

        A second call for the same load only passes on the new value and
        returns false at once: the first one brings the turn.
        """
        key = TurnKey(endpoint, adapter)
        ask = TurnAsk(endpoint, adapter, value, waiting)
        known = self._wanted_by_key.get(key)
        if known is not None:
            known.ask = ask
            get_peer_link(self._instance).send(known.leader, ask)
            return False
        wanted = Wanted(ask)
        self._wanted_by_key[key] = wanted
        while self._wanted_by_key.get(key) is wanted:
            if await self._ask_leader(wanted):
                return self._take(key, wanted)
        return False

    def withdraw(self, endpoint: str, adapter: AdapterRef) -> None:
        """Give up an ask, or a turn that was not used."""
        self._give_back(endpoint, adapter, 0)

    def done(self, endpoint: str, adapter: AdapterRef, took_s: float) -> None:
        """Give back a turn after a load that took so many seconds."""
        self._give_back(endpoint, adapter, int(took_s * 1000))

    def _give_back(self, endpoint: str, adapter: AdapterRef, took_ms: int) -> None:
        wanted = self._wanted_by_key.pop(TurnKey(endpoint, adapter), None)
        if wanted is None or not wanted.leader:
            return
        body = TurnDone(endpoint, adapter, took_ms)
        get_peer_link(self._instance).send(wanted.leader, body)

    def _take(self, key: TurnKey, wanted: Wanted) -> bool:
        if self._wanted_by_key.get(key) is wanted:
            return True
        # Withdrawn while the grant was on its way: the leader may have had
        # the withdrawal before it granted, so that it is told again.
        body = TurnDone(key.endpoint, key.adapter, 0)
        get_peer_link(self._instance).send(wanted.leader, body)
        return False

    async def _ask_leader(self, wanted: Wanted) -> bool:
        """Ask once; a leader that does not answer counts as a grant.

        Guards against a dead or silent leader, which would show as loads
        that never start. Loading without a turn costs only speed.
        """
        leader = self._choose_leader()
        wanted.leader = leader
        link = get_peer_link(self._instance)
        result = await link.ask(leader, wanted.ask, ANSWER_TIMEOUT_S)
        if is_successful(result):
            answer = result.unwrap()
            return isinstance(answer, TurnAnswer) and answer.granted
        until = self._instance.now() + SILENT_S
        self._silent_until_by_id[leader] = until
        self._instance.metrics.count("turns.leader_silent")
        log_event("turn_leader_silent", leader=leader)
        return True

    def _choose_leader(self) -> str:
        now = self._instance.now()
        self._silent_until_by_id = {
            id: until for id, until in self._silent_until_by_id.items() if until > now
        }
        view = self._instance.bus.latest(MemberView) or MemberView()
        leader = choose_leader(view.members_by_id, self._silent_until_by_id)
        return leader or self._instance.id
