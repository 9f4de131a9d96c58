"""Helpers shared by the tests."""

import asyncio
import time
from collections.abc import Callable

from fescuekeel.components.gossip import Gossip
from fescuekeel.components.quarantine import Quarantine
from fescuekeel.core import Instance
from fescuekeel.helpers.client_resources import ClientResources
from fescuekeel.helpers.settings import ResourcesSettings, Settings, parse_settings

SETTINGS = """
[instance]
id = {id}
data_centre = {data_centre}

[callers]
address = 127.0.0.1:0

[operators]
address = 127.0.0.1:0
token_sha256 = 0000000000000000000000000000000000000000000000000000000000000000

[peers]
address = 127.0.0.1:0
keys = a-shared-secret-of-the-tests

[platform]
config_url = http://127.0.0.1:1
live_url = http://127.0.0.1:1
"""


def make_settings(id: str = "i1", data_centre: str = "dc1") -> Settings:
    """Return valid settings; the operating system chooses the ports."""
    return parse_settings(SETTINGS.format(id=id, data_centre=data_centre)).unwrap()


def make_resources(**settings: float) -> ClientResources:
    """Return an account of clients with limits of its own."""
    return ClientResources(
        ResourcesSettings(**settings), time.monotonic, lambda name: None
    )


def add_quarantine(instance: Instance) -> None:
    """Add the components that judge requests, without starting them."""
    components = instance.components_by_domain
    components["gossip"] = Gossip(instance)
    components["quarantine"] = Quarantine(instance)


POLL_INTERVAL_S = 0.005
EVENTUALLY_TIMEOUT_S = 15.0


async def eventually(condition: Callable[[], object]) -> None:
    """Wait until the condition holds; fail after ``EVENTUALLY_TIMEOUT_S``."""
    for _ in range(int(EVENTUALLY_TIMEOUT_S / POLL_INTERVAL_S)):
        if condition():
            return
        await asyncio.sleep(POLL_INTERVAL_S)
    raise AssertionError("the condition was not met in time")
