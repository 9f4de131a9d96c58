"""The leaders of load turns, one on each side of a cut."""

from collections.abc import Callable, Mapping
from functools import partial

from bench.policy.fakes import Clock
from bench.policy.world import LINK_S, Host
from fescuekeel.components.owner.scheduling import model
from fescuekeel.components.turns.decision import TurnReply, TurnTable
from fescuekeel.messages import AdapterRef, PeerMessage, TurnAsk, TurnDone

__all__ = ["Turns"]


class Turns:
    """Carry the owners' asks to the leader of their side and back."""

    def __init__(
        self,
        clock: Clock,
        hosts_by_id: Mapping[str, Host],
        tell: Callable[[Host, model.Event], None],
        get_side: Callable[[str], str],
    ) -> None:
        self._clock = clock
        self._hosts_by_id = hosts_by_id
        self._tell = tell
        self._get_side = get_side
        self._tables_by_side = {"": TurnTable(), "dc2": TurnTable()}

    def _get_table(self, host: Host) -> TurnTable:
        return self._tables_by_side[self._get_side(host.entry.data_centre)]

    def ask(self, host: Host, ask: TurnAsk, number: int) -> None:
        """Ask the leader for a turn; number zero only changes the value."""
        table = self._get_table(host)
        request = PeerMessage(host.entry.id, number, ask)
        self._answer(table.ask(request, self._clock.now))

    def tick(self) -> None:
        """Let time pass at the leaders."""
        for table in self._tables_by_side.values():
            self._answer(table.tick(self._clock.now))

    def give_back(self, host: Host, adapter: AdapterRef, took_ms: int) -> None:
        """Give a turn back to the leader."""
        done = TurnDone(host.entry.id, adapter, took_ms)
        table = self._get_table(host)

        def end() -> None:
            self._answer(table.done(done, self._clock.now))

        self._clock.call_later(LINK_S, end)

    def _answer(self, replies: list[TurnReply]) -> None:
        for reply in replies:
            host = self._hosts_by_id[reply.request.sender]
            if reply.answer.granted:
                host.ask = None
                event = model.TurnGranted(reply.answer.adapter)
                self._clock.call_later(LINK_S, partial(self._tell, host, event))
                continue
            if host.ask is not None and host.ask.adapter == reply.answer.adapter:
                again = partial(self.ask, host, host.ask, 1)
                self._clock.call_later(2 * LINK_S, again)
