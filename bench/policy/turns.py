"""Leaders of load turns, one on each side of a partition."""

from collections.abc import Callable, Mapping
from functools import partial

from bench.policy.fakes import FakeClock
from bench.policy.world import LINK_DELAY_S, Host
from fescuekeel.components.owner.scheduling import model
from fescuekeel.components.turns.decision import TurnReply, TurnTable
from fescuekeel.messages import AdapterRef, PeerMessage, TurnAsk, TurnDone

__all__ = ["TurnLeaders"]


class TurnLeaders:
    """Forward turn requests to the leader of a side, and its replies back."""

    def __init__(
        self,
        clock: FakeClock,
        hosts_by_id: Mapping[str, Host],
        send_event: Callable[[Host, model.Event], None],
        get_partition_side: Callable[[str], str],
    ) -> None:
        self._clock = clock
        self._hosts_by_id = hosts_by_id
        self._send_event = send_event
        self._get_partition_side = get_partition_side
        self._tables_by_side = {"": TurnTable(), "dc2": TurnTable()}

    def _get_table(self, host: Host) -> TurnTable:
        return self._tables_by_side[self._get_partition_side(host.entry.data_centre)]

    def ask(self, host: Host, ask: TurnAsk, number: int) -> None:
        """Request a turn from the leader; number 0 only updates the value."""
        table = self._get_table(host)
        request = PeerMessage(host.entry.id, number, ask)
        self._deliver_replies(table.ask(request, self._clock.now))

    def tick(self) -> None:
        """Process timeouts at the leaders."""
        for table in self._tables_by_side.values():
            self._deliver_replies(table.tick(self._clock.now))

    def return_turn(self, host: Host, adapter: AdapterRef, took_ms: int) -> None:
        """Return a turn to the leader."""
        done = TurnDone(host.entry.id, adapter, took_ms)
        table = self._get_table(host)

        def end() -> None:
            self._deliver_replies(table.done(done, self._clock.now))

        self._clock.call_later(LINK_DELAY_S, end)

    def _deliver_replies(self, replies: list[TurnReply]) -> None:
        for reply in replies:
            host = self._hosts_by_id[reply.request.sender]
            if reply.answer.granted:
                host.turn_ask = None
                event = model.TurnGranted(reply.answer.adapter)
                self._clock.call_later(
                    LINK_DELAY_S, partial(self._send_event, host, event)
                )
                continue
            if (
                host.turn_ask is not None
                and host.turn_ask.adapter == reply.answer.adapter
            ):
                retry = partial(self.ask, host, host.turn_ask, 1)
                self._clock.call_later(2 * LINK_DELAY_S, retry)
