"""The endpoints component: endpoints as this instance sees them."""

from fescuekeel.components.endpoints.availability import (
    Block,
    BlockReason,
    ListBlocks,
    list_preferred,
)
from fescuekeel.components.endpoints.component import EndpointStates
from fescuekeel.components.endpoints.const import (
    DOMAIN,
    ENGINE_STEP_S,
    FAILOVER_AFTER_S,
    LIMIT_TTL_S,
    MAX_LIMITED_ENDPOINTS,
    MAX_REJECTION_LIMITS,
)
from fescuekeel.components.endpoints.load import EndpointLoad
from fescuekeel.components.endpoints.named_limits import LimitChange, NamedLimits
from fescuekeel.components.endpoints.rejection_limits import RejectionLimits
from fescuekeel.core import REGISTRY, Instance

__all__ = [
    "DOMAIN",
    "ENGINE_STEP_S",
    "FAILOVER_AFTER_S",
    "LIMIT_TTL_S",
    "MAX_LIMITED_ENDPOINTS",
    "MAX_REJECTION_LIMITS",
    "Block",
    "BlockReason",
    "EndpointLoad",
    "EndpointStates",
    "LimitChange",
    "ListBlocks",
    "NamedLimits",
    "RejectionLimits",
    "list_preferred",
    "setup",
]


def setup(instance: Instance) -> EndpointStates:
    """Set up the component."""
    return EndpointStates(instance)


REGISTRY.register(DOMAIN, setup)
