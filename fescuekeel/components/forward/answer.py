"""The caller's answer, made of what one or more endpoints send."""

from collections.abc import Callable
from http import HTTPStatus

from fescuekeel.components.forward.attempts import RequestState
from fescuekeel.components.forward.caller import CallerConnection
from fescuekeel.components.forward.events import EventSplitter
from fescuekeel.helpers.event_stream import EventTracker
from fescuekeel.helpers.http_connection import (
    Connection,
    IncompleteResponseError,
    ResponseHead,
)
from fescuekeel.helpers.whole_answer import find_defect, is_event_stream

__all__ = ["ForwardedAnswer"]


class ForwardedAnswer:
    """Pass the answers of a request's attempts on as one.

    A resumable stream goes on after its last whole event, whose id is
    ``last_id``; its unfinished events are held back. All other answers are
    passed on as they come. ``expects_events`` decides on answers without a
    content type.

    The head is written together with the first bytes, so that an answer that
    breaks off before them can still become an error. ``on_first_event`` is
    called right before the first event of a resumable stream is passed on.
    """

    def __init__(
        self,
        caller: CallerConnection,
        state: RequestState,
        expects_events: bool,
        on_first_event: Callable[[], None],
    ) -> None:
        self._caller = caller
        self._state = state
        self._expects_events = expects_events
        self._on_first_event = on_first_event
        self._event_passed = False
        self._splitter: EventSplitter | None = None
        self._tracker: EventTracker | None = None
        self._head: ResponseHead | None = None

    @property
    def last_id(self) -> str:
        """Return the id of the last event that was passed on."""
        return self._splitter.last_id if self._splitter is not None else ""

    @property
    def within_event(self) -> bool:
        """Return whether the answer would end within an event now."""
        events = self._splitter or self._tracker
        return events is not None and events.within_event

    @property
    def can_go_on(self) -> bool:
        """Return whether another endpoint may resume the answer here."""
        if not self._state.answer_started:
            return True
        return self._splitter is not None and self._splitter.can_go_on

    def begin_part(self, head: ResponseHead) -> None:
        """Begin with the answer of an attempt.

        Raises ``IncompleteResponseError`` if a stream cannot go on with it.
        """
        has_events = is_event_stream(
            head.status, head.get("content-type"), self._expects_events
        )
        if not self._state.answer_started:
            self._head = head
            self._follow_events(head, has_events)
        elif head.status != HTTPStatus.OK or not has_events:
            raise IncompleteResponseError(f"status {head.status} for a resumed stream")

    def _follow_events(self, head: ResponseHead, has_events: bool) -> None:
        self._splitter = self._tracker = None
        if not has_events:
            return
        if self._state.resumable and head.status == HTTPStatus.OK:
            self._splitter = EventSplitter()
        else:
            self._tracker = EventTracker()

    async def _write(self, data: bytes) -> None:
        if self._head is None:
            await self._caller.write(data)
            return
        head, self._head = self._head, None
        self._state.answer_started = True
        try:
            phrase = HTTPStatus(head.status).phrase
        except ValueError:
            phrase = "Answer"
        headers = head.headers
        if self._splitter is not None:
            # Another endpoint may resume the stream with another length.
            headers = tuple(
                (name, value) for name, value in headers if name != "content-length"
            )
        await self._caller.begin(head.status, phrase, headers, data)

    async def pass_on(self, data: bytes) -> None:
        """Pass on data, but no unfinished event of a resumable stream."""
        if self._splitter is not None:
            data = self._splitter.feed(data)
        elif self._tracker is not None:
            self._tracker.feed(data)
        if self._splitter is not None and self._splitter.has_events:
            self._record_event()
        if data:
            await self._write(data)

    def _record_event(self) -> None:
        if not self._event_passed:
            self._event_passed = True
            self._on_first_event()

    def check_end(self, connection: Connection) -> None:
        """Raise ``IncompleteResponseError`` unless the answer is whole."""
        assert connection.ended_by is not None
        defect = find_defect(connection.framing, connection.ended_by, self.within_event)
        if defect:
            raise IncompleteResponseError(defect)

    async def finish(self) -> None:
        """End the caller's answer."""
        rest = self._splitter.take_rest() if self._splitter is not None else b""
        if rest or self._head is not None:
            await self._write(rest)
        await self._caller.finish()

    def end_broken_part(self) -> None:
        """Discard what a broken attempt left."""
        self._state.can_go_on = self.can_go_on
        if self._splitter is not None:
            self._splitter.begin_next_part()
