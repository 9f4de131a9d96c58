"""Decide who is alive and who is told what; a pure decision.

This is an efficiency decision: a wrong view costs time. No promise rests on
two instances having the same view.
"""

from collections.abc import Callable, Iterable
from random import Random
from typing import Any

from fescuekeel.components.membership.const import (
    DEAD_KEPT_S,
    DEAD_PROBE_EVERY,
    HELPERS,
    LEFT_KEPT_S,
    MAX_MEMBERS,
    PAUSE_S,
    PROBE_PERIOD_S,
    PRUNE_PERIOD_S,
    PUSH_FANOUT,
    PUSH_PERIOD_S,
    SUSPECT_S,
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
from fescuekeel.components.membership.leaving import LeavingEndpoints
from fescuekeel.components.membership.news import NewsQueue
from fescuekeel.components.membership.probes import ProbeOrder, Probes
from fescuekeel.components.membership.records import (
    STATES_BY_KIND,
    Record,
    overrides,
)
from fescuekeel.messages import (
    EndpointLeaving,
    InstanceState,
    LiveEntry,
    LiveList,
    LiveRole,
    Member,
    MemberView,
    News,
    NewsKind,
    PeerLost,
    PeerMet,
    TreeHeard,
    TreeHeld,
)

__all__ = ["Membership"]


class Membership:
    """Believe, doubt and tell.

    ``handle`` takes an event at a time in monotonic seconds and returns the
    effects.

    >>> me = Member("i1", "127.0.0.1:1", "dc1", 1)
    >>> membership = Membership(me, Random(0))
    >>> entry = LiveEntry("i2", LiveRole.INSTANCE, "127.0.0.1:2", "dc1", 1)
    >>> effect, = membership.handle(LiveList({"i2": entry}), now=0.0)
    >>> sorted(effect.view.members_by_id)
    ['i1', 'i2']
    """

    def __init__(self, own: Member, random: Random) -> None:
        self.id = own.id
        self._own = Record(
            own.id,
            own.address,
            own.data_centre,
            own.incarnation,
            InstanceState.ALIVE,
            0.0,
        )
        self._records_by_id = {own.id: self._own}
        self._order = ProbeOrder(random)
        self._dead_order = ProbeOrder(random)
        self._probes = Probes()
        self._news = NewsQueue()
        self._leaving = LeavingEndpoints()
        self._live = LiveList()
        self._held: TreeHeld | None = None
        self._heard = (0, 0.0)
        self._view: MemberView | None = None
        self._urgent = False
        self._changed = True
        self._last_tick: float | None = None
        self._next_probe = self._next_push = self._next_prune = 0.0
        self._probe_count = 0
        self._effects: list[Effect] = []
        self._handlers_by_type: dict[type, Callable[[Any, float], None]] = {
            Tick: self._tick,
            Pinged: self._take_ping,
            ProbeAnswered: self._take_answer,
            ProbeFailed: self._fail_probe,
            HelperAnswered: self._take_helper,
            Leave: self._leave,
            LiveList: self._merge_live,
            PeerMet: self._meet,
            PeerLost: self._doubt_lost,
            EndpointLeaving: self._note_leaving,
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
        for record in self._records_by_id.values():
            if record.state is InstanceState.SUSPECT:
                record.since = now

    # Time.

    def _tick(self, event: Tick, now: float) -> None:
        self._last_tick = now
        for record in list(self._records_by_id.values()):
            expired = now - record.since >= SUSPECT_S
            if record.state is InstanceState.SUSPECT and expired:
                self._change(record, InstanceState.DEAD, record.incarnation, now)
        if now >= self._next_probe:
            self._next_probe = now + PROBE_PERIOD_S
            self._probe_next()
        if now >= self._next_prune:
            self._next_prune = now + PRUNE_PERIOD_S
            self._prune(now)

    def _probe_next(self) -> None:
        targets = [self._order.choose(self._list_others())]
        # A suspect gets the chance to refute each time, as long as it lasts.
        targets.append(next(iter(sorted(self._list_in(InstanceState.SUSPECT))), None))
        self._probe_count += 1
        if self._probe_count % DEAD_PROBE_EVERY == 0:
            # After a cut nobody else would find that the dead live.
            dead = self._list_in(InstanceState.DEAD)
            targets.append(self._dead_order.choose(dead))
        for target in dict.fromkeys(targets):
            number = self._probes.begin(target) if target is not None else None
            if target is not None and number is not None:
                self._effects.append(Probe(target, number, self._compose(target)))

    def _prune(self, now: float) -> None:
        self._leaving.prune(self._live, now)
        for record in list(self._records_by_id.values()):
            age = now - record.since
            gone = record.state is InstanceState.DEAD and age > DEAD_KEPT_S
            left = record.state is InstanceState.LEFT and age > LEFT_KEPT_S
            listed = record.id in self._live.entries_by_id
            if (gone or left) and not listed and record is not self._own:
                del self._records_by_id[record.id]

    # Probes.

    def _take_answer(self, event: ProbeAnswered, now: float) -> None:
        self._probes.end(event.target)
        self._apply(event.news, event.target, now)
        record = self._records_by_id.get(event.target)
        if record is not None and record.state is InstanceState.DEAD:
            # It lives; what it answers to the news of its death comes back
            # as a higher incarnation at the latest with the next probe.
            self._change(record, InstanceState.SUSPECT, record.incarnation, now)

    def _fail_probe(self, event: ProbeFailed, now: float) -> None:
        if not self._probes.is_direct(event.target, event.number):
            return
        record = self._records_by_id.get(event.target)
        if record is None or not record.present:
            self._probes.end(event.target)
            return
        helpers = self._order.sample(
            [
                id
                for id in self._list_others()
                if id != event.target
                and self._records_by_id[id].state is InstanceState.ALIVE
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
        record = self._records_by_id.get(event.target)
        if record is not None:
            self._suspect(record, now)

    def _doubt_lost(self, event: PeerLost, now: float) -> None:
        record = self._records_by_id.get(event.instance_id)
        if event.reachable or record is None or not record.present:
            return
        number = self._probes.begin(record.id)
        if number is not None:
            self._fail_probe(ProbeFailed(record.id, number), now)

    def _suspect(self, record: Record, now: float) -> None:
        if record.state is InstanceState.ALIVE:
            self._change(record, InstanceState.SUSPECT, record.incarnation, now)

    # News.

    def _take_ping(self, event: Pinged, now: float) -> None:
        sender = event.question.sender
        self._apply(event.news, sender, now)
        if event.question.number:
            answer = AnswerPing(event.question, self._compose(sender))
            self._effects.append(answer)

    def _apply(self, news: Iterable[News], sender: str, now: float) -> None:
        for item in news:
            if item.kind is NewsKind.TREE_REVISION:
                self._hear_tree(item, sender, now)
            elif item.kind is NewsKind.ENDPOINT_LEAVING:
                event = EndpointLeaving(item.subject, item.incarnation)
                self._note_leaving(event, now)
            elif item.subject == self.id:
                self._refute(item)
            else:
                self._apply_member(item, now)

    def _refute(self, item: News) -> None:
        """Take back what others believe of this instance.

        A lower incarnation is an earlier life or was guessed from the live
        list; our own, told again, overrides it.
        """
        own = self._own
        if item.kind is NewsKind.ALIVE and item.incarnation <= own.incarnation:
            return
        if own.state is InstanceState.LEFT:
            if item.kind is NewsKind.LEFT:
                return
            own.incarnation = max(own.incarnation, item.incarnation)
        else:
            own.incarnation = max(own.incarnation, item.incarnation + 1)
        self._changed = True
        self._tell(own.to_news())

    def _apply_member(self, item: News, now: float) -> None:
        state = STATES_BY_KIND[item.kind]
        record = self._records_by_id.get(item.subject)
        if record is None:
            if state is InstanceState.ALIVE and item.address:
                self._add(item, now)
            return
        if not overrides(item, record):
            return
        if item.address:
            record.address = item.address
            record.data_centre = item.data_centre
        self._change(record, state, item.incarnation, now)

    def _add(self, item: News, now: float, live_incarnation: int = 0) -> None:
        if len(self._records_by_id) >= MAX_MEMBERS:
            return
        record = Record(
            item.subject,
            item.address,
            item.data_centre,
            item.incarnation,
            InstanceState.ALIVE,
            now,
            live_incarnation,
        )
        self._records_by_id[record.id] = record
        self._changed = True
        self._greet(record)

    def _change(
        self, record: Record, state: InstanceState, incarnation: int, now: float
    ) -> None:
        was_present = record.present
        renewed = incarnation > record.incarnation
        if record.state is not state:
            record.since = now
        record.state = state
        record.incarnation = incarnation
        self._changed = True
        if record.present and (renewed or not was_present):
            self._greet(record)
        else:
            self._tell(record.to_news())

    def _greet(self, record: Record) -> None:
        # What leaves may have been told for the last time before it came. A
        # higher incarnation may be a new life that has heard nothing.
        for item in self._leaving.list_news():
            self._news.add(item)
        if record.incarnation:
            self._tell(record.to_news())

    def _tell(self, news: News) -> None:
        self._news.add(news)
        self._urgent = True

    def _compose(self, target: str) -> tuple[News, ...]:
        """Return what a message to the target carries.

        Our own record and the tree's revision go with every message, so that
        any contact mends what was lost on the way. So does a bad belief about
        the target, which can refute it at once.
        """
        news = [self._own.to_news()]
        record = self._records_by_id.get(target)
        if record is not None and record.state is not InstanceState.ALIVE:
            news.append(record.to_news())
        if self._held is not None:
            held = self._held
            news.append(News(NewsKind.TREE_REVISION, held.digest, held.revision))
        fleet = len(self._list_others()) + 1
        news += [item for item in self._news.take(fleet) if item not in news]
        return tuple(news)

    def _push(self, now: float) -> None:
        """Pass on urgent news at once, at a bounded rate."""
        if not self._urgent or now < self._next_push:
            return
        self._urgent = False
        self._next_push = now + PUSH_PERIOD_S
        for target in self._order.sample(self._list_others(), PUSH_FANOUT):
            self._effects.append(Tell(target, self._compose(target)))

    # Sources other than peers' news.

    def _merge_live(self, live: LiveList, now: float) -> None:
        """Take the lagging list as a hint on who could be there.

        It only adds: who answers probes stays although the list has dropped
        it, and who is dead by probes stays so although the list has it, until
        the list shows a new incarnation.
        """
        self._live = live
        self._changed = True
        for entry in live.entries_by_id.values():
            if entry.role is LiveRole.ENDPOINT:
                if entry.leaving:
                    event = EndpointLeaving(entry.id, entry.incarnation)
                    self._note_leaving(event, now)
            elif entry.id != self.id:
                self._merge_instance(entry, now)

    def _merge_instance(self, entry: LiveEntry, now: float) -> None:
        record = self._records_by_id.get(entry.id)
        if record is None:
            if not entry.leaving:
                item = News(
                    NewsKind.ALIVE, entry.id, 0, entry.address, entry.data_centre
                )
                self._add(item, now, entry.incarnation)
            return
        restarted = 0 < record.live_incarnation < entry.incarnation
        record.live_incarnation = max(record.live_incarnation, entry.incarnation)
        if restarted and not record.present and not entry.leaving:
            record.address = entry.address
            record.data_centre = entry.data_centre
            # The new life's own incarnation, a time, is above this.
            self._change(record, InstanceState.ALIVE, record.incarnation + 1, now)

    def _meet(self, met: PeerMet, now: float) -> None:
        if met.instance_id != self.id and met.address:
            item = News(
                NewsKind.ALIVE,
                met.instance_id,
                met.incarnation,
                met.address,
                met.data_centre,
            )
            self._apply_member(item, now)

    def _note_leaving(self, event: EndpointLeaving, now: float) -> None:
        if self._leaving.note(event.endpoint, event.incarnation, now):
            self._changed = True
            self._tell(
                News(NewsKind.ENDPOINT_LEAVING, event.endpoint, event.incarnation)
            )

    def _hold_tree(self, held: TreeHeld, now: float) -> None:
        if self._held is None or held.revision > self._held.revision:
            self._held = held
            self._urgent = True

    def _hear_tree(self, item: News, sender: str, now: float) -> None:
        held = self._held.revision if self._held is not None else 0
        heard, told_at = self._heard
        again = now - told_at >= TREE_HEARD_PERIOD_S
        if item.incarnation > held and (item.incarnation > heard or again):
            self._heard = (item.incarnation, now)
            told = TreeHeard(item.incarnation, item.subject, sender)
            self._effects.append(PublishTree(told))

    def _leave(self, event: Leave, now: float) -> None:
        if self._own.state is not InstanceState.LEFT:
            # There may be no later tick to tell it.
            self._next_push = now
            self._change(self._own, InstanceState.LEFT, self._own.incarnation, now)

    # The view.

    def _list_others(self) -> set[str]:
        return {
            record.id
            for record in self._records_by_id.values()
            if record.present and record is not self._own
        }

    def _list_in(self, state: InstanceState) -> set[str]:
        return {
            record.id
            for record in self._records_by_id.values()
            if record.state is state and record is not self._own
        }

    def _publish(self) -> None:
        if not self._changed:
            return
        self._changed = False
        # A suspect stays a member: most suspicions are refuted, and moving an
        # endpoint to another owner and back costs more than waiting a second.
        members = {
            record.id: record.to_member()
            for record in self._records_by_id.values()
            if record.present
        }
        # The last one keeps what it owns while it drains.
        if not members:
            members = {self.id: self._own.to_member()}
        left = frozenset(
            record.id
            for record in self._records_by_id.values()
            if record.state is InstanceState.LEFT
        )
        view = MemberView(members, self._leaving.select(self._live), left)
        if view != self._view:
            self._view = view
            self._effects.append(PublishView(view))
