"""Reading and watching the configuration service."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from fescuekeel.components.tree.const import (
    CONNECT_TIMEOUT_S,
    JITTER_SHARE,
    KEY_MANIFEST,
    KEY_PART,
    MAX_PART_BYTES,
    MAX_RETRY_S,
    REQUEST_TIMEOUT_S,
    RETRY_S,
    WATCH_GRACE_S,
    WATCH_S,
)
from fescuekeel.components.tree.events import SetReadMode
from fescuekeel.core import Instance
from fescuekeel.helpers.http import HttpClient, begin_fetch
from fescuekeel.helpers.logging import log_event

__all__ = ["ConfigServiceReader"]

HEADER_CHANGE = "X-Change"
MAX_CLIENTS = 8
NOT_MODIFIED = 304
NOT_FOUND = 404


@dataclass(frozen=True, slots=True)
class Value:
    """A value as read; ``content`` is ``None`` if missing or unchanged."""

    content: bytes | None
    change: int


class ConfigServiceReader:
    """Follow the manifest by watch or poll, and read parts on demand."""

    def __init__(self, instance: Instance, deliver: Callable[[bytes], None]) -> None:
        self._instance = instance
        self._deliver = deliver
        self._client: AsyncHTTPClient | None = None
        self._task: asyncio.Task[None] | None = None
        self._read_mode: SetReadMode | None = None
        self._failing = False

    async def start(self) -> None:
        """Open the client; reading starts with ``set_read_mode``."""
        self._client = HttpClient(
            force_instance=True, max_clients=MAX_CLIENTS, max_body_size=MAX_PART_BYTES
        )

    async def stop(self) -> None:
        """Stop reading."""
        if self._task is not None:
            self._task.cancel()
        if self._client is not None:
            self._client.close()

    def set_read_mode(self, mode: SetReadMode) -> None:
        """Switch between watch and poll, or set another poll interval."""
        kind_changed = self._read_mode is None or self._read_mode.watch != mode.watch
        self._read_mode = mode
        if not kind_changed:
            return
        if self._task is not None:
            self._task.cancel()
        self._task = self._instance.keep_running(self._run, "tree.service")

    async def read_manifest(self) -> bytes | None:
        """Read the manifest once."""
        value = await self._read(KEY_MANIFEST)
        return value.content if value else None

    async def read_part(self, revision: int, name: str) -> bytes | None:
        """Read a part of a revision once."""
        value = await self._read(KEY_PART.format(revision=revision, name=name))
        return value.content if value else None

    async def _run(self) -> None:
        failures = 0
        while True:
            assert self._read_mode is not None
            # Read before each watch: a service restored from a backup counts
            # changes from a lower number, and a watch from a higher one would
            # see none.
            value = await self._read(KEY_MANIFEST)
            self._record_result(value)
            if value is None:
                failures += 1
                wait_s = min(MAX_RETRY_S, RETRY_S * 2 ** min(failures, 8))
                await asyncio.sleep(_jitter(wait_s))
                continue
            failures = 0
            if self._read_mode.watch:
                await self._watch(value.change)
                # Limits the rate of calls if the service ends each watch at
                # once.
                await asyncio.sleep(_jitter(RETRY_S))
            else:
                await asyncio.sleep(_jitter(self._read_mode.poll_s))

    async def _watch(self, change: int) -> None:
        wait_s = _jitter(WATCH_S)
        path = f"/v1/watch/{KEY_MANIFEST}?after={change}&wait_s={wait_s:.1f}"
        value = await self._fetch(path, wait_s + WATCH_GRACE_S)
        if value is not None:
            self._record_result(value)

    def _record_result(self, value: Value | None) -> None:
        if value is None:
            self._instance.metrics.count("tree.service_failed")
            if not self._failing:
                log_event("tree_service_failed")
            self._failing = True
            return
        if self._failing:
            log_event("tree_service_recovered")
        self._failing = False
        if value.content is not None:
            self._deliver(value.content)

    async def _read(self, key: str) -> Value | None:
        return await self._fetch(f"/v1/values/{key}", REQUEST_TIMEOUT_S)

    async def _fetch(self, path: str, timeout_s: float) -> Value | None:
        assert self._client is not None
        self._instance.metrics.count("tree.service_calls")
        request = HTTPRequest(
            self._instance.settings.platform.config_url.rstrip("/") + path,
            follow_redirects=False,
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=timeout_s,
        )
        try:
            response = await begin_fetch(self._client, request)
            return Value(response.body, int(response.headers.get(HEADER_CHANGE, "0")))
        except HTTPClientError as error:
            if error.code in (NOT_MODIFIED, NOT_FOUND):
                return Value(None, 0)
            return None
        except Exception:
            # Covers socket errors, which the client does not wrap, and a
            # change header that is no number.
            return None


def _jitter(seconds: float) -> float:
    return seconds * (1 + random.uniform(-JITTER_SHARE, JITTER_SHARE))
