"""The keys component."""

from typing import cast

from fescuekeel.components.keys.component import Keys
from fescuekeel.components.keys.const import DEFAULT_LIFETIME_S, DOMAIN
from fescuekeel.core import REGISTRY, Instance

__all__ = ["DEFAULT_LIFETIME_S", "DOMAIN", "Keys", "get_keys", "setup"]


def setup(instance: Instance) -> Keys:
    """Create the component."""
    return Keys(instance)


def get_keys(instance: Instance) -> Keys:
    """Return the component of an instance."""
    return cast(Keys, instance.components_by_domain[DOMAIN])


REGISTRY.register(DOMAIN, setup)
