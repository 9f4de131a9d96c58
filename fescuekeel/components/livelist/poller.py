"""Poller of the platform's live list."""

import asyncio
import random

from returns.pipeline import is_successful
from returns.result import Failure as Err, Result, Success
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from fescuekeel.components.livelist.const import (
    CONNECT_TIMEOUT_S,
    DOMAIN,
    JITTER_FRACTION,
    LIVE_PATH,
    MAX_LIST_BYTES,
    POLL_S,
    REQUEST_TIMEOUT_S,
)
from fescuekeel.components.livelist.parse import parse_live_list
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers.http import HttpClient, begin_fetch
from fescuekeel.helpers.logging import log_event
from fescuekeel.messages import LiveList

__all__ = ["LiveListPoller"]

OK = 200
NOT_MODIFIED = 304


class LiveListPoller:
    """Poll the platform's list and publish ``LiveList`` when it changes.

    Requests are conditional, so that an unchanged list is neither sent nor
    parsed again if the platform supports ETags.

    The last list is kept on failure: an unreachable platform does not mean
    that the members in the list are down.
    """

    def __init__(self, instance: Instance, poll_s: float = POLL_S) -> None:
        self._instance = instance
        self._poll_s = poll_s
        self._client: AsyncHTTPClient | None = None
        self._task: asyncio.Task[None] | None = None
        self._failing = False
        self._etag = ""

    async def start(self) -> None:
        """Start polling."""
        # The shared client of an event loop queues requests beyond ten, so the
        # poller uses a client of its own.
        self._client = HttpClient(
            force_instance=True, max_clients=2, max_body_size=MAX_LIST_BYTES
        )
        self._task = self._instance.keep_running(self._run, DOMAIN)

    async def stop(self) -> None:
        """Stop polling."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._client is not None:
            self._client.close()

    async def _run(self) -> None:
        while True:
            self._handle_result(await self._fetch())
            jitter = random.uniform(-JITTER_FRACTION, JITTER_FRACTION)
            await asyncio.sleep(self._poll_s * (1 + jitter))

    async def _fetch(self) -> Result[LiveList, Failure]:
        assert self._client is not None
        request = HTTPRequest(
            self._instance.settings.platform.live_url.rstrip("/") + LIVE_PATH,
            follow_redirects=False,
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=REQUEST_TIMEOUT_S,
            headers={"If-None-Match": self._etag} if self._etag else None,
        )
        try:
            response = await begin_fetch(self._client, request, raise_error=False)
        except Exception as error:
            # Errors of sockets and of name resolution are raised unchanged.
            return Err(Failure(ErrorKind.PEER_UNREACHABLE, repr(error)))
        known = self._instance.bus.latest(LiveList)
        if response.code == NOT_MODIFIED and known is not None:
            return Success(known)
        if response.code != OK:
            return Err(Failure(ErrorKind.PEER_UNREACHABLE, f"status {response.code}"))
        result = parse_live_list(response.body)
        # A list that failed to parse must be sent in full again.
        self._etag = response.headers.get("ETag", "") if is_successful(result) else ""
        return result

    def _handle_result(self, result: Result[LiveList, Failure]) -> None:
        if not is_successful(result):
            self._instance.metrics.count("livelist.failed")
            if not self._failing:
                log_event("livelist_failed", detail=result.failure().detail)
            self._failing = True
            return
        if self._failing:
            log_event("livelist_recovered")
        self._failing = False
        live = result.unwrap()
        if live == self._instance.bus.latest(LiveList):
            return
        self._instance.metrics.count("livelist.changed")
        log_event("livelist_changed", entries=len(live.entries_by_id))
        self._instance.bus.publish_state(live)
