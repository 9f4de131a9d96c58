"""Helpers shared by HTTP clients and servers."""

import asyncio
import sys
from collections.abc import Awaitable
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders, RequestStartLine, ResponseStartLine
from tornado.iostream import UnsatisfiableReadError
from tornado.simple_httpclient import SimpleAsyncHTTPClient, _HTTPConnection

from fescuekeel.helpers.event_stream import EventTracker
from fescuekeel.helpers.loop_turns import TURN_BYTES, WorkMeter, get_loop_turns
from fescuekeel.helpers.status_line import find_status_line_defect, is_interim
from fescuekeel.helpers.whole_answer import (
    BodyEnd,
    Framing,
    find_defect,
    find_framing,
    is_event_stream,
)

__all__ = ["HttpClient", "IncompleteAnswerError", "begin_fetch", "read_bearer"]

BEARER_PREFIX = "bearer "
VERSION_PREFIX = "HTTP/"


class IncompleteAnswerError(OSError):
    """The answer broke off before it was whole."""


class HttpClient(SimpleAsyncHTTPClient):
    """Tornado's HTTP client; a broken answer fails the call at once."""

    def _connection_class(self) -> type:
        return HttpConnection


class HttpConnection(_HTTPConnection):
    """One call of ``HttpClient``."""

    _tracker: EventTracker | None = None
    _is_waiting_for_turn = False

    def __init__(self, *args: Any, **options: Any) -> None:
        self._work = WorkMeter()
        super().__init__(*args, **options)

    async def headers_received(
        self,
        first_line: ResponseStartLine | RequestStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Follow the events of a stream; fail the call if this is no head."""
        assert isinstance(first_line, ResponseStartLine)
        version = first_line.version.removeprefix(VERSION_PREFIX)
        defect = find_status_line_defect(version, first_line.code)
        if defect:
            self._fail(defect)
            return
        await super().headers_received(first_line, headers)
        if is_interim(first_line.code):
            await self._begin_work(TURN_BYTES)
        if is_event_stream(first_line.code, headers.get("Content-Type", "")):
            self._tracker = EventTracker()

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Receive a part of the body, if need be in later turns."""
        is_short = len(chunk) <= TURN_BYTES
        if is_short and get_loop_turns().may_go_on(self._work, len(chunk)):
            return self._receive(chunk)
        return self._receive_in_turns(chunk)

    async def _receive_in_turns(self, chunk: bytes) -> None:
        for start in range(0, len(chunk), TURN_BYTES):
            part = chunk[start : start + TURN_BYTES]
            await self._begin_work(len(part))
            if self.final_callback is None:
                return
            received = self._receive(part)
            if received is not None:
                await received

    async def _begin_work(self, work_bytes: int) -> None:
        self._is_waiting_for_turn = True
        try:
            await get_loop_turns().begin(self._work, work_bytes)
        finally:
            self._is_waiting_for_turn = False

    def _receive(self, data: bytes) -> Awaitable[None] | None:
        if self._tracker is not None:
            self._tracker.feed(data)
        return super().data_received(data)

    def finish(self) -> None:
        """End the call; fail it unless the answer is whole.

        Tornado takes a reset for the end of an answer that has neither a
        length nor chunks.
        """
        defect = self._find_defect()
        if not defect:
            super().finish()
            return
        self._fail(defect)

    def _fail(self, defect: str) -> None:
        try:
            raise IncompleteAnswerError(defect)
        except IncompleteAnswerError:
            self._handle_exception(*sys.exc_info())

    def _find_defect(self) -> str:
        assert self.code is not None
        assert self.headers is not None
        framing = find_framing(self.request.method, self.code, self.headers)
        end = BodyEnd.DECLARED
        if framing is Framing.CLOSE:
            end = BodyEnd.RESET if self.stream.error else BodyEnd.CLOSED
        within_event = self._tracker is not None and self._tracker.within_event
        return find_defect(framing, end, within_event)

    def on_connection_close(self) -> None:
        """Fail the call.

        Tornado raises the error of a connection that was reset, or that was
        closed since a line has no end, to the event loop, and the call would
        wait for its timeout.

        What has arrived before the close may still wait for its turn. The
        reader goes on then, and notices the close if anything is missing.
        """
        if self._is_waiting_for_turn:
            return
        try:
            super().on_connection_close()
        except (OSError, UnsatisfiableReadError):
            self._handle_exception(*sys.exc_info())


def begin_fetch(
    client: AsyncHTTPClient, request: HTTPRequest, **options: Any
) -> asyncio.Future[HTTPResponse]:
    """Start a call whose result may never be awaited.

    The caller may be cancelled, or the client closed, before the call fails.
    Tornado logs errors of cancelled futures, so the call is shielded; asyncio
    logs exceptions that are never retrieved, so they are retrieved here.
    """
    future = client.fetch(request, **options)
    future.add_done_callback(_retrieve_exception)
    return asyncio.shield(future)


def read_bearer(authorization: str) -> str:
    """Return the token of an ``Authorization`` header, empty without one.

    >>> read_bearer("Bearer top-hat"), read_bearer("Basic abc")
    ('top-hat', '')
    """
    if not authorization.lower().startswith(BEARER_PREFIX):
        return ""
    return authorization[len(BEARER_PREFIX) :].strip()


def _retrieve_exception(future: asyncio.Future[HTTPResponse]) -> None:
    if not future.cancelled():
        future.exception()
