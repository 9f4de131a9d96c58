"""The keys component: idempotency keys, replicated to several homes."""

from fescuekeel.components.keys.component import Keys
from fescuekeel.components.keys.const import DEFAULT_LIFETIME_S, DOMAIN
from fescuekeel.core import REGISTRY, Instance

__all__ = ["DEFAULT_LIFETIME_S", "DOMAIN", "Keys", "setup"]


def setup(instance: Instance) -> Keys:
    """Create the component."""
    return Keys(instance)


REGISTRY.register(DOMAIN, setup)
