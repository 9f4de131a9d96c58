"""Choose the endpoint of a request; pure."""

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from enum import StrEnum

from fescuekeel.components.forward.const import LOAD_SLACK_S, SPREAD_WAIT_S
from fescuekeel.components.forward.endpoints import EndpointLoad
from fescuekeel.helpers.placement import EndpointState
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
    was, and ``oldest_allowed`` the one that may still serve.
    """

    weights: Weights
    prompt_tokens: int
    slots: int
    newest: int
    oldest_allowed: int


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
    states_by_id: Mapping[str, EndpointState],
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

    def read_held(id: str) -> Mapping[Weights, int]:
        # What an endpoint has published itself counts until a holder tells:
        # one that has just started is empty, and after all instances were
        # restarted the first holder is known only seconds later.
        state = states_by_id.get(id)
        return state.held if state is not None else endpoints_by_id[id].held

    usable = {id: rec for id, rec in endpoints_by_id.items() if model in read_held(id)}
    candidates = _list_candidates(usable, loads_by_id, tried, now)
    candidates = [id for id in candidates if id not in full] or candidates
    if not candidates:
        return None
    costs_by_id = {
        id: loads_by_id(id).estimate_engine_s(
            question.prompt_tokens, question.slots, states_by_id.get(id), now
        )
        for id in candidates
    }
    if not question.weights.adapter:
        best = min(costs_by_id, key=lambda id: (costs_by_id[id], id))
        return Choice(best, ChoiceReason.LEAST_COST, costs_by_id[best])
    versions_by_id = {
        id: held[question.weights]
        for id in candidates
        if question.weights in (held := read_held(id))
    }
    return _choose_for_adapter(question, costs_by_id, versions_by_id)


def _choose_for_adapter(
    question: EngineQuestion,
    costs_by_id: dict[str, float],
    versions_by_id: dict[str, int],
) -> Choice:
    current = [id for id, held in versions_by_id.items() if held >= question.newest]
    older = [
        id
        for id, held in versions_by_id.items()
        if question.oldest_allowed <= held < question.newest
    ]
    # A copy of a newer version cannot replace an older one that has runs, so
    # it is made where there is none.
    target = _choose_target(question, costs_by_id, versions_by_id)
    serving = current or older
    if not serving:
        home = target or min(costs_by_id, key=lambda id: (costs_by_id[id], id))
        return Choice(
            home, ChoiceReason.TO_LOAD, costs_by_id[home], True, "", question.newest
        )
    best = min(serving, key=lambda id: (costs_by_id[id], id))
    reason = ChoiceReason.HOLDS if current else ChoiceReason.OLDER_VERSION
    spread_to = ""
    if target:
        gain_s = costs_by_id[best] - costs_by_id[target]
        if not current or gain_s > SPREAD_WAIT_S:
            spread_to = target
    version = versions_by_id[best]
    return Choice(best, reason, costs_by_id[best], False, spread_to, version)


def _choose_target(
    question: EngineQuestion,
    costs_by_id: dict[str, float],
    versions_by_id: dict[str, int],
) -> str:
    """Return where a copy is loaded: by rank, but not where it is crowded.

    Rank makes all instances ask for the same place, and brings an adapter
    back to where its last copy may still be at hand.
    """
    free = [id for id in costs_by_id if id not in versions_by_id]
    if not free:
        return ""
    least_s = min(costs_by_id[id] for id in free)
    for id in rendezvous.rank(str(question.weights), free):
        if costs_by_id[id] <= least_s + LOAD_SLACK_S:
            return id
    return ""
