"""Decide which endpoints load their base model now; pure."""

from collections.abc import Iterable

from fescuekeel.components.placement.const import ENDPOINTS_PER_MODEL_LOAD

__all__ = ["may_load_model"]


def may_load_model(endpoint: str, with_model: int, without: Iterable[str]) -> bool:
    """Return whether an endpoint may load its base model now.

    Guards against endpoints that are replaced together and load at once: they
    share the weight store, and none can serve until all loads are nearly
    done. All holders rank the endpoints ``without`` the model alike, so that
    no coordination is needed.

    >>> both = ["e1", "e2"]
    >>> may_load_model("e1", 0, both), may_load_model("e2", 0, both)
    (True, False)
    >>> may_load_model("e2", 2, both)
    True
    """
    before = sum(other < endpoint for other in without)
    return before < 1 + with_model // ENDPOINTS_PER_MODEL_LOAD
