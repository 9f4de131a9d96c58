"""Choose which instance claims an endpoint without a holder; pure."""

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from fescuekeel.components.placement.const import (
    MAX_SEEN_ENDPOINTS,
    MEMBERS_PER_HOLDER,
)
from fescuekeel.helpers.published import EndpointRecord
from fescuekeel.messages import Member
from fescuekeel.util import rendezvous

__all__ = [
    "CandidateHistory",
    "CandidateTable",
    "choose_among",
    "choose_candidate",
    "choose_holder_group",
    "list_eligible",
]


def choose_candidate(
    endpoint: EndpointRecord, members_by_id: Mapping[str, Member]
) -> str | None:
    """Return the instance that is to claim an endpoint without a holder.

    A few instances hold all endpoints of their data centre, so that one
    update covers several. Instances of other data centres take over only when
    none is left there.
    """
    return choose_among(endpoint, list_eligible(endpoint.data_centre, members_by_id))


@dataclass(slots=True)
class CandidateTable:
    """Cache of candidates, valid while the members stay the same."""

    _members_by_id: Mapping[str, Member] = field(default_factory=dict)
    _eligible_by_data_centre: dict[str, tuple[str, ...]] = field(default_factory=dict)
    _holder_groups_by_data_centre: dict[str, list[str]] = field(default_factory=dict)
    _candidates_by_name: dict[str, str | None] = field(default_factory=dict)

    def find(
        self,
        endpoint: EndpointRecord,
        members_by_id: Mapping[str, Member],
        without_path: Collection[str] = (),
    ) -> str | None:
        """Return an endpoint's candidate.

        Instances ``without_path`` to the endpoint cannot order anything there.
        They are candidates only if no instance has one.
        """
        if without_path:
            reaching = {
                id: member
                for id, member in members_by_id.items()
                if id not in without_path
            }
            if reaching:
                return choose_candidate(endpoint, reaching)
        self._reset_if_changed(members_by_id)
        name = endpoint.name
        if name not in self._candidates_by_name:
            centre = endpoint.data_centre
            if centre not in self._holder_groups_by_data_centre:
                eligible = self.list_eligible(centre, members_by_id)
                self._holder_groups_by_data_centre[centre] = choose_holder_group(
                    centre, eligible
                )
            holder_group = self._holder_groups_by_data_centre[centre]
            self._candidates_by_name[name] = rendezvous.choose(name, holder_group)
        return self._candidates_by_name[name]

    def list_eligible(
        self, data_centre: str, members_by_id: Mapping[str, Member]
    ) -> tuple[str, ...]:
        """Return the instances of a data centre, or all if none is left."""
        self._reset_if_changed(members_by_id)
        if data_centre not in self._eligible_by_data_centre:
            eligible = list_eligible(data_centre, members_by_id)
            self._eligible_by_data_centre[data_centre] = eligible
        return self._eligible_by_data_centre[data_centre]

    def _reset_if_changed(self, members_by_id: Mapping[str, Member]) -> None:
        if members_by_id is self._members_by_id:
            return
        self._members_by_id = members_by_id
        self._eligible_by_data_centre.clear()
        self._holder_groups_by_data_centre.clear()
        self._candidates_by_name.clear()


def list_eligible(
    data_centre: str, members_by_id: Mapping[str, Member]
) -> tuple[str, ...]:
    """Return the instances of a data centre, or all if none is left there."""
    eligible = [
        member.id
        for member in members_by_id.values()
        if member.data_centre == data_centre
    ]
    return tuple(sorted(eligible or members_by_id))


def choose_holder_group(data_centre: str, eligible: Collection[str]) -> list[str]:
    """Return the eligible instances that hold a data centre's endpoints."""
    holders = math.ceil(len(eligible) / MEMBERS_PER_HOLDER)
    return rendezvous.rank(data_centre, eligible)[:holders]


def choose_among(endpoint: EndpointRecord, eligible: Collection[str]) -> str | None:
    """Return the eligible instance that is to claim an endpoint."""
    holder_group: Iterable[str] = choose_holder_group(endpoint.data_centre, eligible)
    return rendezvous.choose(endpoint.name, holder_group)


@dataclass(frozen=True, slots=True)
class EligibleSet:
    """The instances eligible for some endpoints, and since when."""

    since: float
    instance_ids: tuple[str, ...]


@dataclass(slots=True)
class CandidateHistory:
    """Remember endpoints and the instances that could have held them.

    Distinguishes an endpoint that nobody can have held, which can be claimed
    without waiting for a lease, from one that another instance may hold.
    """

    _eligible_sets_by_data_centre: dict[str, list[EligibleSet]] = field(
        default_factory=dict
    )
    _seen_endpoints: dict[str, None] = field(default_factory=dict)

    def record_eligible(
        self,
        data_centres: Collection[str],
        candidates: CandidateTable,
        members_by_id: Mapping[str, Member],
        now: float,
    ) -> None:
        """Record the eligible instances of each data centre.

        A data centre without endpoints is kept: the history is needed when the
        next one appears there.
        """
        for centre in self._eligible_sets_by_data_centre.keys() | set(data_centres):
            eligible_sets = self._eligible_sets_by_data_centre.setdefault(centre, [])
            eligible = candidates.list_eligible(centre, members_by_id)
            if not eligible_sets or eligible_sets[-1].instance_ids != eligible:
                eligible_sets.append(EligibleSet(now, eligible))

    def forget_old(self, now: float, history_s: float) -> None:
        """Drop sets that ended more than ``history_s`` ago."""
        for eligible_sets in self._eligible_sets_by_data_centre.values():
            while len(eligible_sets) > 1 and now - eligible_sets[1].since >= history_s:
                del eligible_sets[0]

    def forget_eligible(self) -> None:
        """Clear the eligible sets, after a suspension."""
        self._eligible_sets_by_data_centre.clear()

    def record_seen(self, endpoints: Collection[str]) -> None:
        """Record which endpoints exist."""
        self._seen_endpoints.update(dict.fromkeys(endpoints))
        excess = len(self._seen_endpoints) - MAX_SEEN_ENDPOINTS
        for name in list(self._seen_endpoints)[: max(0, excess)]:
            del self._seen_endpoints[name]

    def was_never_held(
        self, record: EndpointRecord, own_id: str, now: float, history_s: float
    ) -> bool:
        """Return whether no other instance can have held an endpoint.

        True if the endpoint was never seen before, and if this instance has
        been its only possible candidate for as long as a claim takes to begin
        and to expire. The endpoint is then claimed without a lease's wait.
        """
        if record.name in self._seen_endpoints:
            return False
        eligible_sets = self._eligible_sets_by_data_centre[record.data_centre]
        if now - eligible_sets[0].since < history_s:
            return False
        return all(
            choose_among(record, eligible_set.instance_ids) == own_id
            for eligible_set in eligible_sets
        )
