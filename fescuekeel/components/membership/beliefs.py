"""What is believed of each instance, and what is told of it."""

import itertools

import xxhash

from fescuekeel.components.membership.const import (
    DEAD_KEPT_S,
    LEFT_KEPT_S,
    MAX_MEMBERS,
    MAX_SYNC,
)
from fescuekeel.components.membership.leaving import LeavingEndpoints
from fescuekeel.components.membership.news import NewsQueue
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
    PeerMet,
    TreeHeld,
)

__all__ = ["Beliefs"]


class Beliefs:
    """Hold records, merge what is heard into them, and compose what is told.

    ``changed`` tells that the view may have changed, ``urgent`` that there is
    news to pass on at once; whoever acts on either takes it back.

    >>> beliefs = Beliefs(Member("i1", "127.0.0.1:1", "dc1", 1))
    >>> beliefs.meet(PeerMet("i2", "127.0.0.1:2", "dc1", 1), now=0.0)
    >>> beliefs.list_others(), beliefs.urgent
    ({'i2'}, True)
    """

    def __init__(self, own: Member) -> None:
        self.own = Record(
            own.id,
            own.address,
            own.data_centre,
            own.incarnation,
            InstanceState.ALIVE,
            0.0,
        )
        self.records_by_id = {own.id: self.own}
        self.held: TreeHeld | None = None
        self.changed = True
        self.urgent = False
        self._news = NewsQueue()
        self._leaving = LeavingEndpoints()
        self._live = LiveList()
        self._digest: News | None = None

    @property
    def held_revision(self) -> int:
        """Return the tree's revision that this instance holds, or zero."""
        return 0 if self.held is None else self.held.revision

    @property
    def digest(self) -> News:
        """Return a digest of the members, equal for all who know the same.

        It tells nothing of who is dead, which some may never have heard of.
        """
        if self._digest is None:
            known = sorted(
                f"{record.id} {record.incarnation}"
                for record in self.records_by_id.values()
                if record.present and record.incarnation
            )
            digest = xxhash.xxh3_64_hexdigest("\n".join(known).encode())
            self._digest = News(NewsKind.MEMBERS_DIGEST, digest, len(known))
        return self._digest

    def list_all_news(self) -> tuple[News, ...]:
        """Return what is believed of each instance."""
        heard = (record for record in self.records_by_id.values() if record.incarnation)
        return tuple(record.to_news() for record in itertools.islice(heard, MAX_SYNC))

    @property
    def has_fresh_news(self) -> bool:
        """Tell whether there is news that few have been told."""
        return self._news.has_fresh

    # News of peers.

    def hear(self, item: News, now: float) -> None:
        """Merge news of an instance."""
        if item.subject == self.own.id:
            self._refute(item)
            return
        state = STATES_BY_KIND[item.kind]
        record = self.records_by_id.get(item.subject)
        if record is None:
            if state is InstanceState.ALIVE and item.address:
                self._add(item, now)
            return
        if not overrides(item, record):
            return
        if item.address:
            record.address = item.address
            record.data_centre = item.data_centre
        self.change(record, state, now, item.incarnation)

    def _refute(self, item: News) -> None:
        """Take back what others believe of this instance.

        A lower incarnation is an earlier life or was guessed from the live
        list; our own, told again, overrides it.
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
        self._tell(own.to_news())

    def note_leaving(self, event: EndpointLeaving, now: float) -> None:
        """Take note of an endpoint that is leaving, and pass it on."""
        if self._leaving.note(event.endpoint, event.incarnation, now):
            self.changed = True
            self._tell(
                News(NewsKind.ENDPOINT_LEAVING, event.endpoint, event.incarnation)
            )

    # Sources other than peers' news.

    def meet(self, met: PeerMet, now: float) -> None:
        """Merge what a connection has shown."""
        if met.instance_id != self.own.id and met.address:
            item = News(
                NewsKind.ALIVE,
                met.instance_id,
                met.incarnation,
                met.address,
                met.data_centre,
            )
            self.hear(item, now)

    def merge_live(self, live: LiveList, now: float) -> None:
        """Take the lagging list as a hint on who could be there.

        It only adds: who answers probes stays although the list has dropped
        it, and who is dead by probes stays so although the list has it, until
        the list shows a new incarnation.
        """
        self._live = live
        self.changed = True
        for entry in live.entries_by_id.values():
            if entry.role is LiveRole.ENDPOINT:
                if entry.leaving:
                    event = EndpointLeaving(entry.id, entry.incarnation)
                    self.note_leaving(event, now)
            elif entry.id != self.own.id:
                self._merge_instance(entry, now)

    def _merge_instance(self, entry: LiveEntry, now: float) -> None:
        record = self.records_by_id.get(entry.id)
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
            self.change(record, InstanceState.ALIVE, now, record.incarnation + 1)

    # Records.

    def _add(self, item: News, now: float, live_incarnation: int = 0) -> None:
        if len(self.records_by_id) >= MAX_MEMBERS:
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
        self.records_by_id[record.id] = record
        self._digest = None
        self.changed = True
        self._greet(record)

    def change(
        self,
        record: Record,
        state: InstanceState,
        now: float,
        incarnation: int | None = None,
    ) -> None:
        """Enter a state, of the same incarnation if none is given; tell it."""
        incarnation = record.incarnation if incarnation is None else incarnation
        was_present = record.present
        renewed = incarnation > record.incarnation
        if record.state is not state:
            record.since = now
        record.state = state
        record.incarnation = incarnation
        self._digest = None
        self.changed = True
        if record.present and (renewed or not was_present):
            self._greet(record)
        else:
            self._tell(record.to_news())

    def prune(self, now: float) -> None:
        """Forget who has long been dead or gone."""
        self._leaving.prune(self._live, now)
        for record in list(self.records_by_id.values()):
            age = now - record.since
            gone = record.state is InstanceState.DEAD and age > DEAD_KEPT_S
            left = record.state is InstanceState.LEFT and age > LEFT_KEPT_S
            listed = record.id in self._live.entries_by_id
            if (gone or left) and not listed and record is not self.own:
                del self.records_by_id[record.id]

    def list_others(self) -> set[str]:
        """Return the other members."""
        return {
            record.id
            for record in self.records_by_id.values()
            if record.present and record is not self.own
        }

    def list_in(self, state: InstanceState) -> set[str]:
        """Return the others that are in a state."""
        return {
            record.id
            for record in self.records_by_id.values()
            if record.state is state and record is not self.own
        }

    def make_view(self) -> MemberView:
        """Return what other components see.

        A suspect stays a member: most suspicions are refuted, and moving an
        endpoint to another owner and back costs more than waiting a second.
        """
        members = {
            record.id: record.to_member()
            for record in self.records_by_id.values()
            if record.present
        }
        # The last one keeps what it owns while it drains.
        if not members:
            members = {self.own.id: self.own.to_member()}
        left = frozenset(
            record.id
            for record in self.records_by_id.values()
            if record.state is InstanceState.LEFT
        )
        return MemberView(members, self._leaving.select(self._live), left)

    # What is told.

    def _greet(self, record: Record) -> None:
        # What leaves may have been told for the last time before it came. A
        # higher incarnation may be a new life that has heard nothing.
        for item in self._leaving.list_news():
            self._news.add(item)
        # Guards against a fresh instance whose live list still shows one that
        # left: it would send requests there, and find out by probes alone.
        for other in self.records_by_id.values():
            if other.state is InstanceState.LEFT:
                self._news.add(other.to_news())
        if record.incarnation:
            self._tell(record.to_news())

    def _tell(self, news: News) -> None:
        self._news.add(news)
        self.urgent = True

    def compose(self, target: str) -> tuple[News, ...]:
        """Return what a message to the target carries.

        Our own record and the tree's revision go with every message, so that
        any contact mends what was lost on the way. So does a bad belief about
        the target, which can refute it at once.
        """
        news = [self.own.to_news()]
        record = self.records_by_id.get(target)
        if record is not None and record.state is not InstanceState.ALIVE:
            news.append(record.to_news())
        if self.held is not None:
            held = self.held
            news.append(News(NewsKind.TREE_REVISION, held.digest, held.revision))
        news.append(self.digest)
        fleet = len(self.list_others()) + 1
        news += [item for item in self._news.take(fleet) if item not in news]
        return tuple(news)
