"""Failure detection and gossip in the manner of SWIM, without I/O.

The view is best effort: a wrong one costs time, and no guarantee depends on
two instances having the same view.
"""

from collections.abc import Callable, Iterable
from random import Random
from typing import Any

from fescuekeel.components.membership.const import (
    DEAD_PROBE_EVERY,
    INDIRECT_PROBE_HELPERS,
    PAUSE_S,
    PROBE_PERIOD_S,
    PRUNE_PERIOD_S,
    PUSH_FANOUT,
    PUSH_PERIOD_S,
    SUSPICION_TIMEOUT_S,
    SYNC_PERIOD_S,
    TREE_REPUBLISH_PERIOD_S,
)
from fescuekeel.components.membership.events import (
    AnswerPing,
    Effect,
    Event,
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
from fescuekeel.components.membership.member_table import MemberTable
from fescuekeel.components.membership.probes import PendingProbes, ProbeOrder
from fescuekeel.components.membership.records import MemberRecord
from fescuekeel.messages import (
    EndpointLeaving,
    InstanceState,
    LiveList,
    Member,
    MemberView,
    News,
    NewsKind,
    PeerAuthenticated,
    PeerConnectionLost,
    TreeAnnounced,
    TreeStored,
)
from fescuekeel.util.ring import list_contacts

__all__ = ["Membership"]


class Membership:
    """Detect failed instances, and gossip the state of all instances.

    ``handle`` takes an event and the time in monotonic seconds, and returns
    the effects to run.

    >>> me = Member("i1", "127.0.0.1:1", "dc1", 1)
    >>> membership = Membership(me, Random(0))
    >>> from fescuekeel.messages import LiveEntry, LiveRole
    >>> entry = LiveEntry("i2", LiveRole.INSTANCE, "127.0.0.1:2", "dc1", 1)
    >>> effect, = membership.handle(LiveList({"i2": entry}), now=0.0)
    >>> sorted(effect.view.members_by_id)
    ['i1', 'i2']
    """

    def __init__(self, own: Member, random: Random) -> None:
        self._members = MemberTable(own)
        self._probe_order = ProbeOrder(random)
        self._dead_probe_order = ProbeOrder(random)
        self._pending_probes = PendingProbes()
        self._published_tree = (0, 0.0)
        self._view: MemberView | None = None
        self._last_tick: float | None = None
        self._next_probe = self._next_push = self._next_prune = 0.0
        self._next_sync = 0.0
        self._probe_count = 0
        self._others: set[str] = set()
        self._contacts: set[str] = set()
        self._effects: list[Effect] = []
        self._handlers_by_type: dict[type, Callable[[Any, float], None]] = {
            Tick: self._handle_tick,
            PingReceived: self._handle_ping,
            ProbeAnswered: self._handle_probe_answered,
            ProbeFailed: self._handle_probe_failed,
            IndirectProbeDone: self._handle_indirect_done,
            Leave: self._handle_leave,
            LiveList: self._members.merge_live_list,
            PeerAuthenticated: self._members.merge_peer,
            PeerConnectionLost: self._handle_peer_lost,
            EndpointLeaving: self._members.mark_leaving,
            TreeStored: self._handle_tree_stored,
        }

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle one event and return its effects."""
        self._effects = []
        self._check_pause(now)
        self._handlers_by_type[type(event)](event, now)
        self._push_news(now)
        self._publish_view()
        return self._effects

    def _check_pause(self, now: float) -> None:
        """Drop pending probes and restart suspicion timers after a pause.

        Guards against declaring every peer dead when the process resumes: its
        probes look unanswered and its suspicions expired. A pause shows as a
        gap between ticks.
        """
        last = self._last_tick
        if last is None or now - last <= PAUSE_S:
            return
        self._last_tick = now
        self._pending_probes.clear()
        for record in self._members.records_by_id.values():
            if record.state is InstanceState.SUSPECT:
                record.state_since = now

    # Timers.

    def _handle_tick(self, event: Tick, now: float) -> None:
        self._last_tick = now
        for record in list(self._members.records_by_id.values()):
            expired = now - record.state_since >= SUSPICION_TIMEOUT_S
            if record.state is InstanceState.SUSPECT and expired:
                self._members.set_state(record, InstanceState.DEAD, now)
        if now >= self._next_probe:
            self._next_probe = now + PROBE_PERIOD_S
            self._probe_next()
        if now >= self._next_prune:
            self._next_prune = now + PRUNE_PERIOD_S
            self._members.prune(now)

    def _probe_next(self) -> None:
        # One suspect is probed in each period, which lets it refute.
        suspects = self._members.list_in_state(InstanceState.SUSPECT)
        targets = [
            self._probe_order.choose(self._list_contacts()),
            min(suspects, default=None),
        ]
        self._probe_count += 1
        if self._probe_count % DEAD_PROBE_EVERY == 0:
            # Otherwise the two sides of a healed partition stay apart.
            dead = self._members.list_in_state(InstanceState.DEAD)
            targets.append(self._dead_probe_order.choose(dead))
        for target in dict.fromkeys(targets):
            number = self._pending_probes.begin(target) if target is not None else None
            if target is not None and number is not None:
                news = self._members.compose_news(target)
                self._effects.append(Probe(target, number, news))

    def _list_contacts(self) -> set[str]:
        """Return the peers to probe and to push news to.

        Each member probes as many peers as probe it, so the time to detect a
        failure hardly depends on the size of the fleet.
        """
        others = self._members.list_others()
        if others != self._others:
            self._others = others
            self._contacts = list_contacts(self._members.own.id, others)
        return self._contacts

    # Probes.

    def _handle_probe_answered(self, event: ProbeAnswered, now: float) -> None:
        self._pending_probes.end(event.target)
        self._apply_news(event.news, event.target, now)
        record = self._members.records_by_id.get(event.target)
        if record is not None and record.state is InstanceState.DEAD:
            # Suspect, not alive: the next probe carries this state, and the
            # target refutes it with a higher incarnation.
            self._members.set_state(record, InstanceState.SUSPECT, now)

    def _handle_probe_failed(self, event: ProbeFailed, now: float) -> None:
        if not self._pending_probes.is_direct_pending(event.target, event.number):
            return
        record = self._members.records_by_id.get(event.target)
        if record is None or not record.is_member:
            self._pending_probes.end(event.target)
            return
        helpers = self._probe_order.sample(
            [
                id
                for id in self._list_contacts()
                if id != event.target
                and self._members.records_by_id[id].state is InstanceState.ALIVE
            ],
            INDIRECT_PROBE_HELPERS,
        )
        if not helpers:
            self._pending_probes.end(event.target)
            self._suspect(record, now)
            return
        self._pending_probes.begin_indirect(event.target, helpers)
        for helper in helpers:
            self._effects.append(IndirectProbe(helper, record.id, record.address))

    def _handle_indirect_done(self, event: IndirectProbeDone, now: float) -> None:
        if event.alive:
            self._pending_probes.end(event.target)
            return
        if not self._pending_probes.fail_helper(event.target, event.helper):
            return
        record = self._members.records_by_id.get(event.target)
        if record is not None:
            self._suspect(record, now)

    def _handle_peer_lost(self, event: PeerConnectionLost, now: float) -> None:
        record = self._members.records_by_id.get(event.instance_id)
        if event.reachable or record is None or not record.is_member:
            return
        number = self._pending_probes.begin(record.id)
        if number is not None:
            self._handle_probe_failed(ProbeFailed(record.id, number), now)

    def _suspect(self, record: MemberRecord, now: float) -> None:
        if record.state is InstanceState.ALIVE:
            self._members.set_state(record, InstanceState.SUSPECT, now)

    # Gossip.

    def _handle_ping(self, event: PingReceived, now: float) -> None:
        sender = event.request.sender
        self._apply_news(event.news, sender, now)
        if event.request.number:
            answer = AnswerPing(event.request, self._members.compose_news(sender))
            self._effects.append(answer)

    def _apply_news(self, news: Iterable[News], sender: str, now: float) -> None:
        digest: News | None = None
        for item in news:
            if item.kind is NewsKind.TREE_REVISION:
                self._publish_newer_tree(item, sender, now)
            elif item.kind is NewsKind.MEMBERS_DIGEST:
                digest = item
            elif item.kind is NewsKind.ENDPOINT_LEAVING:
                event = EndpointLeaving(item.subject, item.incarnation)
                self._members.mark_leaving(event, now)
            else:
                self._members.merge_news(item, now)
        if digest is not None:
            self._sync_if_different(digest, sender, now)

    def _sync_if_different(self, digest: News, sender: str, now: float) -> None:
        """Send a peer the full state if its members digest differs.

        Guards against instances that some peers never learn of, and so never
        use: gossip is sent a bounded number of times and may miss a few. The
        peer sees the same difference and sends its own state.
        """
        differs = digest.subject != self._members.digest.subject
        if not differs or self._members.has_news_to_push or now < self._next_sync:
            return
        self._next_sync = now + SYNC_PERIOD_S
        self._effects.append(SendNews(sender, self._members.list_full_state()))

    def _push_news(self, now: float) -> None:
        """Push news without waiting for probes, at a bounded rate."""
        if not self._members.push_pending or now < self._next_push:
            return
        self._next_push = now + PUSH_PERIOD_S
        for target in self._probe_order.sample(self._list_contacts(), PUSH_FANOUT):
            self._effects.append(SendNews(target, self._members.compose_news(target)))
        # Guards against slow discovery after a common start: with more news
        # than fits one message, or few known peers, one push is not enough.
        self._members.push_pending = self._members.has_news_to_push

    def _handle_tree_stored(self, held: TreeStored, now: float) -> None:
        if held.revision > self._members.tree_revision:
            self._members.held_tree = held
            self._members.push_pending = True

    def _publish_newer_tree(self, item: News, sender: str, now: float) -> None:
        held = self._members.tree_revision
        published, published_at = self._published_tree
        again = now - published_at >= TREE_REPUBLISH_PERIOD_S
        if item.incarnation > held and (item.incarnation > published or again):
            self._published_tree = (item.incarnation, now)
            tree = TreeAnnounced(item.incarnation, item.subject, sender)
            self._effects.append(PublishTree(tree))

    def _handle_leave(self, event: Leave, now: float) -> None:
        own = self._members.own
        if own.state is not InstanceState.LEFT:
            # Push at once; there may be no later tick.
            self._next_push = now
            self._members.set_state(own, InstanceState.LEFT, now)

    def _publish_view(self) -> None:
        if not self._members.changed:
            return
        self._members.changed = False
        view = self._members.make_view()
        if view != self._view:
            self._view = view
            self._effects.append(PublishView(view))
