"""Decide who holds the orders to each endpoint.

There is no shared place to write a lease to: holders tell all instances what
they hold, and an instance that hears of no holder for a while claims the
endpoint itself. What keeps two holders apart is time: nobody gives an order
before a lease has passed since any other holder can have given one. A fencing
number that grows with each claim guards the rest.

A claim is to an endpoint by its name, whichever its start: an endpoint that
starts again under its name keeps its holder, since orders of two would meet
there otherwise.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

import xxhash

from fescuekeel.components.placement.candidates import (
    CandidateHistory,
    CandidateTable,
)
from fescuekeel.components.placement.const import (
    CLAIM_TTL_S,
    CONTACT_LOST_S,
    FENCED_HANDOVER_S,
    IDENTITY_BITS,
    LAST_WORD_FRESH_S,
    MAX_TERM,
    NEW_ENDPOINT_WAIT_S,
    PAUSE_S,
    START_WAIT_S,
    START_WINDOW_S,
    TAKEOVER_MARGIN_S,
    UNFENCED_HANDOVER_S,
)
from fescuekeel.helpers.published import EndpointRecord
from fescuekeel.messages import Member

__all__ = ["Claims", "HeardClaim", "OwnClaim", "make_fence"]


@dataclass(slots=True)
class HeardClaim:
    """The claim of another instance, as it was last heard.

    ``quiet_from`` is the latest time at which it can have given an order.
    """

    holder: str
    term: int
    heard: float
    quiet_from: float
    released: bool = False


@dataclass(slots=True)
class OwnClaim:
    """Our own claim; orders are given once ``held`` is true.

    ``contact_since`` is since when the endpoint has answered without a gap,
    ``contact`` when it last did. ``unheld`` says that nobody can have held
    the endpoint before.
    """

    since: float
    unheld: bool = False
    term: int = 0
    held: bool = False
    last_order: float | None = None
    contact_since: float | None = None
    contact: float = 0.0


def make_fence(term: int, instance_id: str) -> int:
    """Return the fencing number of a term of one holder.

    Two holders with the same term still differ, by 32 bits of their identity.

    >>> make_fence(2, "a") > make_fence(1, "b")
    True
    """
    identity = xxhash.xxh32_intdigest(instance_id.encode())
    return (term << IDENTITY_BITS) | identity


@dataclass(slots=True)
class Claims:
    """Hold what is claimed, by whom, and since when.

    All times are seconds of a clock that goes on while the machine is
    suspended: a lease that is checked on any other is still valid after the
    machine has slept through its end. ``fenced`` says that endpoints refuse
    the orders of an earlier holder.
    """

    own_id: str
    lease_s: float
    fenced: bool = False
    heard_by_endpoint: dict[str, HeardClaim] = field(default_factory=dict)
    own_by_endpoint: dict[str, OwnClaim] = field(default_factory=dict)
    _refused_terms_by_endpoint: dict[str, int] = field(default_factory=dict)
    _candidates: CandidateTable = field(default_factory=CandidateTable)
    _history: CandidateHistory = field(default_factory=CandidateHistory)
    _looked_at: tuple[object, object] = (None, None)
    _own_candidacies: list[str] = field(default_factory=list)
    _started: float | None = None
    _last_step: float | None = None

    def hear(
        self,
        endpoint: str,
        holder: str,
        term: int,
        released: bool,
        quiet_s: float,
        now: float,
    ) -> bool:
        """Take another instance's claim; true if it is the one in force.

        The higher term wins, and of equal ones the greater holder, so that
        all who have heard both agree.
        """
        if holder == self.own_id:
            return False
        known = self.heard_by_endpoint.get(endpoint)
        if known is not None and (term, holder) < (known.term, known.holder):
            return False
        own = self.own_by_endpoint.get(endpoint)
        if own is not None and own.held and (own.term, self.own_id) > (term, holder):
            return False
        quiet_from = now - quiet_s if released else now
        if known is not None and known.holder != holder:
            quiet_from = max(quiet_from, known.quiet_from)
        self.heard_by_endpoint[endpoint] = HeardClaim(
            holder, term, now, quiet_from, released
        )
        if not released:
            self.own_by_endpoint.pop(endpoint, None)
        return True

    def find_holder(self, endpoint: str, now: float) -> str | None:
        """Return who holds an endpoint's orders, as far as it is known."""
        own = self.own_by_endpoint.get(endpoint)
        if own is not None and own.held:
            return self.own_id
        heard = self.heard_by_endpoint.get(endpoint)
        if heard is None or heard.released or now - heard.heard > CLAIM_TTL_S:
            return None
        return heard.holder

    def list_claimed(self) -> set[str]:
        """Return the endpoints of which any claim is known here."""
        return self.own_by_endpoint.keys() | self.heard_by_endpoint.keys()

    def find_candidate(
        self, record: EndpointRecord, members_by_id: Mapping[str, Member]
    ) -> str | None:
        """Return who is to claim an endpoint that nobody holds."""
        return self._candidates.find(record, members_by_id)

    def step(
        self,
        endpoints_by_name: Mapping[str, EndpointRecord],
        members_by_id: Mapping[str, Member],
        left: Collection[str],
        revision: int,
        now: float,
    ) -> list[str]:
        """Claim what is due; return the endpoints that are newly held.

        Guards against a machine that was suspended: it wakes up believing in
        a claim that others have taken over, which shows as a gap between two
        steps. Every claim begins anew then, with its whole wait.
        """
        if self._last_step is not None and now - self._last_step > PAUSE_S:
            self.own_by_endpoint.clear()
            self._history.forget_views()
            self._looked_at = (None, None)
        self._last_step = now
        if self._started is None:
            self._started = now
        changed = self._look_at(endpoints_by_name, members_by_id, now)
        newly = []
        for name in dict.fromkeys([*self._own_candidacies, *self.own_by_endpoint]):
            record = endpoints_by_name[name]
            if self._step_endpoint(record, members_by_id, left, revision, now):
                newly.append(name)
        if changed:
            self._history.note_seen(endpoints_by_name)
        return newly

    def _look_at(
        self,
        endpoints_by_name: Mapping[str, EndpointRecord],
        members_by_id: Mapping[str, Member],
        now: float,
    ) -> bool:
        """Find what concerns this instance; true if anything may be new.

        A step goes through its own endpoints only, so that an idle instance
        does not work for those of a whole fleet ten times a second.
        """
        self._history.forget_old(now, self._claim_memory_s)
        known_endpoints, known_members = self._looked_at
        if endpoints_by_name is known_endpoints and members_by_id is known_members:
            return False
        self._looked_at = (endpoints_by_name, members_by_id)
        centres = {record.data_centre for record in endpoints_by_name.values()}
        self._history.note_near(centres, self._candidates, members_by_id, now)
        for known in list(self.own_by_endpoint):
            if known not in endpoints_by_name:
                del self.own_by_endpoint[known]
        for known in list(self.heard_by_endpoint):
            if known not in endpoints_by_name:
                del self.heard_by_endpoint[known]
                self._refused_terms_by_endpoint.pop(known, None)
        self._own_candidacies = [
            name
            for name, record in endpoints_by_name.items()
            if self.find_candidate(record, members_by_id) == self.own_id
        ]
        return True

    @property
    def _claim_memory_s(self) -> float:
        """Return how long a claim takes to begin and to be forgotten."""
        return self.lease_s + TAKEOVER_MARGIN_S + CLAIM_TTL_S

    def _step_endpoint(
        self,
        record: EndpointRecord,
        members_by_id: Mapping[str, Member],
        left: Collection[str],
        revision: int,
        now: float,
    ) -> bool:
        own = self.own_by_endpoint.get(record.name)
        if own is not None and own.held:
            return False
        heard = self.heard_by_endpoint.get(record.name)
        if heard is not None and self._is_valid(heard, members_by_id, left, now):
            self.own_by_endpoint.pop(record.name, None)
            return False
        if self.find_candidate(record, members_by_id) != self.own_id:
            self.own_by_endpoint.pop(record.name, None)
            return False
        if own is None:
            unheld = heard is None and self._history.is_unheld(
                record, self.own_id, now, self._claim_memory_s
            )
            own = self.own_by_endpoint[record.name] = OwnClaim(now, unheld)
        # Guards against a claim from behind a cut: all other instances look
        # dead there, and the endpoint still gets the orders of one of them.
        # It shows as an endpoint that does not answer; and once it does, the
        # news of its holder comes well before the wait is over.
        if own.contact_since is None:
            return False
        if now < self._get_due(own, heard, now):
            return False
        own.term = self._choose_term(record.name, revision)
        own.held = True
        return True

    def _get_due(self, own: OwnClaim, heard: HeardClaim | None, now: float) -> float:
        """Return when the first order to an endpoint may be given.

        Where endpoints check fencing numbers, a holder that has fallen silent
        is followed a lease after its last word, and once this instance has
        reached the endpoint for as long as it takes to hear of another holder:
        a late order is refused. Guards against seconds in which nothing is
        loaded at the endpoints of instances that lost power.
        """
        assert own.contact_since is not None
        wait_s = self.lease_s + TAKEOVER_MARGIN_S
        if heard is None:
            # Another may have given orders until just now.
            if own.unheld:
                wait_s = NEW_ENDPOINT_WAIT_S
            elif self.fenced and self._began_at_start(own):
                wait_s = START_WAIT_S
            return max(own.since, own.contact_since) + wait_s
        due = heard.quiet_from + wait_s
        fresh = now - heard.heard < LAST_WORD_FRESH_S
        if heard.released and fresh:
            # The holder itself has just said that it gives no more orders. A
            # fencing number keeps out what it gave last.
            handover_s = FENCED_HANDOVER_S if self.fenced else UNFENCED_HANDOVER_S
            return max(due, max(heard.heard, own.since) + handover_s)
        if self.fenced and fresh and not heard.released:
            return max(heard.heard + self.lease_s, own.contact_since + START_WAIT_S)
        return max(due, own.contact_since + wait_s)

    def _began_at_start(self, own: OwnClaim) -> bool:
        """Tell whether a candidacy began with the process.

        Saves most of a lease without loads after all instances were restarted
        at once.
        """
        return self._started is not None and own.since - self._started < START_WINDOW_S

    def _is_valid(
        self,
        heard: HeardClaim,
        members_by_id: Mapping[str, Member],
        left: Collection[str],
        now: float,
    ) -> bool:
        if heard.released or heard.holder in left:
            return False
        return now - heard.heard <= CLAIM_TTL_S and heard.holder in members_by_id

    def _choose_term(self, endpoint: str, revision: int) -> int:
        """Return a term above all that are known.

        The store's revision is the one number that all can read and that only
        grows: an instance that has forgotten everything begins with it.
        """
        heard = self.heard_by_endpoint.get(endpoint)
        lowest = max(
            heard.term if heard else 0,
            self._refused_terms_by_endpoint.get(endpoint, 0),
        )
        return min(MAX_TERM - 1, max(lowest + 1, min(revision, MAX_TERM // 2)))

    def note_contact(self, endpoint: str, answered: bool, now: float) -> None:
        """Note whether an endpoint that is claimed here has answered."""
        own = self.own_by_endpoint.get(endpoint)
        if own is None:
            return
        if answered:
            own.contact = now
            if own.contact_since is None:
                own.contact_since = now
        elif not own.held or now - own.contact > CONTACT_LOST_S:
            own.contact_since = None

    def is_held(self, endpoint: str) -> bool:
        """Tell whether an endpoint is held here and answers."""
        own = self.own_by_endpoint.get(endpoint)
        return own is not None and own.held and own.contact_since is not None

    def list_out_of_contact(self) -> list[str]:
        """Return the endpoints that are held here and have fallen silent."""
        return [
            id
            for id, own in self.own_by_endpoint.items()
            if own.held and own.contact_since is None
        ]

    def release(self, endpoint: str) -> OwnClaim | None:
        """Give up one claim; another instance may reach the endpoint."""
        return self.own_by_endpoint.pop(endpoint, None)

    def may_order(self, endpoint: str, now: float) -> bool:
        """Tell whether an order may be given right now.

        Asked right before the bytes are written: between the decision and the
        order the machine may have been suspended. Nor is an order given after
        the endpoint was out of contact: behind a cut that heals in this moment
        another may hold it, and two holders' orders together overrun it.
        """
        own = self.own_by_endpoint.get(endpoint)
        fresh = self._last_step is not None and now - self._last_step <= PAUSE_S
        if own is None or not own.held or not fresh:
            return False
        return now - own.contact <= CONTACT_LOST_S

    def note_order(self, endpoint: str, now: float) -> None:
        """Note that an order was given."""
        own = self.own_by_endpoint.get(endpoint)
        if own is not None:
            own.last_order = now

    def note_fenced(self, endpoint: str, now: float) -> None:
        """Give up a claim whose fencing number the endpoint refused.

        Another holder has a higher one. The next claim begins after a lease,
        with a term that is twice as high, since the other's is not told.
        """
        own = self.own_by_endpoint.pop(endpoint, None)
        if own is None:
            return
        self._refused_terms_by_endpoint[endpoint] = 2 * own.term
        self.heard_by_endpoint[endpoint] = HeardClaim(
            "", own.term, now, now, released=True
        )

    def release_all(self) -> None:
        """Give up every claim, before this instance leaves."""
        self.own_by_endpoint.clear()
