"""The plain component: the driver for plain HTTP services."""

from fescuekeel.components.plain.const import DOMAIN
from fescuekeel.components.plain.driver import PlainDriver
from fescuekeel.components.tree.model import PoolKind
from fescuekeel.core import REGISTRY, Component, Instance
from fescuekeel.helpers.driver import DRIVERS

__all__ = ["DOMAIN", "PlainDriver", "setup"]


class PlainComponent:
    """A component without state: importing it registers the driver."""

    async def start(self) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Do nothing."""


def setup(instance: Instance) -> Component:
    """Create the component."""
    return PlainComponent()


REGISTRY.register(DOMAIN, setup)
DRIVERS.register(PoolKind.PLAIN, PlainDriver)
