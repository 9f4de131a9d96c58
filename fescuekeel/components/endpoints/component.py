"""The actor-free component that knows what endpoints say in answers."""

import asyncio
import random
from typing import cast

from fescuekeel.components.endpoints.const import (
    DOMAIN,
    LEAVING_TOPIC,
    LEAVING_TTL_S,
    MAX_CHECK_S,
    MAX_LEAVING,
    MIN_CHECK_S,
)
from fescuekeel.components.endpoints.leaving import LeavingEndpoints
from fescuekeel.components.gossip import (
    DOMAIN as GOSSIP_DOMAIN,
    Fact,
    Gossip,
    TopicLimits,
)
from fescuekeel.core import Instance
from fescuekeel.helpers.dialect import ResponseMetadata
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.published import Catalog
from fescuekeel.messages import LeavingIds

__all__ = ["EndpointStates"]

MS_PER_S = 1000


class EndpointStates:
    """Read endpoints' answers, and tell all instances which of them leave.

    The catalog leaves these endpoints out, so that whatever chooses, loads or
    relays treats them as if the store had said so.
    """

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._leaving = LeavingEndpoints()
        self._gossip = cast(Gossip, instance.components_by_domain[GOSSIP_DOMAIN])

    async def start(self) -> None:
        """Register the topic and the gauge."""
        self._gossip.register(
            LEAVING_TOPIC,
            TopicLimits(LEAVING_TTL_S, MAX_LEAVING),
            self._handle_leaving,
        )
        self._instance.metrics.add_gauge(
            "endpoints_leaving", lambda: {"": float(len(self._leaving.list_ids()))}
        )
        self._instance.spawn(self._check_forever(), f"{DOMAIN}.check")

    async def stop(self) -> None:
        """Do nothing; the tasks end with the instance."""

    def record_response(self, endpoint: str, response: ResponseMetadata) -> None:
        """Read what an endpoint says of itself in an answer of any kind.

        The answer must be its own: one of another server is ignored.
        """
        if response.misdirected:
            return
        if response.leaving and not self._leaving.is_leaving(endpoint):
            self._announce(endpoint)

    # Endpoints that leave.

    def _announce(self, endpoint: str) -> None:
        rank = self._gossip.get_rank(LEAVING_TOPIC, endpoint) + 1
        self._gossip.publish(LEAVING_TOPIC, endpoint, rank, b"")

    def _handle_leaving(self, fact: Fact) -> None:
        now = self._instance.now()
        if not self._leaving.record(fact.key, now):
            return
        self._instance.metrics.count("endpoint_leaving")
        log_event(
            "endpoint_leaving",
            endpoint=fact.key,
            age_ms=round((now - fact.created_at) * MS_PER_S),
            outcome="avoided",
        )
        self._instance.bus.publish_state(LeavingIds(self._leaving.list_ids()))

    async def _check_forever(self) -> None:
        while True:
            await asyncio.sleep(random.uniform(MIN_CHECK_S, MAX_CHECK_S))
            catalog = self._instance.bus.latest(Catalog)
            if catalog is None:
                continue
            now = self._instance.now()
            listed = catalog.endpoints_by_id.keys() | catalog.leaving_ids
            self._leaving.expire(listed, now)
            for endpoint in self._leaving.list_due(listed, now):
                self._announce(endpoint)
