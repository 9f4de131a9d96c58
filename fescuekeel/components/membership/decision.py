"""Decide who is alive and who is told what; a pure decision.

This is an efficiency decision: a wrong view costs time. No promise rests on
two instances having the same view.
"""

from collections.abc import Callable, Iterable
from random import Random
from typing import Any

from fescuekeel.components.membership.beliefs import Beliefs
from fescuekeel.components.membership.const import (
    DEAD_PROBE_EVERY,
    HELPERS,
    PAUSE_S,
    PROBE_PERIOD_S,
    PRUNE_PERIOD_S,
    PUSH_FANOUT,
    PUSH_PERIOD_S,
    SUSPECT_S,
    SYNC_PERIOD_S,
    TREE_HEARD_PERIOD_S,
)
from fescuekeel.components.membership.events import (
    AnswerPing,
    AskIndirect,
    Effect,
    Event,
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
from fescuekeel.components.membership.probes import ProbeOrder, Probes
from fescuekeel.components.membership.records import Record
from fescuekeel.messages import (
    EndpointLeaving,
    InstanceState,
    LiveList,
    Member,
    MemberView,
    News,
    NewsKind,
    PeerLost,
    PeerMet,
    TreeHeard,
    TreeHeld,
)
from fescuekeel.util.ring import list_contacts

__all__ = ["Membership"]


class Membership:
    """Believe, doubt and tell.

    ``handle`` takes an event at a time in monotonic seconds and returns the
    effects.

    >>> me = Member("i1", "127.0.0.1:1", "dc1", 1)
    >>> membership = Membership(me, Random(0))
    >>> from fescuekeel.messages import LiveEntry, LiveRole
    >>> entry = LiveEntry("i2", LiveRole.INSTANCE, "127.0.0.1:2", "dc1", 1)
    >>> effect, = membership.handle(LiveList({"i2": entry}), now=0.0)
    >>> sorted(effect.view.members_by_id)
    ['i1', 'i2']
    """

    def __init__(self, own: Member, random: Random) -> None:
        self._beliefs = Beliefs(own)
        self._order = ProbeOrder(random)
        self._dead_order = ProbeOrder(random)
        self._probes = Probes()
        self._heard = (0, 0.0)
        self._view: MemberView | None = None
        self._last_tick: float | None = None
        self._next_probe = self._next_push = self._next_prune = 0.0
        self._next_sync = 0.0
        self._probe_count = 0
        self._others: set[str] = set()
        self._contacts: set[str] = set()
        self._effects: list[Effect] = []
        self._handlers_by_type: dict[type, Callable[[Any, float], None]] = {
            Tick: self._tick,
            Pinged: self._take_ping,
            ProbeAnswered: self._take_answer,
            ProbeFailed: self._fail_probe,
            HelperAnswered: self._take_helper,
            Leave: self._leave,
            LiveList: self._beliefs.merge_live,
            PeerMet: self._beliefs.meet,
            PeerLost: self._doubt_lost,
            EndpointLeaving: self._beliefs.note_leaving,
            TreeHeld: self._hold_tree,
        }

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Take one event and return its effects."""
        self._effects = []
        self._check_pause(now)
        self._handlers_by_type[type(event)](event, now)
        self._push(now)
        self._publish()
        return self._effects

    def _check_pause(self, now: float) -> None:
        """Start all timers anew after a pause.

        Guards against a process that was paused: at wake-up every probe looks
        unanswered and every suspicion expired, and it would declare all the
        others dead. It shows as a gap between ticks. What was begun before
        the gap proves nothing, so it is dropped.
        """
        last = self._last_tick
        if last is None or now - last <= PAUSE_S:
            return
        self._last_tick = now
        self._probes.clear()
        for record in self._beliefs.records_by_id.values():
            if record.state is InstanceState.SUSPECT:
                record.since = now

    # Time.

    def _tick(self, event: Tick, now: float) -> None:
        self._last_tick = now
        for record in list(self._beliefs.records_by_id.values()):
            expired = now - record.since >= SUSPECT_S
            if record.state is InstanceState.SUSPECT and expired:
                self._beliefs.change(record, InstanceState.DEAD, now)
        if now >= self._next_probe:
            self._next_probe = now + PROBE_PERIOD_S
            self._probe_next()
        if now >= self._next_prune:
            self._next_prune = now + PRUNE_PERIOD_S
            self._beliefs.prune(now)

    def _probe_next(self) -> None:
        # A suspect gets the chance to refute each time, as long as it lasts.
        suspects = self._beliefs.list_in(InstanceState.SUSPECT)
        targets = [
            self._order.choose(self._list_contacts()),
            min(suspects, default=None),
        ]
        self._probe_count += 1
        if self._probe_count % DEAD_PROBE_EVERY == 0:
            # After a cut nobody else would find that the dead live.
            dead = self._beliefs.list_in(InstanceState.DEAD)
            targets.append(self._dead_order.choose(dead))
        for target in dict.fromkeys(targets):
            number = self._probes.begin(target) if target is not None else None
            if target is not None and number is not None:
                news = self._beliefs.compose(target)
                self._effects.append(Probe(target, number, news))

    def _list_contacts(self) -> set[str]:
        """Return whom to probe, and whom to tell.

        Each member is probed by as many others as it probes itself, whatever
        the fleet's size, so that a death is seen as soon as in a small one.
        """
        others = self._beliefs.list_others()
        if others != self._others:
            self._others = others
            self._contacts = list_contacts(self._beliefs.own.id, others)
        return self._contacts

    # Probes.

    def _take_answer(self, event: ProbeAnswered, now: float) -> None:
        self._probes.end(event.target)
        self._apply(event.news, event.target, now)
        record = self._beliefs.records_by_id.get(event.target)
        if record is not None and record.state is InstanceState.DEAD:
            # It lives; what it answers to the news of its death comes back
            # as a higher incarnation at the latest with the next probe.
            self._beliefs.change(record, InstanceState.SUSPECT, now)

    def _fail_probe(self, event: ProbeFailed, now: float) -> None:
        if not self._probes.is_direct(event.target, event.number):
            return
        record = self._beliefs.records_by_id.get(event.target)
        if record is None or not record.present:
            self._probes.end(event.target)
            return
        helpers = self._order.sample(
            [
                id
                for id in self._list_contacts()
                if id != event.target
                and self._beliefs.records_by_id[id].state is InstanceState.ALIVE
            ],
            HELPERS,
        )
        if not helpers:
            self._probes.end(event.target)
            self._suspect(record, now)
            return
        self._probes.ask(event.target, helpers)
        for helper in helpers:
            self._effects.append(AskIndirect(helper, record.id, record.address))

    def _take_helper(self, event: HelperAnswered, now: float) -> None:
        if event.alive:
            self._probes.end(event.target)
            return
        if not self._probes.fail_helper(event.target, event.helper):
            return
        record = self._beliefs.records_by_id.get(event.target)
        if record is not None:
            self._suspect(record, now)

    def _doubt_lost(self, event: PeerLost, now: float) -> None:
        record = self._beliefs.records_by_id.get(event.instance_id)
        if event.reachable or record is None or not record.present:
            return
        number = self._probes.begin(record.id)
        if number is not None:
            self._fail_probe(ProbeFailed(record.id, number), now)

    def _suspect(self, record: Record, now: float) -> None:
        if record.state is InstanceState.ALIVE:
            self._beliefs.change(record, InstanceState.SUSPECT, now)

    # News.

    def _take_ping(self, event: Pinged, now: float) -> None:
        sender = event.question.sender
        self._apply(event.news, sender, now)
        if event.question.number:
            answer = AnswerPing(event.question, self._beliefs.compose(sender))
            self._effects.append(answer)

    def _apply(self, news: Iterable[News], sender: str, now: float) -> None:
        told: News | None = None
        for item in news:
            if item.kind is NewsKind.TREE_REVISION:
                self._hear_tree(item, sender, now)
            elif item.kind is NewsKind.MEMBERS_DIGEST:
                told = item
            elif item.kind is NewsKind.ENDPOINT_LEAVING:
                event = EndpointLeaving(item.subject, item.incarnation)
                self._beliefs.note_leaving(event, now)
            else:
                self._beliefs.hear(item, now)
        if told is not None:
            self._compare(told, sender, now)

    def _compare(self, told: News, sender: str, now: float) -> None:
        """Tell a peer all that is believed, if it does not know the same.

        Guards against news that chance has kept from somebody: passed on a
        bounded number of times, it reaches all but one in some hundred, and an
        instance that a few never hear of is asked for nothing by them. The
        peer finds the same difference, and tells its own beliefs.
        """
        behind = told.subject != self._beliefs.digest.subject
        if not behind or self._beliefs.has_fresh_news or now < self._next_sync:
            return
        self._next_sync = now + SYNC_PERIOD_S
        self._effects.append(Tell(sender, self._beliefs.list_all_news()))

    def _push(self, now: float) -> None:
        """Pass on urgent news at once, at a bounded rate."""
        if not self._beliefs.urgent or now < self._next_push:
            return
        self._next_push = now + PUSH_PERIOD_S
        for target in self._order.sample(self._list_contacts(), PUSH_FANOUT):
            self._effects.append(Tell(target, self._beliefs.compose(target)))
        # Guards against news that waits for probes because more came at once
        # than a message holds, or too few were known to be told: it shows as
        # a fleet that has just started and for seconds knows itself in part.
        self._beliefs.urgent = self._beliefs.has_fresh_news

    def _hold_tree(self, held: TreeHeld, now: float) -> None:
        if held.revision > self._beliefs.held_revision:
            self._beliefs.held = held
            self._beliefs.urgent = True

    def _hear_tree(self, item: News, sender: str, now: float) -> None:
        held = self._beliefs.held_revision
        heard, told_at = self._heard
        again = now - told_at >= TREE_HEARD_PERIOD_S
        if item.incarnation > held and (item.incarnation > heard or again):
            self._heard = (item.incarnation, now)
            told = TreeHeard(item.incarnation, item.subject, sender)
            self._effects.append(PublishTree(told))

    def _leave(self, event: Leave, now: float) -> None:
        own = self._beliefs.own
        if own.state is not InstanceState.LEFT:
            # There may be no later tick to tell it.
            self._next_push = now
            self._beliefs.change(own, InstanceState.LEFT, now)

    def _publish(self) -> None:
        if not self._beliefs.changed:
            return
        self._beliefs.changed = False
        view = self._beliefs.make_view()
        if view != self._view:
            self._view = view
            self._effects.append(PublishView(view))
