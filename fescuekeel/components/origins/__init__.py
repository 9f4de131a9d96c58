"""The origins component: which software version began each stream."""

from fescuekeel.components.origins.component import Origins
from fescuekeel.components.origins.const import DOMAIN
from fescuekeel.components.origins.ledger import StreamOrigin
from fescuekeel.core import REGISTRY, Instance

__all__ = ["DOMAIN", "Origins", "StreamOrigin", "setup"]


def setup(instance: Instance) -> Origins:
    """Create the component."""
    return Origins(instance)


REGISTRY.register(DOMAIN, setup)
