"""The caller's answer, made of what one or more endpoints send."""

from http import HTTPStatus

from fescuekeel.components.forward.attempts import RequestState
from fescuekeel.components.forward.caller import CallerConnection
from fescuekeel.components.forward.events import EventSplitter
from fescuekeel.helpers.http_connection import IncompleteResponseError, ResponseHead

__all__ = ["ForwardedAnswer"]


class ForwardedAnswer:
    """Pass the answers of a request's attempts on as one.

    A resumable stream goes on after its last whole event, whose id is
    ``last_id``.
    """

    def __init__(self, caller: CallerConnection, state: RequestState) -> None:
        self._caller = caller
        self._state = state
        self._splitter: EventSplitter | None = None

    @property
    def last_id(self) -> str:
        """Return the id of the last event that was passed on."""
        return self._splitter.last_id if self._splitter is not None else ""

    async def begin_part(self, head: ResponseHead) -> None:
        """Begin with the answer of an attempt."""
        if self._state.resumable and head.status == HTTPStatus.OK:
            self._splitter = self._splitter or EventSplitter()
        if not self._state.answer_started:
            await self._write_head(head)
        elif head.status != HTTPStatus.OK:
            raise IncompleteResponseError(f"status {head.status} for a resumed stream")

    async def _write_head(self, head: ResponseHead) -> None:
        self._state.answer_started = True
        phrase = "OK"
        try:
            phrase = HTTPStatus(head.status).phrase
        except ValueError:
            phrase = "Answer"
        await self._caller.begin(head.status, phrase, head.headers)

    async def pass_on(self, data: bytes) -> None:
        """Pass on what can be passed on."""
        if self._splitter is not None:
            data = self._splitter.feed(data)
        if data:
            await self._caller.write(data)

    def check_end(self) -> None:
        """Raise an error if the answer ended before it was whole."""
        if self._splitter is not None and self._splitter.within_event:
            raise IncompleteResponseError("stream ended within an event")

    async def finish(self) -> None:
        """End the caller's answer."""
        rest = self._splitter.take_rest() if self._splitter is not None else b""
        if rest:
            await self._caller.write(rest)
        await self._caller.finish()

    def end_broken_part(self) -> None:
        """Discard what a broken attempt left."""
        if self._splitter is not None:
            self._splitter.begin_next_part()
