"""The leader's actor, which answers asks for load turns."""

import asyncio
from dataclasses import dataclass

from fescuekeel.components.turns.const import DOMAIN, TICK_S
from fescuekeel.components.turns.decision import TurnReply, TurnTable
from fescuekeel.core import Actor, Instance
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.peer_link import get_peer_link
from fescuekeel.messages import PeerMessage, TurnAsk, TurnDone

__all__ = ["TurnLeader"]


@dataclass(frozen=True, slots=True)
class TickDue:
    """The tick timer has fired."""


class TurnLeader(Actor):
    """Own the table of turns.

    An instance answers even if it does not see itself as the leader: members
    may choose different leaders for a while, whose loads then share the weight
    store's bandwidth.
    """

    def __init__(self, instance: Instance) -> None:
        super().__init__(instance, f"{DOMAIN}.leader")
        self.table = TurnTable()
        self._tick_handle: asyncio.TimerHandle | None = None
        instance.bus.subscribe_peer(TurnAsk, self.post)
        instance.bus.subscribe_peer(TurnDone, self.post)

    async def stop(self) -> None:
        """Stop the timer and the actor."""
        if self._tick_handle is not None:
            self._tick_handle.cancel()
        await super().stop()

    async def handle(self, message: PeerMessage | TickDue) -> None:
        """Handle an ask, a returned turn, or a tick."""
        now = self.instance.now()
        timeouts = self.table.timeouts
        for reply in self._decide(message, now):
            self._send(reply)
        if self.table.timeouts > timeouts:
            self.instance.metrics.count("turns.grant_timeout")
            log_event("turn_grant_timeout")
        self._schedule_tick()

    def _decide(self, message: PeerMessage | TickDue, now: float) -> list[TurnReply]:
        if isinstance(message, TickDue):
            self._tick_handle = None
            return self.table.tick(now)
        if isinstance(message.body, TurnDone):
            return self.table.done(message.body, now)
        return self.table.ask(message, now)

    def _send(self, reply: TurnReply) -> None:
        if reply.answer.granted:
            self.instance.metrics.count("turns.granted")
        get_peer_link(self.instance).answer(reply.request, reply.answer)

    def _schedule_tick(self) -> None:
        """Start the timer, if any ask waits or a turn is granted."""
        if self._tick_handle is not None:
            return
        if self.table.pending_count == 0 and self.table.granted_key is None:
            return
        loop = asyncio.get_running_loop()
        self._tick_handle = loop.call_later(TICK_S, self.post, TickDue())
