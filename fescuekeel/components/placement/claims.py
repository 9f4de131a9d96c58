"""Decide which instance holds the claim to each endpoint.

There is no shared store for leases: holders broadcast their claims, and an
instance that receives none for an endpoint claims it itself. Two holders are
kept apart by time: a new holder sends no order before a lease has passed since
the last possible order of any other. A fencing token that grows with each
claim protects against the remaining cases.

Claims are by endpoint name, not by incarnation: a restarted endpoint keeps its
holder, since two holders' orders could otherwise overlap there.
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
    CONTACT_TIMEOUT_S,
    EARLY_ERAS,
    FENCED_HANDOVER_S,
    FIRST_HIGH_TERM,
    FIRST_HIGH_TOKEN,
    FIRST_HIGHEST_TERM,
    FIRST_HIGHEST_TOKEN,
    HOLDER_HASH_BITS,
    HOLDER_HASH_BITS_OF_HIGH_TERMS,
    HOLDER_HASH_BITS_OF_HIGHEST_TERMS,
    MAX_TERM,
    MAX_TERM_RAISE,
    MIN_TERM_RAISE,
    NEW_ENDPOINT_WAIT_S,
    PEER_CLAIM_FRESH_S,
    START_WAIT_S,
    START_WINDOW_S,
    SUSPENSION_GAP_S,
    TAKEOVER_MARGIN_S,
    TERM_RAISE_GROWTH,
    TERMS_PER_EARLY_ERA,
    TERMS_PER_LATER_ERA,
    UNFENCED_HANDOVER_S,
)
from fescuekeel.components.relay import UnreachableEndpoints
from fescuekeel.helpers.published import EndpointRecord, Position
from fescuekeel.messages import Member

__all__ = [
    "Claims",
    "OwnClaim",
    "PeerClaim",
    "compute_least_term",
    "make_fencing_token",
]


def compute_least_term(position: Position) -> int:
    """Return the term with which an instance without state begins.

    It grows with the store's position, also when the store comes back from an
    older copy and its revisions begin again.

    >>> compute_least_term(Position(0, 7)), compute_least_term(Position(2, 7))
    (7, 8589934599)
    """
    early_eras = min(position.era, EARLY_ERAS)
    later_eras = position.era - early_eras
    terms_of_eras = early_eras * TERMS_PER_EARLY_ERA + later_eras * TERMS_PER_LATER_ERA
    return min(MAX_TERM - 1, terms_of_eras + position.revision)


def make_fencing_token(term: int, instance_id: str) -> int:
    """Return the fencing token of a holder's term.

    Tokens of two holders in the same term differ, by a hash of the instance
    id.

    >>> make_fencing_token(2, "a") > make_fencing_token(1, "b")
    True
    >>> make_fencing_token(10**9, "a") > make_fencing_token(10**9 - 1, "b")
    True
    """
    identity = xxhash.xxh32_intdigest(instance_id.encode())
    terms = _find_range(term)
    return terms.get_lowest_token(term) | identity >> HOLDER_HASH_BITS - terms.hash_bits


@dataclass(frozen=True, slots=True)
class _TermRange:
    """Terms with equally many bits of the holder's hash in their tokens."""

    first_term: int
    first_token: int
    hash_bits: int

    def get_lowest_token(self, term: int) -> int:
        """Return the lowest fencing token of a term of this range."""
        return self.first_token + (term - self.first_term << self.hash_bits)


_TERM_RANGES = (
    _TermRange(
        FIRST_HIGHEST_TERM, FIRST_HIGHEST_TOKEN, HOLDER_HASH_BITS_OF_HIGHEST_TERMS
    ),
    _TermRange(FIRST_HIGH_TERM, FIRST_HIGH_TOKEN, HOLDER_HASH_BITS_OF_HIGH_TERMS),
    _TermRange(0, 0, HOLDER_HASH_BITS),
)


def _find_range(term: int) -> _TermRange:
    """Return the range that a term belongs to."""
    return next(terms for terms in _TERM_RANGES if term >= terms.first_term)


@dataclass(slots=True)
class PeerClaim:
    """The last received claim of another instance.

    ``latest_order_at`` is the latest time at which it can have sent an order.
    """

    holder: str
    term: int
    received_at: float
    latest_order_at: float
    released: bool = False

    @property
    def rank(self) -> int:
        """Return the fencing token; the lowest of a term without a holder."""
        if not self.holder:
            return _find_range(self.term).get_lowest_token(self.term)
        return make_fencing_token(self.term, self.holder)


@dataclass(slots=True)
class OwnClaim:
    """A claim of this instance, which sends orders while ``held``.

    ``contact_since`` is the start of the current uninterrupted contact with
    the endpoint, and ``last_contact`` its last answer. ``never_held`` says
    that nobody else can have held the endpoint before. ``least_term`` is the
    least term at the time when ``term`` was chosen.
    """

    since: float
    never_held: bool = False
    term: int = 0
    least_term: int = 0
    held: bool = False
    last_order: float | None = None
    contact_since: float | None = None
    last_contact: float = 0.0

    def get_rank(self, own_id: str) -> int:
        """Return the fencing token, by which claims are compared."""
        return make_fencing_token(self.term, own_id)


@dataclass(slots=True)
class Claims:
    """The claims to all endpoints, of this instance and of its peers.

    Times are seconds of a clock that also advances while the machine is
    suspended; on any other, a lease would outlive a suspension. ``fenced``
    says that endpoints reject the orders of an earlier holder. Instances that
    ``unreachable`` lists for an endpoint are not its candidates.
    """

    own_id: str
    lease_s: float
    fenced: bool = False
    unreachable: UnreachableEndpoints = field(default_factory=UnreachableEndpoints)
    peer_claims_by_endpoint: dict[str, PeerClaim] = field(default_factory=dict)
    own_claims_by_endpoint: dict[str, OwnClaim] = field(default_factory=dict)
    _past_terms_by_endpoint: dict[str, int] = field(default_factory=dict)
    _candidates: CandidateTable = field(default_factory=CandidateTable)
    _history: CandidateHistory = field(default_factory=CandidateHistory)
    _last_inputs: tuple[object, object, int] = (None, None, 0)
    _own_candidacies: list[str] = field(default_factory=list)
    _started: float | None = None
    _last_step: float | None = None

    def receive_claim(
        self,
        endpoint: str,
        holder: str,
        term: int,
        released: bool,
        last_order_age_s: float,
        now: float,
    ) -> bool:
        """Process another instance's claim; return whether it is in force.

        The higher fencing token wins, so that all instances that received
        both claims agree with each other and with the endpoint. An expired
        claim is replaced by any that is held, as its holder may be gone.
        """
        if holder == self.own_id:
            return False
        rank = make_fencing_token(term, holder)
        known = self.peer_claims_by_endpoint.get(endpoint)
        if known is not None and rank < known.rank:
            if released or now - known.received_at <= CLAIM_TTL_S:
                return False
            self._record_past_term(endpoint, known.term)
        own = self.own_claims_by_endpoint.get(endpoint)
        if own is not None and own.held and own.get_rank(self.own_id) > rank:
            return False
        latest_order_at = now - last_order_age_s if released else now
        if known is not None and known.holder != holder:
            latest_order_at = max(latest_order_at, known.latest_order_at)
        self.peer_claims_by_endpoint[endpoint] = PeerClaim(
            holder, term, now, latest_order_at, released
        )
        if not released:
            self.own_claims_by_endpoint.pop(endpoint, None)
        return True

    def find_holder(self, endpoint: str, now: float) -> str | None:
        """Return the known holder of an endpoint."""
        own = self.own_claims_by_endpoint.get(endpoint)
        if own is not None and own.held:
            return self.own_id
        peer_claim = self.peer_claims_by_endpoint.get(endpoint)
        if (
            peer_claim is None
            or peer_claim.released
            or now - peer_claim.received_at > CLAIM_TTL_S
        ):
            return None
        return peer_claim.holder

    def list_claimed(self) -> set[str]:
        """Return the endpoints for which any claim is known."""
        return self.own_claims_by_endpoint.keys() | self.peer_claims_by_endpoint.keys()

    def find_candidate(
        self, record: EndpointRecord, members_by_id: Mapping[str, Member]
    ) -> str | None:
        """Return the instance that is to claim an unheld endpoint."""
        without_path = self.unreachable.list_without(record.name)
        return self._candidates.find(record, members_by_id, without_path)

    def step(
        self,
        endpoints_by_name: Mapping[str, EndpointRecord],
        members_by_id: Mapping[str, Member],
        left: Collection[str],
        least_term: int,
        now: float,
    ) -> list[str]:
        """Start or complete claims that are due; return the newly held names.

        Guards against claims that outlive a suspension of the machine, which
        shows as a gap between two steps: another instance may have taken over
        since. Every claim restarts then, with its full wait.
        """
        if self._last_step is not None and now - self._last_step > SUSPENSION_GAP_S:
            self.own_claims_by_endpoint.clear()
            self._history.forget_eligible()
            self._last_inputs = (None, None, 0)
        self._last_step = now
        if self._started is None:
            self._started = now
        changed = self._update_candidacies(endpoints_by_name, members_by_id, now)
        newly_held = []
        for name in dict.fromkeys(
            [*self._own_candidacies, *self.own_claims_by_endpoint]
        ):
            record = endpoints_by_name[name]
            if self._step_endpoint(record, members_by_id, left, least_term, now):
                newly_held.append(name)
        if changed:
            self._history.record_seen(endpoints_by_name)
        return newly_held

    def _update_candidacies(
        self,
        endpoints_by_name: Mapping[str, EndpointRecord],
        members_by_id: Mapping[str, Member],
        now: float,
    ) -> bool:
        """Update this instance's candidacies; return whether inputs changed.

        A step visits only the endpoints of this instance, so that its cost
        does not grow with the fleet.
        """
        self._history.forget_old(now, self._claim_history_s)
        known_endpoints, known_members, known_version = self._last_inputs
        if (
            endpoints_by_name is known_endpoints
            and members_by_id is known_members
            and self.unreachable.version == known_version
        ):
            return False
        version = self.unreachable.version
        self._last_inputs = (endpoints_by_name, members_by_id, version)
        centres = {record.data_centre for record in endpoints_by_name.values()}
        self._history.record_eligible(centres, self._candidates, members_by_id, now)
        for known in list(self.own_claims_by_endpoint):
            if known not in endpoints_by_name:
                del self.own_claims_by_endpoint[known]
        for known in list(self.peer_claims_by_endpoint):
            if known not in endpoints_by_name:
                del self.peer_claims_by_endpoint[known]
                self._past_terms_by_endpoint.pop(known, None)
        self._own_candidacies = [
            name
            for name, record in endpoints_by_name.items()
            if self.find_candidate(record, members_by_id) == self.own_id
        ]
        return True

    @property
    def _claim_history_s(self) -> float:
        """Return how long a claim takes to begin and to expire."""
        return self.lease_s + TAKEOVER_MARGIN_S + CLAIM_TTL_S

    def _step_endpoint(
        self,
        record: EndpointRecord,
        members_by_id: Mapping[str, Member],
        left: Collection[str],
        least_term: int,
        now: float,
    ) -> bool:
        own = self.own_claims_by_endpoint.get(record.name)
        if own is not None and own.held:
            return False
        peer_claim = self.peer_claims_by_endpoint.get(record.name)
        if peer_claim is not None and self._is_valid(
            peer_claim, members_by_id, left, now
        ):
            self.own_claims_by_endpoint.pop(record.name, None)
            return False
        if self.find_candidate(record, members_by_id) != self.own_id:
            self.own_claims_by_endpoint.pop(record.name, None)
            return False
        if own is None:
            never_held = peer_claim is None and self._history.was_never_held(
                record, self.own_id, now, self._claim_history_s
            )
            own = self.own_claims_by_endpoint[record.name] = OwnClaim(now, never_held)
        # Guards against a claim from behind a partition, where all peers seem
        # dead while one of them still holds the endpoint. The endpoint then
        # does not answer; once it does, its holder's updates arrive before
        # the wait ends.
        if own.contact_since is None:
            return False
        if now < self._get_claim_time(own, peer_claim, now):
            return False
        own.term = self._choose_term(record.name, least_term)
        own.least_term = least_term
        own.held = True
        return True

    def _get_claim_time(
        self, own: OwnClaim, peer_claim: PeerClaim | None, now: float
    ) -> float:
        """Return when the first order to an endpoint may be sent.

        Where endpoints check fencing tokens, a silent holder is replaced a
        lease after its last update, provided that this instance has reached
        the endpoint for long enough to receive another holder's claim. Late
        orders of the old holder are rejected by the endpoint.
        """
        assert own.contact_since is not None
        wait_s = self.lease_s + TAKEOVER_MARGIN_S
        if peer_claim is None:
            # Another instance may have sent orders until just now.
            if own.never_held:
                wait_s = NEW_ENDPOINT_WAIT_S
            elif self.fenced and self._began_at_start(own):
                wait_s = START_WAIT_S
            return max(own.since, own.contact_since) + wait_s
        due = peer_claim.latest_order_at + wait_s
        fresh = now - peer_claim.received_at < PEER_CLAIM_FRESH_S
        if peer_claim.released and fresh:
            # The holder has just announced that it sends no more orders. The
            # fencing token rejects those still in transit.
            handover_s = FENCED_HANDOVER_S if self.fenced else UNFENCED_HANDOVER_S
            return max(due, max(peer_claim.received_at, own.since) + handover_s)
        if self.fenced and fresh and not peer_claim.released:
            return max(
                peer_claim.received_at + self.lease_s, own.contact_since + START_WAIT_S
            )
        return max(due, own.contact_since + wait_s)

    def _began_at_start(self, own: OwnClaim) -> bool:
        """Return whether a candidacy began right after startup.

        Such a candidacy need not wait for a full lease where endpoints check
        fencing tokens.
        """
        return self._started is not None and own.since - self._started < START_WINDOW_S

    def _is_valid(
        self,
        peer_claim: PeerClaim,
        members_by_id: Mapping[str, Member],
        left: Collection[str],
        now: float,
    ) -> bool:
        if peer_claim.released or peer_claim.holder in left:
            return False
        return (
            now - peer_claim.received_at <= CLAIM_TTL_S
            and peer_claim.holder in members_by_id
        )

    def _choose_term(self, endpoint: str, least_term: int) -> int:
        """Return a term above all known ones, and no lower than the least.

        An instance without state begins with the least one, which follows
        from the store's position.
        """
        peer_claim = self.peer_claims_by_endpoint.get(endpoint)
        lowest = max(
            peer_claim.term if peer_claim else 0,
            self._past_terms_by_endpoint.get(endpoint, 0),
        )
        return min(MAX_TERM - 1, max(lowest + 1, least_term))

    def record_contact(self, endpoint: str, answered: bool, now: float) -> None:
        """Record whether an endpoint claimed here has answered."""
        own = self.own_claims_by_endpoint.get(endpoint)
        if own is None:
            return
        if answered:
            own.last_contact = now
            if own.contact_since is None:
                own.contact_since = now
        elif not own.held or now - own.last_contact > CONTACT_TIMEOUT_S:
            own.contact_since = None

    def is_held(self, endpoint: str) -> bool:
        """Return whether an endpoint is held here and reachable."""
        own = self.own_claims_by_endpoint.get(endpoint)
        return own is not None and own.held and own.contact_since is not None

    def list_unreachable(self) -> list[str]:
        """Return the endpoints that are held here and out of contact."""
        return [
            id
            for id, own in self.own_claims_by_endpoint.items()
            if own.held and own.contact_since is None
        ]

    def release(self, endpoint: str) -> OwnClaim | None:
        """Release one claim, so that another instance can take over."""
        return self.own_claims_by_endpoint.pop(endpoint, None)

    def may_order(self, endpoint: str, now: float) -> bool:
        """Return whether an order may be sent right now.

        Checked right before writing to the connection, since the machine may
        have been suspended after the decision. An endpoint that was out of
        contact gets no order either: when a partition heals, another instance
        may hold it, and the orders of both would exceed its adapter capacity.
        """
        own = self.own_claims_by_endpoint.get(endpoint)
        fresh = (
            self._last_step is not None and now - self._last_step <= SUSPENSION_GAP_S
        )
        if own is None or not own.held or not fresh:
            return False
        return now - own.last_contact <= CONTACT_TIMEOUT_S

    def record_order(self, endpoint: str, now: float) -> None:
        """Record that an order was sent."""
        own = self.own_claims_by_endpoint.get(endpoint)
        if own is not None:
            own.last_order = now

    def record_fenced(self, endpoint: str, now: float) -> None:
        """Release a claim whose fencing token the endpoint rejected.

        Another holder has a higher one. The next claim begins after a lease
        and raises the term, since the other holder's is not known.
        """
        own = self.own_claims_by_endpoint.pop(endpoint, None)
        if own is None:
            return
        self._record_past_term(endpoint, own.term + _compute_raise(own))
        self.peer_claims_by_endpoint[endpoint] = PeerClaim(
            "", own.term, now, now, released=True
        )

    def _record_past_term(self, endpoint: str, term: int) -> None:
        """Record a term above which own claims must begin."""
        known = self._past_terms_by_endpoint.get(endpoint, 0)
        self._past_terms_by_endpoint[endpoint] = max(known, term)

    def release_all(self) -> None:
        """Release every claim, before this instance leaves."""
        self.own_claims_by_endpoint.clear()


def _compute_raise(own: OwnClaim) -> int:
    """Return by how much the term rises after its token was rejected.

    It grows from one rejection to the next, since it follows from how far the
    term is above the least one. It does not follow from the term itself, which
    would reach its limit after few rejections at a high revision.
    """
    above_least = own.term - own.least_term
    return min(MAX_TERM_RAISE, max(MIN_TERM_RAISE, TERM_RAISE_GROWTH * above_least))
