"""Choose an endpoint for a request; pure."""

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from enum import StrEnum

from fescuekeel.components.allowance import Permit
from fescuekeel.components.endpoints import EndpointLoad, ListBlocks, list_preferred
from fescuekeel.components.forward.const import (
    CROSS_CENTRE_COST_S,
    HOME_COST_SLACK_S,
    HOMES_PER_ADAPTER,
    MAX_COMPARED,
    SPREAD_COST_GAP_S,
)
from fescuekeel.helpers.placement_view import PlacementView
from fescuekeel.helpers.published import EndpointRecord, Weights
from fescuekeel.util import rendezvous

__all__ = ["Choice", "ChoiceReason", "EngineQuery", "choose_engine", "choose_plain"]


class ChoiceReason(StrEnum):
    """Why an endpoint was chosen."""

    LEAST_COST = "least_cost"
    HOLDS = "holds"
    OLDER_VERSION = "older_version"
    TO_LOAD = "to_load"


@dataclass(frozen=True, slots=True)
class Choice:
    """The endpoint chosen for a request.

    With ``needs_load`` the weights must be loaded there first. ``spread_to``
    is an endpoint that should load an additional copy. ``version`` is the
    adapter version that the endpoint must have, ``None`` for a base model.
    ``within_limit`` says that a part of the endpoint's rate limit was taken
    for the request, and ``permit`` its permit there, if it needs one.
    ``software`` is the endpoint's software version, and ``unconfirmed`` says
    that its entry was missing.
    """

    endpoint: str
    reason: ChoiceReason
    cost_s: float
    needs_load: bool = False
    spread_to: str = ""
    version: int | None = None
    within_limit: bool = False
    permit: Permit | None = None
    software: str = ""
    unconfirmed: bool = False


@dataclass(frozen=True, slots=True)
class EngineQuery:
    """The inputs for choosing an engine endpoint.

    ``newest`` is the newest published version of the adapter, 0 if there is
    none, and ``oldest_allowed`` the oldest one that may still serve. ``key``
    identifies the request and breaks ties between endpoints of equal cost, so
    that instances without load reports do not all choose the same one.
    """

    weights: Weights
    prompt_tokens: int
    slots: int
    newest: int
    oldest_allowed: int
    key: str = ""
    data_centre: str = ""


def choose_plain(
    endpoints_by_id: Mapping[str, EndpointRecord],
    loads_by_id: Callable[[str], EndpointLoad],
    tried: Collection[str],
    data_centre: str,
    list_blocks: ListBlocks,
    now: float,
) -> Choice | None:
    """Return the endpoint of least cost, preferring the own data centre.

    ``list_blocks`` returns what is against sending to an endpoint.
    """
    untried = (id for id in endpoints_by_id if id not in tried)
    candidates = list_preferred(untried, list_blocks)
    if not candidates:
        return None

    def rank(id: str) -> tuple[float, bool, str]:
        record = endpoints_by_id[id]
        cost_s = loads_by_id(id).estimate_plain_s(record.slots, now)
        return round(cost_s, 3), record.data_centre != data_centre, id

    best = min(candidates, key=rank)
    return Choice(best, ChoiceReason.LEAST_COST, rank(best)[0])


def choose_engine(
    query: EngineQuery,
    endpoints_by_id: Mapping[str, EndpointRecord],
    loads_by_id: Callable[[str], EndpointLoad],
    view: PlacementView,
    tried: Collection[str],
    list_blocks: ListBlocks,
    now: float,
) -> Choice | None:
    """Return the endpoint for a prompt, and whether to load its weights.

    A base model is available everywhere, so the least cost decides. An adapter
    is served by the cheapest endpoint that holds it; if its cost is far above
    that of an endpoint without the adapter, the latter should load a copy.
    ``list_blocks`` returns what is against sending to an endpoint.
    """
    model = Weights(query.weights.model)
    usable = {
        id: record
        for id, record in endpoints_by_id.items()
        if view.find_version(record, model, now) is not None
    }
    untried = (id for id in usable if id not in tried)
    candidates = list_preferred(untried, list_blocks)
    if not candidates:
        return None

    def estimate_s(id: str) -> float:
        cost_s = loads_by_id(id).estimate_engine_s(
            query.prompt_tokens, query.slots, view.read_load(id, now), now
        )
        far = endpoints_by_id[id].data_centre != query.data_centre
        return cost_s + (CROSS_CENTRE_COST_S if far else 0.0)

    if not query.weights.adapter:
        best, cost_s = _choose_cheapest(query, candidates, estimate_s)
        return Choice(best, ChoiceReason.LEAST_COST, cost_s)
    versions_by_id = {
        id: version
        for id in candidates
        if (version := view.find_version(usable[id], query.weights, now)) is not None
    }
    return _choose_for_adapter(query, candidates, versions_by_id, estimate_s)


def _choose_cheapest(
    query: EngineQuery,
    ids: Collection[str],
    estimate_s: Callable[[str], float],
) -> tuple[str, float]:
    """Return the cheapest endpoint of a sample, and its cost.

    The sample differs for each request. Its size is limited, so that the cost
    of a choice does not grow with the number of endpoints.
    """
    compared = rendezvous.rank(query.key, ids)[:MAX_COMPARED]
    costs_by_id = {id: estimate_s(id) for id in compared}
    best = min(compared, key=costs_by_id.__getitem__)
    return best, costs_by_id[best]


def _choose_for_adapter(
    query: EngineQuery,
    candidates: Collection[str],
    versions_by_id: dict[str, int],
    estimate_s: Callable[[str], float],
) -> Choice:
    current = [id for id, held in versions_by_id.items() if held >= query.newest]
    older = [
        id
        for id, held in versions_by_id.items()
        if query.oldest_allowed <= held < query.newest
    ]
    # An older version that is in use cannot be replaced in place, so a newer
    # one is loaded at endpoints without the adapter.
    free = [id for id in candidates if id not in versions_by_id]
    target = _choose_target(query, free, estimate_s)
    serving = current or older
    if not serving:
        home, cost_s = target or _choose_cheapest(query, candidates, estimate_s)
        return Choice(home, ChoiceReason.TO_LOAD, cost_s, True, "", query.newest)
    best, cost_s = _choose_cheapest(query, serving, estimate_s)
    reason = ChoiceReason.HOLDS if current else ChoiceReason.OLDER_VERSION
    spread_to = ""
    if target is not None:
        home, home_cost_s = target
        if not current or cost_s - home_cost_s > SPREAD_COST_GAP_S:
            spread_to = home
    return Choice(best, reason, cost_s, False, spread_to, versions_by_id[best])


def _choose_target(
    query: EngineQuery,
    free: Collection[str],
    estimate_s: Callable[[str], float],
) -> tuple[str, float] | None:
    """Return the endpoint that should load a copy, and its cost.

    An adapter's homes are its first endpoints by rendezvous hashing. All
    instances agree on them, and an endpoint that had the adapter before may
    still have it cached. A congested home is skipped for the next one.
    """
    homes = rendezvous.rank(str(query.weights), free)[:HOMES_PER_ADAPTER]
    if not homes:
        return None
    costs_by_id = {id: estimate_s(id) for id in homes}
    max_cost_s = min(costs_by_id.values()) + HOME_COST_SLACK_S
    return next(
        (id, cost_s) for id, cost_s in costs_by_id.items() if cost_s <= max_cost_s
    )
