"""Engine component: the driver for inference engines."""

from fescuekeel.components.engine.const import DOMAIN
from fescuekeel.components.engine.driver import EngineDriver
from fescuekeel.components.tree.model import PoolKind
from fescuekeel.core import REGISTRY, Component, Instance
from fescuekeel.helpers.driver import DRIVERS

__all__ = ["DOMAIN", "EngineDriver", "setup"]


class EngineComponent:
    """Component without state; importing the package registers the driver."""

    async def start(self) -> None:
        """Do nothing."""

    async def stop(self) -> None:
        """Do nothing."""


def setup(instance: Instance) -> Component:
    """Set up the component."""
    return EngineComponent()


REGISTRY.register(DOMAIN, setup)
DRIVERS.register(PoolKind.ENGINE, EngineDriver)
