"""The actor that probes peers, gossips and publishes the member view."""

from dataclasses import replace
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
    Effect,
    IndirectProbe,
    IndirectProbeDone,
    Leave,
    PingReceived,
    Probe,
    ProbeAnswered,
    ProbeFailed,
    PublishTree,
    PublishView,
    SendNews,
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
    PeerAuthenticated,
    PeerConnectionLost,
    PeerMessage,
    Ping,
    PingAnswer,
    ProbeAnswer,
    ProbeAsk,
    TreeStored,
    UnreachableChanged,
)

__all__ = ["MembershipActor"]


class MembershipActor(Actor):
    """Feed events to the membership decision and run its effects."""

    def __init__(self, instance: Instance, random: Random | None = None) -> None:
        super().__init__(instance, DOMAIN)
        self._random = random or Random(instance.id)
        self._decision: Membership
        self._view = MemberView()
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
        for kind in (
            LiveList,
            PeerAuthenticated,
            PeerConnectionLost,
            EndpointLeaving,
            TreeStored,
        ):
            bus.subscribe(kind, self.post)
        bus.subscribe(UnreachableChanged, self._handle_unreachable)
        bus.subscribe_peer(Ping, self.post)
        bus.subscribe_peer(ProbeAsk, self.post)
        self._decide(bus.latest(LiveList) or LiveList())
        held = bus.latest(TreeStored)
        if held is not None:
            self._decide(held)
        await super().start()
        self.instance.keep_running(self._tick_forever, f"{DOMAIN}.tick")

    async def stop(self) -> None:
        """Announce that this instance leaves, then stop."""
        self._decide(Leave())
        await super().stop()

    async def _tick_forever(self) -> None:
        while True:
            # Announced when the drain begins, not when it ends, so that peers
            # choose other owners at once.
            if self.instance.draining:
                self.post(Leave())
            self.post(Tick())
            await sleep_to_tick(TICK_S)

    async def handle(self, message: Any) -> None:
        """Handle one message."""
        if not isinstance(message, PeerMessage):
            self._decide(message)
        elif isinstance(message.body, Ping):
            self._decide(PingReceived(message, message.body.news))
        else:
            self.instance.spawn(self._probe_for_peer(message), f"{DOMAIN}.help")

    def _decide(self, event: Any) -> None:
        for effect in self._decision.handle(event, self.instance.now()):
            self._run_effect(effect)

    def _run_effect(self, effect: Effect) -> None:
        match effect:
            case Probe():
                self.instance.spawn(self._probe(effect), f"{DOMAIN}.probe")
            case SendNews(target, news):
                self._link.send(target, Ping(news))
            case AnswerPing(request, news):
                self._link.answer(request, PingAnswer(news))
            case IndirectProbe():
                self.instance.spawn(self._probe_indirectly(effect), f"{DOMAIN}.ask")
            case PublishView(view):
                self._log_changes(view)
                self._view = view
                self._publish_view()
            case PublishTree(tree):
                self.instance.bus.publish(tree)

    def _handle_unreachable(self, changed: UnreachableChanged) -> None:
        """Publish the view again, with what instances cannot reach."""
        self._publish_view()

    def _publish_view(self) -> None:
        changed = self.instance.bus.latest(UnreachableChanged)
        names = changed.names_by_instance if changed else {}
        view = self._view
        if names:
            members = {
                id: replace(member, unreachable=names.get(id, frozenset()))
                for id, member in view.members_by_id.items()
            }
            view = replace(view, members_by_id=members)
        self.instance.bus.publish_state(view)

    async def _probe(self, probe: Probe) -> None:
        self.instance.metrics.count("membership.probes")
        answer = await self._link.ask(probe.target, Ping(probe.news), PROBE_TIMEOUT_S)
        body = answer.value_or(None)
        if isinstance(body, PingAnswer):
            self.post(ProbeAnswered(probe.target, body.news))
            return
        self.instance.metrics.count("membership.probe_failed")
        self.post(ProbeFailed(probe.target, probe.number))

    async def _probe_indirectly(self, probe: IndirectProbe) -> None:
        request = ProbeAsk(probe.target, probe.address)
        answer = await self._link.ask(probe.helper, request, INDIRECT_TIMEOUT_S)
        body = answer.value_or(None)
        alive = isinstance(body, ProbeAnswer) and body.alive
        self.post(IndirectProbeDone(probe.helper, probe.target, alive))

    async def _probe_for_peer(self, request: PeerMessage) -> None:
        assert isinstance(request.body, ProbeAsk)
        target = request.body.target
        answer = await self._link.ask(target, Ping(), PROBE_TIMEOUT_S)
        self._link.answer(request, ProbeAnswer(target, is_successful(answer)))

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
