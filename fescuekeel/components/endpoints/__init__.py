"""The endpoints component: what endpoints say of themselves in answers."""

from fescuekeel.components.endpoints.availability import (
    Block,
    BlockReason,
    ListBlocks,
    list_preferred,
)
from fescuekeel.components.endpoints.component import EndpointStates
from fescuekeel.components.endpoints.const import DOMAIN
from fescuekeel.core import REGISTRY, Instance

__all__ = [
    "DOMAIN",
    "Block",
    "BlockReason",
    "EndpointStates",
    "ListBlocks",
    "list_preferred",
    "setup",
]


def setup(instance: Instance) -> EndpointStates:
    """Set up the component."""
    return EndpointStates(instance)


REGISTRY.register(DOMAIN, setup)
