"""The member table: state of each instance, and the gossip about it."""

import itertools

import xxhash

from fescuekeel.components.membership.const import (
    DEAD_RETENTION_S,
    LEFT_RETENTION_S,
    MAX_MEMBERS,
    MAX_SYNC_NEWS,
)
from fescuekeel.components.membership.leaving import LeavingEndpoints
from fescuekeel.components.membership.news import NewsQueue
from fescuekeel.components.membership.records import (
    STATES_BY_KIND,
    MemberRecord,
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
    PeerAuthenticated,
    TreeStored,
)

__all__ = ["MemberTable"]


class MemberTable:
    """Hold the member records, merge gossip into them and compose gossip.

    ``changed`` says that the view may have changed, ``push_pending`` that
    there is news to push without waiting for the next probe. The caller
    resets each flag once it has acted on it.

    >>> table = MemberTable(Member("i1", "127.0.0.1:1", "dc1", 1))
    >>> table.merge_peer(
    ...     PeerAuthenticated("i2", "127.0.0.1:2", "dc1", 1), now=0.0
    ... )
    >>> table.list_others(), table.push_pending
    ({'i2'}, True)
    """

    def __init__(self, own: Member) -> None:
        self.own = MemberRecord(
            own.id,
            own.address,
            own.data_centre,
            own.incarnation,
            InstanceState.ALIVE,
            0.0,
        )
        self.records_by_id = {own.id: self.own}
        self.held_tree: TreeStored | None = None
        self.changed = True
        self.push_pending = False
        self._news_queue = NewsQueue()
        self._leaving = LeavingEndpoints()
        self._live_list = LiveList()
        self._digest: News | None = None

    @property
    def tree_revision(self) -> int:
        """Return the tree revision that this instance holds, or zero."""
        return 0 if self.held_tree is None else self.held_tree.revision

    @property
    def digest(self) -> News:
        """Return a digest of the members, equal on instances that agree.

        It leaves out dead instances: some peers may never have known them.
        """
        if self._digest is None:
            known = sorted(
                f"{record.id} {record.incarnation}"
                for record in self.records_by_id.values()
                if record.is_member and record.incarnation
            )
            digest = xxhash.xxh3_64_hexdigest("\n".join(known).encode())
            self._digest = News(NewsKind.MEMBERS_DIGEST, digest, len(known))
        return self._digest

    def list_full_state(self) -> tuple[News, ...]:
        """Return news of every known instance, for a full-state sync."""
        known = (record for record in self.records_by_id.values() if record.incarnation)
        return tuple(
            record.to_news() for record in itertools.islice(known, MAX_SYNC_NEWS)
        )

    @property
    def has_news_to_push(self) -> bool:
        """Return whether some news still has to be pushed to more peers."""
        return self._news_queue.needs_push

    # Gossip.

    def merge_news(self, item: News, now: float) -> None:
        """Merge a piece of gossip about an instance."""
        if item.subject == self.own.id:
            self._refute(item)
            return
        state = STATES_BY_KIND[item.kind]
        record = self.records_by_id.get(item.subject)
        if record is None:
            if state is InstanceState.ALIVE and item.address:
                self._add_record(item, now)
            return
        if not overrides(item, record):
            return
        if item.address:
            record.address = item.address
            record.data_centre = item.data_centre
        self.set_state(record, state, now, item.incarnation)

    def _refute(self, item: News) -> None:
        """Refute a false state of this instance that peers gossip.

        An alive entry of the own or a lower incarnation, as after a restart,
        needs no refutation: the own record overrides it.
        """
        own = self.own
        if item.kind is NewsKind.ALIVE and item.incarnation <= own.incarnation:
            return
        if own.state is InstanceState.LEFT:
            if item.kind is NewsKind.LEFT:
                return
            own.incarnation = max(own.incarnation, item.incarnation)
        else:
            own.incarnation = max(own.incarnation, item.incarnation + 1)
        self._digest = None
        self.changed = True
        self._queue_news(own.to_news())

    def mark_leaving(self, event: EndpointLeaving, now: float) -> None:
        """Mark an endpoint as leaving, and gossip it if that is new."""
        if self._leaving.mark(event.endpoint, event.incarnation, now):
            self.changed = True
            self._queue_news(
                News(NewsKind.ENDPOINT_LEAVING, event.endpoint, event.incarnation)
            )

    # Sources other than gossip.

    def merge_peer(self, peer: PeerAuthenticated, now: float) -> None:
        """Merge the identity that a peer has proved on a new connection."""
        if peer.instance_id != self.own.id and peer.address:
            item = News(
                NewsKind.ALIVE,
                peer.instance_id,
                peer.incarnation,
                peer.address,
                peer.data_centre,
            )
            self.merge_news(item, now)

    def merge_live_list(self, live: LiveList, now: float) -> None:
        """Merge the platform's live list, which lags, as a discovery hint.

        It only adds instances. One that the list drops remains a member while
        it answers probes, and one that probes found dead remains dead until
        the list shows a new incarnation.
        """
        self._live_list = live
        self.changed = True
        for entry in live.entries_by_id.values():
            if entry.role is LiveRole.ENDPOINT:
                if entry.leaving:
                    event = EndpointLeaving(entry.id, entry.incarnation)
                    self.mark_leaving(event, now)
            elif entry.id != self.own.id:
                self._merge_instance(entry, now)

    def _merge_instance(self, entry: LiveEntry, now: float) -> None:
        record = self.records_by_id.get(entry.id)
        if record is None:
            if not entry.leaving:
                item = News(
                    NewsKind.ALIVE, entry.id, 0, entry.address, entry.data_centre
                )
                self._add_record(item, now, entry.incarnation)
            return
        restarted = 0 < record.live_incarnation < entry.incarnation
        record.live_incarnation = max(record.live_incarnation, entry.incarnation)
        if restarted and not record.is_member and not entry.leaving:
            record.address = entry.address
            record.data_centre = entry.data_centre
            # The restarted instance gossips a higher one: its start time.
            self.set_state(record, InstanceState.ALIVE, now, record.incarnation + 1)

    # Records.

    def _add_record(self, item: News, now: float, live_incarnation: int = 0) -> None:
        if len(self.records_by_id) >= MAX_MEMBERS:
            return
        record = MemberRecord(
            item.subject,
            item.address,
            item.data_centre,
            item.incarnation,
            InstanceState.ALIVE,
            now,
            live_incarnation,
        )
        self.records_by_id[record.id] = record
        self._digest = None
        self.changed = True
        self._queue_join_news(record)

    def set_state(
        self,
        record: MemberRecord,
        state: InstanceState,
        now: float,
        incarnation: int | None = None,
    ) -> None:
        """Set and gossip a state; the incarnation is kept if none is given."""
        incarnation = record.incarnation if incarnation is None else incarnation
        was_member = record.is_member
        is_newer = incarnation > record.incarnation
        if record.state is not state:
            record.state_since = now
        record.state = state
        record.incarnation = incarnation
        self._digest = None
        self.changed = True
        if record.is_member and (is_newer or not was_member):
            self._queue_join_news(record)
        else:
            self._queue_news(record.to_news())

    def prune(self, now: float) -> None:
        """Remove records of instances that died or left long ago."""
        self._leaving.prune(self._live_list, now)
        for record in list(self.records_by_id.values()):
            age = now - record.state_since
            dead = record.state is InstanceState.DEAD and age > DEAD_RETENTION_S
            left = record.state is InstanceState.LEFT and age > LEFT_RETENTION_S
            listed = record.id in self._live_list.entries_by_id
            if (dead or left) and not listed and record is not self.own:
                del self.records_by_id[record.id]

    def list_others(self) -> set[str]:
        """Return the ids of the other members."""
        return {
            record.id
            for record in self.records_by_id.values()
            if record.is_member and record is not self.own
        }

    def list_in_state(self, state: InstanceState) -> set[str]:
        """Return the ids of the other instances in a state."""
        return {
            record.id
            for record in self.records_by_id.values()
            if record.state is state and record is not self.own
        }

    def make_view(self) -> MemberView:
        """Return the view that other components use.

        Suspects count as members: most suspicions are refuted, and moving an
        endpoint to another owner and back costs more than waiting a second.
        """
        members = {
            record.id: record.to_member()
            for record in self.records_by_id.values()
            if record.is_member
        }
        # The last instance keeps its endpoints while it drains.
        if not members:
            members = {self.own.id: self.own.to_member()}
        left = frozenset(
            record.id
            for record in self.records_by_id.values()
            if record.state is InstanceState.LEFT
        )
        return MemberView(members, self._leaving.select(self._live_list), left)

    # Outgoing gossip.

    def _queue_join_news(self, record: MemberRecord) -> None:
        # An instance that joins, or that has restarted with a new incarnation,
        # has missed news that is no longer transmitted: queue it again.
        for item in self._leaving.list_news():
            self._news_queue.add(item)
        # Guards against a new instance whose live list still shows one that
        # left: it would send requests there until its probes fail.
        for other in self.records_by_id.values():
            if other.state is InstanceState.LEFT:
                self._news_queue.add(other.to_news())
        if record.incarnation:
            self._queue_news(record.to_news())

    def _queue_news(self, news: News) -> None:
        self._news_queue.add(news)
        self.push_pending = True

    def compose_news(self, target: str) -> tuple[News, ...]:
        """Return the news to attach to a message to the target.

        The own record and the tree revision go with every message, so any
        later message makes up for a lost one. So does the target's record
        unless it is alive, so that the target can refute it.
        """
        news = [self.own.to_news()]
        record = self.records_by_id.get(target)
        if record is not None and record.state is not InstanceState.ALIVE:
            news.append(record.to_news())
        if self.held_tree is not None:
            held = self.held_tree
            news.append(News(NewsKind.TREE_REVISION, held.digest, held.revision))
        news.append(self.digest)
        fleet_size = len(self.list_others()) + 1
        news += [item for item in self._news_queue.take(fleet_size) if item not in news]
        return tuple(news)
