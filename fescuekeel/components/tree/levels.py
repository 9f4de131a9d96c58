"""Inheritance of settings from shop to service to adapter."""

from dataclasses import dataclass, fields, replace

from fescuekeel.components.tree.model import Limit
from fescuekeel.components.tree.sections import Overrides

__all__ = ["DEFAULT_LEVEL", "Level", "override"]


@dataclass(frozen=True, slots=True)
class Level:
    """Settings at one level, with inherited ones; an empty pool is unset."""

    urgency: int = 1
    answer_s: float = 30.0
    repeatable: bool = True
    stall_weight: float = 1.0
    batch_weight: float = 1.0
    max_in_flight: int = 0
    rate_per_s: float = 0.0
    retry_share: float = 0.1
    max_tokens: int = 256
    pool: str = ""
    limits: tuple[Limit, ...] = ()


DEFAULT_LEVEL = Level()
KEYS = tuple(item.name for item in fields(Level) if item.name != "limits")


def override(level: Level, overrides: Overrides, scope: str) -> Level:
    """Return the next lower level, which replaces only the keys it sets.

    The limits of all levels apply: each covers everything below its level.

    >>> shop = override(DEFAULT_LEVEL, Overrides(urgency=0, rate_per_s=5), "a")
    >>> service = override(shop, Overrides(max_in_flight=2), "a/b")
    >>> service.urgency, [limit.scope for limit in service.limits]
    (0, ['a', 'a/b'])
    """
    changes = {
        key: value for key in KEYS if (value := getattr(overrides, key)) is not None
    }
    limits = level.limits
    if overrides.rate_per_s or overrides.max_in_flight:
        limit = Limit(scope, overrides.rate_per_s or 0, overrides.max_in_flight or 0)
        limits = (*limits, limit)
    return replace(level, **changes, limits=limits)
