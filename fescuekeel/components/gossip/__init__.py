"""The gossip component: facts that all instances need to know."""

from fescuekeel.components.gossip.component import Gossip
from fescuekeel.components.gossip.const import DOMAIN
from fescuekeel.components.gossip.table import Fact, TopicLimits
from fescuekeel.core import REGISTRY, Instance

__all__ = ["DOMAIN", "Fact", "Gossip", "TopicLimits", "setup"]


def setup(instance: Instance) -> Gossip:
    """Create the component."""
    return Gossip(instance)


REGISTRY.register(DOMAIN, setup)
