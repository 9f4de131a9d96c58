"""Choose the endpoint of a request; pure."""

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from enum import StrEnum

from fescuekeel.components.forward.const import (
    FAR_COST_S,
    HOMES,
    LOAD_SLACK_S,
    MAX_COMPARED,
    SPREAD_WAIT_S,
)
from fescuekeel.components.forward.endpoints import EndpointLoad
from fescuekeel.helpers.board import PlacementBoard
from fescuekeel.helpers.published import EndpointRecord, Weights
from fescuekeel.util import rendezvous

__all__ = ["Choice", "ChoiceReason", "EngineQuestion", "choose_engine", "choose_plain"]


class ChoiceReason(StrEnum):
    """Name why an endpoint was chosen."""

    LEAST_COST = "least_cost"
    HOLDS = "holds"
    OLDER_VERSION = "older_version"
    TO_LOAD = "to_load"


@dataclass(frozen=True, slots=True)
class Choice:
    """Say where a request goes.

    With ``needs_load`` the weights must be loaded there first. ``spread_to``
    names an endpoint that should get one more copy. ``version`` is the one
    that the endpoint must have, ``None`` for a base model.
    """

    endpoint: str
    reason: ChoiceReason
    cost_s: float
    needs_load: bool = False
    spread_to: str = ""
    version: int | None = None


@dataclass(frozen=True, slots=True)
class EngineQuestion:
    """What the choice of an engine endpoint rests on.

    ``newest`` is the newest version that was named of the adapter, 0 if none
    was, and ``oldest_allowed`` the one that may still serve. Between endpoints
    that cost as much, the request's own ``key`` decides, so that instances
    which know as little do not all choose the same one.
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
    now: float,
) -> Choice | None:
    """Return the endpoint with the least cost; one nearby, of equal ones."""
    candidates = _list_candidates(endpoints_by_id, loads_by_id, tried, now)
    if not candidates:
        return None

    def rank(id: str) -> tuple[float, bool, str]:
        record = endpoints_by_id[id]
        cost_s = loads_by_id(id).estimate_plain_s(record.slots, now)
        return round(cost_s, 3), record.data_centre != data_centre, id

    best = min(candidates, key=rank)
    return Choice(best, ChoiceReason.LEAST_COST, rank(best)[0])


def _list_candidates(
    endpoints_by_id: Mapping[str, EndpointRecord],
    loads_by_id: Callable[[str], EndpointLoad],
    tried: Collection[str],
    now: float,
) -> list[str]:
    """Leave out what was tried and what is avoided, if others remain."""
    left = [id for id in endpoints_by_id if id not in tried]
    sound = [id for id in left if not loads_by_id(id).health.is_avoided(now)]
    return sound or left


def choose_engine(
    question: EngineQuestion,
    endpoints_by_id: Mapping[str, EndpointRecord],
    loads_by_id: Callable[[str], EndpointLoad],
    board: PlacementBoard,
    tried: Collection[str],
    full: Collection[str],
    now: float,
) -> Choice | None:
    """Return where a prompt goes, and whether its weights are there.

    A base model is everywhere, so that the least cost decides. An adapter's
    requests go to the cheapest endpoint that holds it. If that one is loaded
    far above another, that other one should get a copy. Endpoints that have
    just refused the prompt for their queue are ``full``: while others are
    there, its weights are loaded at one of them rather than refused.
    """
    model = Weights(question.weights.model)
    usable = {
        id: record
        for id, record in endpoints_by_id.items()
        if board.find_version(record, model, now) is not None
    }
    candidates = _list_candidates(usable, loads_by_id, tried, now)
    candidates = [id for id in candidates if id not in full] or candidates
    if not candidates:
        return None

    def estimate_s(id: str) -> float:
        cost_s = loads_by_id(id).estimate_engine_s(
            question.prompt_tokens, question.slots, board.read_load(id, now), now
        )
        far = endpoints_by_id[id].data_centre != question.data_centre
        return cost_s + (FAR_COST_S if far else 0.0)

    if not question.weights.adapter:
        best, cost_s = _choose_cheapest(question, candidates, estimate_s)
        return Choice(best, ChoiceReason.LEAST_COST, cost_s)
    versions_by_id = {
        id: version
        for id in candidates
        if (version := board.find_version(usable[id], question.weights, now))
        is not None
    }
    return _choose_for_adapter(question, candidates, versions_by_id, estimate_s)


def _choose_cheapest(
    question: EngineQuestion,
    ids: Collection[str],
    estimate_s: Callable[[str], float],
) -> tuple[str, float]:
    """Return the cheapest of some endpoints, and what it costs.

    Of many only some are compared, others for each request: the work of one
    choice does not grow with the number of endpoints, and the best of eight at
    random is hardly ever a loaded one.
    """
    compared = rendezvous.rank(question.key, ids)[:MAX_COMPARED]
    costs_by_id = {id: estimate_s(id) for id in compared}
    best = min(compared, key=costs_by_id.__getitem__)
    return best, costs_by_id[best]


def _choose_for_adapter(
    question: EngineQuestion,
    candidates: Collection[str],
    versions_by_id: dict[str, int],
    estimate_s: Callable[[str], float],
) -> Choice:
    current = [id for id, held in versions_by_id.items() if held >= question.newest]
    older = [
        id
        for id, held in versions_by_id.items()
        if question.oldest_allowed <= held < question.newest
    ]
    # A copy of a newer version cannot replace an older one that has runs, so
    # it is made where there is none.
    free = [id for id in candidates if id not in versions_by_id]
    target = _choose_target(question, free, estimate_s)
    serving = current or older
    if not serving:
        home, cost_s = target or _choose_cheapest(question, candidates, estimate_s)
        return Choice(home, ChoiceReason.TO_LOAD, cost_s, True, "", question.newest)
    best, cost_s = _choose_cheapest(question, serving, estimate_s)
    reason = ChoiceReason.HOLDS if current else ChoiceReason.OLDER_VERSION
    spread_to = ""
    if target is not None:
        home, home_cost_s = target
        if not current or cost_s - home_cost_s > SPREAD_WAIT_S:
            spread_to = home
    return Choice(best, reason, cost_s, False, spread_to, versions_by_id[best])


def _choose_target(
    question: EngineQuestion,
    free: Collection[str],
    estimate_s: Callable[[str], float],
) -> tuple[str, float] | None:
    """Return where a copy is loaded, and what it costs to be served there.

    Of all endpoints the first in rank for an adapter are its homes: all
    instances ask for the same ones, and it comes back to where its last copy
    may still be at hand. A home that is crowded passes on to the next one.
    """
    homes = rendezvous.rank(str(question.weights), free)[:HOMES]
    if not homes:
        return None
    costs_by_id = {id: estimate_s(id) for id in homes}
    most_s = min(costs_by_id.values()) + LOAD_SLACK_S
    return next((id, cost_s) for id, cost_s in costs_by_id.items() if cost_s <= most_s)
