"""The task that polls the platform's live list."""

import asyncio
import random

from returns.pipeline import is_successful
from returns.result import Failure as Err, Result, Success
from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from fescuekeel.components.livelist.const import (
    CONNECT_TIMEOUT_S,
    DOMAIN,
    JITTER_SHARE,
    LIVE_PATH,
    MAX_LIST_BYTES,
    POLL_S,
    REQUEST_TIMEOUT_S,
)
from fescuekeel.components.livelist.parse import parse_live_list
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers.http import begin_fetch
from fescuekeel.helpers.logging import log_event
from fescuekeel.messages import LiveList

__all__ = ["LiveListPoller"]

OK = 200
NOT_MODIFIED = 304


class LiveListPoller:
    """Publish ``LiveList`` each time that the platform's list changes.

    Polls are conditional, so that a list which has not changed is neither
    sent nor parsed again. A platform that knows no ETag sends it each time.

    A failure keeps the last list: the platform being out of reach says
    nothing about which instances are alive.
    """

    def __init__(self, instance: Instance, poll_s: float = POLL_S) -> None:
        self._instance = instance
        self._poll_s = poll_s
        self._client: AsyncHTTPClient | None = None
        self._task: asyncio.Task[None] | None = None
        self._failing = False
        self._etag = ""

    async def start(self) -> None:
        """Start to poll."""
        # The plain client has ten slots for all of a loop's users and queues
        # the rest without a word, so that this task has one of its own.
        self._client = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=2, max_body_size=MAX_LIST_BYTES
        )
        self._task = self._instance.spawn(self._run(), DOMAIN)

    async def stop(self) -> None:
        """Stop polling."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._client is not None:
            self._client.close()

    async def _run(self) -> None:
        while True:
            self._take(await self._fetch())
            jitter = random.uniform(-JITTER_SHARE, JITTER_SHARE)
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
            # Besides its own errors the client passes on those of sockets
            # and of name look-ups; all mean that there is no news.
            return Err(Failure(ErrorKind.PEER_UNREACHABLE, repr(error)))
        known = self._instance.bus.latest(LiveList)
        if response.code == NOT_MODIFIED and known is not None:
            return Success(known)
        if response.code != OK:
            return Err(Failure(ErrorKind.PEER_UNREACHABLE, f"status {response.code}"))
        result = parse_live_list(response.body)
        # What could not be parsed must be sent again.
        self._etag = response.headers.get("ETag", "") if is_successful(result) else ""
        return result

    def _take(self, result: Result[LiveList, Failure]) -> None:
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
