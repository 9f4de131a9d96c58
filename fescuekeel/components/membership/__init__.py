"""The membership component."""

from fescuekeel.components.membership.component import MembershipActor
from fescuekeel.components.membership.const import DOMAIN
from fescuekeel.core import REGISTRY, Instance

__all__ = ["DOMAIN", "MembershipActor", "setup"]


def setup(instance: Instance) -> MembershipActor:
    """Create the component."""
    return MembershipActor(instance)


REGISTRY.register(DOMAIN, setup)
