"""The plain component: the driver for plain services."""

from fescuekeel.components.plain.const import DOMAIN
from fescuekeel.components.plain.driver import PlainDriver
from fescuekeel.components.tree.model import PoolKind
from fescuekeel.core import REGISTRY, Component, Instance
from fescuekeel.helpers.driver import DRIVERS

__all__ = ["DOMAIN", "PlainDriver", "setup"]


class PlainComponent:
    """Hold nothing: the driver is registered when it is imported."""

    async def start(self) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Do nothing."""


def setup(instance: Instance) -> Component:
    """Set up the component."""
    return PlainComponent()


REGISTRY.register(DOMAIN, setup)
DRIVERS.register(PoolKind.PLAIN, PlainDriver)
