"""The metrics component: counters and histograms for scrapers."""

from fescuekeel.components.metrics.server import DOMAIN, MetricsServer
from fescuekeel.core import REGISTRY, Instance

__all__ = ["DOMAIN", "MetricsServer", "setup"]


def setup(instance: Instance) -> MetricsServer:
    """Create the component."""
    return MetricsServer(instance)


REGISTRY.register(DOMAIN, setup)
