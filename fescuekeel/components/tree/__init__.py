"""The tree component: follows the published tree of settings."""

from fescuekeel.components.tree.const import DOMAIN
from fescuekeel.core import REGISTRY, Component, Instance

__all__ = ["DOMAIN", "setup"]


def setup(instance: Instance) -> Component:
    """Set up the follower."""
    # Other components import the model from this package, which must not
    # pull in the tasks with it.
    from fescuekeel.components.tree.component import TreeFollower

    return TreeFollower(instance)


REGISTRY.register(DOMAIN, setup)
