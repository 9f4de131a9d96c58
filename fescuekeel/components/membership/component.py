"""The task that probes, gossips and publishes the view."""

from random import Random
from typing import Any, cast

from returns.pipeline import is_successful

from fescuekeel.components.membership.const import (
    DOMAIN,
    INDIRECT_TIMEOUT_S,
    PROBE_TIMEOUT_S,
    TICK_S,
)
from fescuekeel.components.membership.decision import Membership
from fescuekeel.components.membership.events import (
    AnswerPing,
    AskIndirect,
    Effect,
    HelperAnswered,
    Leave,
    Pinged,
    Probe,
    ProbeAnswered,
    ProbeFailed,
    PublishTree,
    PublishView,
    Tell,
    Tick,
)
from fescuekeel.components.peers import Peers
from fescuekeel.core import Actor, Instance
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.peer_link import PEERS_DOMAIN
from fescuekeel.helpers.ticks import sleep_to_tick
from fescuekeel.messages import (
    EndpointLeaving,
    LiveList,
    Member,
    MemberView,
    PeerLost,
    PeerMessage,
    PeerMet,
    Ping,
    PingAnswer,
    ProbeAnswer,
    ProbeAsk,
    TreeHeld,
)

__all__ = ["MembershipActor"]


class MembershipActor(Actor):
    """Carry out what the decision says."""

    def __init__(self, instance: Instance, random: Random | None = None) -> None:
        super().__init__(instance, DOMAIN)
        self._random = random or Random(instance.id)
        self._decision: Membership
        self._link: Peers

    async def start(self) -> None:
        """Subscribe and publish the first view."""
        link = cast(Peers, self.instance.components_by_domain[PEERS_DOMAIN])
        self._link = link
        own = Member(
            self.instance.id,
            link.address,
            self.instance.settings.instance.data_centre,
            link.incarnation,
        )
        self._decision = Membership(own, self._random)
        bus = self.instance.bus
        for kind in (LiveList, PeerMet, PeerLost, EndpointLeaving, TreeHeld):
            bus.subscribe(kind, self.post)
        bus.subscribe_peer(Ping, self.post)
        bus.subscribe_peer(ProbeAsk, self.post)
        self._decide(bus.latest(LiveList) or LiveList())
        held = bus.latest(TreeHeld)
        if held is not None:
            self._decide(held)
        await super().start()
        self.instance.spawn(self._tick_forever(), f"{DOMAIN}.tick")

    async def stop(self) -> None:
        """Tell others that this instance leaves, then end."""
        self._decide(Leave())
        await super().stop()

    async def _tick_forever(self) -> None:
        while True:
            # Others must choose other owners from the beginning of a graceful
            # shutdown on, not from its end.
            if self.instance.draining:
                self.post(Leave())
            self.post(Tick())
            await sleep_to_tick(TICK_S)

    async def handle(self, message: Any) -> None:
        """Handle one message."""
        if not isinstance(message, PeerMessage):
            self._decide(message)
        elif isinstance(message.body, Ping):
            self._decide(Pinged(message, message.body.news))
        else:
            self.instance.spawn(self._help(message), f"{DOMAIN}.help")

    def _decide(self, event: Any) -> None:
        for effect in self._decision.handle(event, self.instance.now()):
            self._carry_out(effect)

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case Probe():
                self.instance.spawn(self._probe(effect), f"{DOMAIN}.probe")
            case Tell(target, news):
                self._link.send(target, Ping(news))
            case AnswerPing(question, news):
                self._link.answer(question, PingAnswer(news))
            case AskIndirect():
                self.instance.spawn(self._ask_indirect(effect), f"{DOMAIN}.ask")
            case PublishView(view):
                self._log_changes(view)
                self.instance.bus.publish_state(view)
            case PublishTree(heard):
                self.instance.bus.publish(heard)

    async def _probe(self, probe: Probe) -> None:
        self.instance.metrics.count("membership.probes")
        answer = await self._link.ask(probe.target, Ping(probe.news), PROBE_TIMEOUT_S)
        body = answer.value_or(None)
        if isinstance(body, PingAnswer):
            self.post(ProbeAnswered(probe.target, body.news))
            return
        self.instance.metrics.count("membership.probe_failed")
        self.post(ProbeFailed(probe.target, probe.number))

    async def _ask_indirect(self, ask: AskIndirect) -> None:
        question = ProbeAsk(ask.target, ask.address)
        answer = await self._link.ask(ask.helper, question, INDIRECT_TIMEOUT_S)
        body = answer.value_or(None)
        alive = isinstance(body, ProbeAnswer) and body.alive
        self.post(HelperAnswered(ask.helper, ask.target, alive))

    async def _help(self, question: PeerMessage) -> None:
        assert isinstance(question.body, ProbeAsk)
        target = question.body.target
        answer = await self._link.ask(target, Ping(), PROBE_TIMEOUT_S)
        self._link.answer(question, ProbeAnswer(target, is_successful(answer)))

    def _log_changes(self, view: MemberView) -> None:
        before = self.instance.bus.latest(MemberView) or MemberView()
        old = {id: member.state for id, member in before.members_by_id.items()}
        new = {id: member.state for id, member in view.members_by_id.items()}
        for id in old.keys() | new.keys():
            if old.get(id) != new.get(id):
                state = new[id].value if id in new else "gone"
                self.instance.metrics.count(f"membership.{state}")
                member = view.members_by_id.get(id) or before.members_by_id[id]
                log_event(
                    "member_changed",
                    member=id,
                    state=state,
                    incarnation=member.incarnation,
                )
