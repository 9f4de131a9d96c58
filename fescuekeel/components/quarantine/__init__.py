"""The quarantine component: requests that crash each endpoint they run on."""

from fescuekeel.components.quarantine.component import Quarantine
from fescuekeel.components.quarantine.const import DOMAIN, MAX_PARTS
from fescuekeel.components.quarantine.ledger import Verdict
from fescuekeel.core import REGISTRY, Instance

__all__ = ["DOMAIN", "MAX_PARTS", "Quarantine", "Verdict", "setup"]


def setup(instance: Instance) -> Quarantine:
    """Create the component."""
    return Quarantine(instance)


REGISTRY.register(DOMAIN, setup)
