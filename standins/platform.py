"""All stand-ins of one deployment."""

import asyncio
from dataclasses import dataclass, field
from itertools import cycle

from fescuekeel.components.tree.model import Pool, PoolKind
from standins.config_service import ConfigService, start_config_service
from standins.engine import Engine
from standins.engine_http import start_engine
from standins.engine_state import EngineSettings
from standins.live_list import Entry, LiveListService, start_live_list
from standins.plain import PlainService, start_plain
from standins.server import Server
from standins.weight_store import WeightStore, start_weight_store

__all__ = ["DEPLOYMENTS_BY_NAME", "Deployment", "Endpoint", "Platform"]

REPORT_LAG_S = 0.2
LIVE_LAG_S = 0.5
PLAIN_DELAY_S = 0.02


@dataclass(frozen=True, slots=True)
class Deployment:
    """The sizes of a deployment."""

    name: str
    engines: int
    plains: int
    loads_per_s: float
    data_centres: tuple[str, ...]


NYIRAHABIMANA = Deployment(
    "nyirahabimana", 5, 3, 2.0, ("kigali-1", "kigali-2", "kigali-3")
)
VANDENBROUCKE = Deployment(
    "vandenbroucke", 9, 3, 5.0, ("flanders-1", "flanders-2", "flanders-3")
)
DEPLOYMENTS_BY_NAME = {item.name: item for item in (NYIRAHABIMANA, VANDENBROUCKE)}


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An engine or plain service and its server."""

    id: str
    pool: str
    data_centre: str
    standin: Engine | PlainService
    server: Server


@dataclass(slots=True)
class Platform:
    """The stand-ins of one deployment.

    Tests build it from pools, publish a tree and add their instances::

        platform = await Platform.start(("dc1", "dc2"))
        await platform.add_pool(Pool("p", PoolKind.ENGINE), 2)
        platform.publish(1, {"main": b"..."})
        platform.add_instance("i1", "127.0.0.1:4000", "dc1")
    """

    data_centres: tuple[str, ...]
    store: WeightStore
    config: ConfigService
    live: LiveListService
    store_server: Server
    config_server: Server
    live_server: Server
    endpoints_by_id: dict[str, Endpoint] = field(default_factory=dict)

    @classmethod
    async def start(
        cls,
        data_centres: tuple[str, ...],
        loads_per_s: float = 10.0,
        live_lag_s: float = 0.0,
    ) -> "Platform":
        """Start the services, without endpoints."""
        store, store_server = await start_weight_store(loads_per_s)
        config, config_server = await start_config_service()
        live, live_server = await start_live_list(live_lag_s)
        return cls(
            data_centres=data_centres,
            store=store,
            config=config,
            live=live,
            store_server=store_server,
            config_server=config_server,
            live_server=live_server,
        )

    @property
    def engines_by_id(self) -> dict[str, Engine]:
        """Return the engines among the endpoints."""
        return {
            id: item.standin
            for id, item in self.endpoints_by_id.items()
            if isinstance(item.standin, Engine)
        }

    @property
    def plains_by_id(self) -> dict[str, PlainService]:
        """Return the plain services among the endpoints."""
        return {
            id: item.standin
            for id, item in self.endpoints_by_id.items()
            if isinstance(item.standin, PlainService)
        }

    async def add_pool(
        self, pool: Pool, count: int, report_lag_s: float = 0.0
    ) -> list[Endpoint]:
        """Start a pool's endpoints, spread over the data centres."""
        added = []
        for number, data_centre in zip(range(count), cycle(self.data_centres)):
            id = f"{pool.name}-{number}"
            standin, server = await self._start_endpoint(pool, id, report_lag_s)
            endpoint = Endpoint(id, pool.name, data_centre, standin, server)
            self.endpoints_by_id[id] = endpoint
            added.append(endpoint)
            self.live.set(
                Entry(id, "endpoint", server.address, data_centre, pool=pool.name)
            )
        return added

    async def _start_endpoint(
        self, pool: Pool, id: str, report_lag_s: float
    ) -> tuple[Engine | PlainService, Server]:
        if pool.kind is PoolKind.PLAIN:
            return await start_plain(id, PLAIN_DELAY_S, pool.max_running)
        settings = EngineSettings(
            slots=pool.slots,
            max_running=pool.max_running,
            step_ms=pool.step_s * 1000,
            fenced=pool.fenced,
            report_lag_s=report_lag_s,
        )
        return await start_engine(settings, self.store_server.url)

    def publish(self, revision: int, parts: dict[str, bytes]) -> int:
        """Publish a tree; return its change number."""
        return self.config.publish(revision, parts)

    def add_instance(self, id: str, address: str, data_centre: str) -> None:
        """Add an instance to the live list."""
        self.live.set(Entry(id, "instance", address, data_centre))

    async def stop(self) -> None:
        """Stop all stand-ins."""
        for engine in self.engines_by_id.values():
            engine.stop()
        servers = [item.server for item in self.endpoints_by_id.values()]
        servers += [self.store_server, self.config_server, self.live_server]
        await asyncio.gather(*(server.stop() for server in servers))


def distribute(total: int, shares: int) -> list[int]:
    """Distribute a number of endpoints over pools, at least one each.

    >>> distribute(5, 2), distribute(1, 2)
    ([3, 2], [1, 1])
    """
    return [
        max(1, total // shares + (number < total % shares)) for number in range(shares)
    ]


async def start_deployment(
    deployment: Deployment, pools: dict[str, Pool], centres: int
) -> Platform:
    """Start a deployment's stand-ins with its sizes."""
    platform = await Platform.start(
        deployment.data_centres[:centres], deployment.loads_per_s, LIVE_LAG_S
    )
    for kind, total in (
        (PoolKind.ENGINE, deployment.engines),
        (PoolKind.PLAIN, deployment.plains),
    ):
        of_kind = [pool for pool in pools.values() if pool.kind is kind]
        counts = distribute(total, max(1, len(of_kind)))
        for pool, count in zip(of_kind, counts, strict=False):
            await platform.add_pool(pool, count, REPORT_LAG_S)
    return platform
