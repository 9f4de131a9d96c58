"""Read what endpoints say of themselves in answers, and act on it."""

import asyncio
import math
import random
from typing import cast

from fescuekeel.components.endpoints.availability import Block, find_strict_block
from fescuekeel.components.endpoints.backoffs import BackOffs
from fescuekeel.components.endpoints.const import (
    ANSWER_TTL_S,
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
    """Keep track of endpoints that leave, and of those that back off.

    All instances are told which endpoints leave. The catalog leaves them out,
    so that whatever chooses, loads or relays treats them as if the store had
    said so. A back-off is one of this instance alone.
    """

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._leaving = LeavingEndpoints()
        self._back_offs = BackOffs()
        # When each endpoint last answered without saying that it leaves.
        self._answered_at_by_id: dict[str, float] = {}
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
        self._instance.metrics.add_gauge("endpoints_backed_off", self._count_backed_off)
        self._instance.keep_running(self._check_forever, f"{DOMAIN}.check")

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
        if not response.leaving:
            self._answered_at_by_id[endpoint] = self._instance.now()
        if response.retry_after_s:
            self._record_back_off(endpoint, response.retry_after_s)

    def find_block(self, endpoint: str) -> Block | None:
        """Return why an endpoint must not be sent to now, if it must not."""
        if not self._back_offs:
            return None
        return find_strict_block(endpoint, self._back_offs, self._instance.now())

    def has_answered_lately(self, endpoint: str) -> bool:
        """Return whether an endpoint has just shown that it does not leave."""
        answered_at = self._answered_at_by_id.get(endpoint, float("-inf"))
        return self._instance.now() - answered_at < ANSWER_TTL_S

    def record_sent(self, endpoint: str) -> bool:
        """Record a request; return whether it is part of a return.

        Its answer, or its end without one, is then to be recorded as well.
        """
        return self._back_offs.record_sent(endpoint, self._instance.now())

    def record_ended(self, endpoint: str, answered: bool) -> None:
        """Record that a request of a return has an answer, or none."""
        self._back_offs.record_ended(endpoint, answered)

    # Endpoints that back off.

    def _record_back_off(self, endpoint: str, retry_after_s: float) -> None:
        outcome = self._apply_back_off(endpoint, retry_after_s)
        self._instance.metrics.count(f"endpoint_back_off.{outcome}")
        log_event(
            "endpoint_backed_off",
            endpoint=endpoint,
            retry_after_s=retry_after_s,
            outcome=outcome,
        )

    def _apply_back_off(self, endpoint: str, retry_after_s: float) -> str:
        """Apply what an endpoint asks for; return what became of it."""
        if math.isnan(retry_after_s):
            return "ignored"
        is_in_force = self._back_offs.record_rejected(
            endpoint, retry_after_s, self._instance.now(), random.random()
        )
        return "in_force" if is_in_force else "within_longer"

    def _count_backed_off(self) -> dict[str, float]:
        return {"": float(len(self._back_offs.list_until(self._instance.now())))}

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
            self._back_offs.expire(now)
            for endpoint, answered_at in list(self._answered_at_by_id.items()):
                if now - answered_at >= ANSWER_TTL_S:
                    del self._answered_at_by_id[endpoint]
            for endpoint in self._leaving.list_due(listed, now):
                self._announce(endpoint)
