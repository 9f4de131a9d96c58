"""The metrics component: serves metrics over HTTP."""

from fescuekeel.components.metrics.server import DOMAIN, MetricsServer
from fescuekeel.core import REGISTRY, Instance

__all__ = ["DOMAIN", "MetricsServer", "setup"]


def setup(instance: Instance) -> MetricsServer:
    """Create the component of an instance."""
    return MetricsServer(instance)


REGISTRY.register(DOMAIN, setup)
