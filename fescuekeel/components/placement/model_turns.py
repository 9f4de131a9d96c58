"""Decide which endpoints load their base model now; pure."""

from collections.abc import Iterable

from fescuekeel.components.placement.const import ENDPOINTS_PER_MODEL_LOAD

__all__ = ["may_load_model"]


def may_load_model(endpoint: str, with_model: int, without: Iterable[str]) -> bool:
    """Tell whether an endpoint may load its base model beside the others.

    Guards against a service that has nothing for as long as all its loads
    take together: its endpoints were replaced at once, all of them load, and
    share what the weight store gives. All holders rank the endpoints that
    they know to be ``without`` the model alike, so that no turn is asked for.

    >>> both = ["e1", "e2"]
    >>> may_load_model("e1", 0, both), may_load_model("e2", 0, both)
    (True, False)
    >>> may_load_model("e2", 2, both)
    True
    """
    before = sum(other < endpoint for other in without)
    return before < 1 + with_model // ENDPOINTS_PER_MODEL_LOAD
