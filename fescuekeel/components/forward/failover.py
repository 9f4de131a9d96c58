"""Move a request from a silent endpoint to one that can go on with it."""

import asyncio
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from fescuekeel.components.forward.attempt import Attempt
from fescuekeel.components.forward.const import DOMAIN, FAILOVER_PAUSE_S
from fescuekeel.components.forward.exchange import Exchange
from fescuekeel.errors import Failure
from fescuekeel.helpers.logging import log_event

if TYPE_CHECKING:
    from fescuekeel.components.forward.request import ForwardedRequest

__all__ = ["Failover", "FailoverOutcome", "find_reason_to_stay"]


class FailoverOutcome(StrEnum):
    """How the preparation of a failover ended.

    ``SWITCHED``: the request goes on at the other endpoint. All others leave
    it where it is: the silent endpoint ``GOES_ON``, the attempt has ended,
    there is no other endpoint or no connection to it, the other one is silent
    as well, it is the same endpoint by the same path, the retry budget is used
    up, or the search ``FAILED`` by a fault of this program.
    """

    SWITCHED = "switched"
    GOES_ON = "goes_on"
    ATTEMPT_ENDED = "attempt_ended"
    NO_ENDPOINT = "no_endpoint"
    NOT_CONNECTED = "not_connected"
    OTHER_IS_SILENT = "other_is_silent"
    SAME_PATH = "same_path"
    OVER_BUDGET = "over_budget"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class SearchResult:
    """How a search ended, the endpoint it found, and why there is none."""

    outcome: FailoverOutcome
    target: str = ""
    failure: str = ""


def find_reason_to_stay(
    *, is_silent: bool, is_same: bool, is_other_path: bool, is_other_silent: bool
) -> FailoverOutcome | None:
    """Return why a request stays although a place elsewhere is ready; pure.

    >>> facts = {"is_same": False, "is_other_path": False}
    >>> reason = find_reason_to_stay(
    ...     is_silent=False, is_other_silent=False, **facts
    ... )
    >>> reason.value
    'goes_on'
    """
    if not is_silent:
        return FailoverOutcome.GOES_ON
    if is_same:
        return None if is_other_path else FailoverOutcome.SAME_PATH
    return FailoverOutcome.OTHER_IS_SILENT if is_other_silent else None


class Failover:
    """Prepare another attempt while the current one waits.

    The current attempt is ended only once the other endpoint has a place, the
    connection to it is open and the retry budget is charged: the silent
    endpoint may go on, and a request that has nowhere to go must not be cut
    off before it.
    """

    def __init__(self, request: "ForwardedRequest") -> None:
        self._request = request
        self._task: asyncio.Task[None] | None = None
        self._next_at = float("-inf")
        self._prepared: Exchange | None = None

    def begin(self, attempt: Attempt, by_another_path: bool) -> bool:
        """Look for another endpoint; return whether a search has begun.

        With ``by_another_path`` the silent endpoint itself may be reached
        through a peer.
        """
        instance = self._request.forwarder.instance
        if self._task is not None or self._prepared is not None:
            return False
        if instance.now() < self._next_at:
            return False
        work = self._prepare(attempt, by_another_path)
        self._task = instance.spawn(work, f"{DOMAIN}.failover")
        self._task.add_done_callback(self._handle_search_done)
        return True

    def _handle_search_done(self, task: asyncio.Task[None]) -> None:
        """Allow another search, also if this one was cancelled unstarted."""
        self._task = None

    @property
    def is_prepared(self) -> bool:
        """Return whether the current attempt was ended for another one."""
        return self._prepared is not None

    def take(self) -> Exchange | None:
        """Return the prepared attempt, if there is one."""
        prepared, self._prepared = self._prepared, None
        return prepared

    def end_search(self) -> None:
        """Stop to look for another endpoint."""
        if self._task is not None:
            self._task.cancel()

    def cancel(self) -> None:
        """Give up all preparations, as the request ends."""
        self.end_search()
        prepared = self.take()
        if prepared is not None:
            prepared.abandon()

    async def _prepare(self, attempt: Attempt, by_another_path: bool) -> None:
        instance = self._request.forwarder.instance
        began_at = instance.now()
        result = SearchResult(FailoverOutcome.FAILED)
        try:
            result = await self._find_and_switch(attempt, by_another_path)
        except asyncio.CancelledError:
            is_current = self._request.is_current(attempt)
            result = SearchResult(
                FailoverOutcome.GOES_ON if is_current else FailoverOutcome.ATTEMPT_ENDED
            )
            raise
        finally:
            self._next_at = instance.now() + FAILOVER_PAUSE_S
            self._record(attempt, by_another_path, began_at, result)

    def _record(
        self,
        attempt: Attempt,
        by_another_path: bool,
        began_at: float,
        result: SearchResult,
    ) -> None:
        instance = self._request.forwarder.instance
        health = self._request.forwarder.get_load(attempt.endpoint).health
        silent_s = health.read_silent_s(instance.now())
        instance.metrics.count(f"failover.{result.outcome}")
        log_event(
            "failover_ended",
            request_id=self._request.metadata.request_id,
            endpoint=attempt.endpoint,
            target=result.target,
            failure=result.failure,
            silent_ms=round(silent_s * 1000),
            by_another_path=by_another_path,
            answer_started=self._request.state.answer_started,
            sends=self._request.state.sends,
            took_ms=round((instance.now() - began_at) * 1000),
            outcome=result.outcome.value,
        )

    async def _find_and_switch(
        self, attempt: Attempt, by_another_path: bool
    ) -> SearchResult:
        """Find another endpoint; end the current attempt once it is ready."""
        request = self._request
        health = request.forwarder.get_load(attempt.endpoint).health
        silent_since = health.waiting_since
        received_at = attempt.received_at
        avoided = "" if by_another_path else attempt.endpoint
        choice = await request.forwarder.select_endpoint(request, avoided)
        if isinstance(choice, Failure):
            return SearchResult(FailoverOutcome.NO_ENDPOINT, failure=choice.kind.value)
        exchange = Exchange(request, request.make_attempt(choice), choice)
        outcome = FailoverOutcome.NOT_CONNECTED
        try:
            if await exchange.connect() is None:
                is_silent = attempt.received_at == received_at
                if not by_another_path:
                    # Bytes of the endpoint may come through a peer, while the
                    # direct path is lost.
                    is_silent = is_silent and health.waiting_since == silent_since
                outcome = self._switch(attempt, exchange, is_silent)
        finally:
            if outcome is not FailoverOutcome.SWITCHED:
                exchange.abandon()
        return SearchResult(outcome, target=choice.endpoint)

    def _switch(
        self, attempt: Attempt, exchange: Exchange, is_silent: bool
    ) -> FailoverOutcome:
        """End the current attempt, unless there is a reason to stay."""
        request = self._request
        if not request.is_current(attempt) or attempt.connection is None:
            return FailoverOutcome.ATTEMPT_ENDED
        is_silent = is_silent and attempt.connection.awaits_data
        forwarder = request.forwarder
        target = exchange.attempt
        now = forwarder.instance.now()
        reason = find_reason_to_stay(
            is_silent=is_silent,
            is_same=target.endpoint == attempt.endpoint,
            is_other_path=exchange.is_relayed and not attempt.connection.relayed_by,
            is_other_silent=forwarder.get_load(target.endpoint).health.is_unresponsive(
                now
            ),
        )
        if reason is not None:
            return reason
        if not forwarder.spend_retry(request):
            return FailoverOutcome.OVER_BUDGET
        exchange.is_charged = True
        self._prepared = exchange
        attempt.connection.close()
        return FailoverOutcome.SWITCHED
