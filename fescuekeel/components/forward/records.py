"""Log events and metrics of requests."""

from collections.abc import Callable

from fescuekeel.components.forward.attempt import Attempt, Transfer
from fescuekeel.components.forward.attempts import AttemptEnd
from fescuekeel.components.forward.caller import Unwritten
from fescuekeel.components.forward.choice import Choice
from fescuekeel.components.forward.request import ForwardedRequest
from fescuekeel.core import Instance
from fescuekeel.errors import Failure
from fescuekeel.helpers.logging import log_event

__all__ = ["RequestRecords"]

# Routes that have histograms of their own; the others share one label.
MAX_LABELLED_ROUTES = 12
OTHER_ROUTES = "other"
# Callers choose these ids, of any length.
MAX_LOGGED_ID = 64
NOTHING_SENT = Transfer(0, 0.0, 0, 0)


class RequestRecords:
    """Log and count each decision on a request."""

    def __init__(self, instance: Instance, read_version: Callable[[], int]) -> None:
        self._instance = instance
        self._read_version = read_version
        self._labelled_routes: set[str] = set()

    def unrouted(self, request_id: str, failure: Failure) -> None:
        """Record the refusal of a request that was not routed."""
        self._instance.metrics.count(f"refused.{failure.kind}")
        log_event(
            "request_refused",
            request_id=request_id,
            kind=failure.kind.value,
            detail=failure.detail,
            configuration=self._read_version(),
            outcome="refused",
        )

    def retry(self, request: ForwardedRequest, end: AttemptEnd, left: int) -> None:
        """Record whether the budget allows a retry after an attempt."""
        outcome = "granted" if left > 0 else "denied"
        self._instance.metrics.count(f"retry.{end}.{outcome}")
        log_event(
            "retry_decided",
            request_id=request.metadata.request_id,
            reason=end.value,
            sends=request.state.sends,
            left=left,
            outcome=outcome,
        )

    def retry_sent(self, request: ForwardedRequest, left: int, allowed: bool) -> None:
        """Record that a retry used the budget, or was refused by it."""
        outcome = "sent" if allowed else "over_budget"
        self._instance.metrics.count(f"retry_budget.{outcome}")
        waited_s = self._instance.now() - request.arrived
        log_event(
            "retry_charged",
            request_id=request.metadata.request_id,
            service=request.service,
            sends=request.state.sends,
            age_ms=round(waited_s * 1000),
            left=left,
            outcome=outcome,
        )

    def attempt(
        self,
        request: ForwardedRequest,
        choice: Choice,
        attempt: Attempt,
        end: AttemptEnd | None,
    ) -> None:
        """Record one attempt."""
        outcome = "answered" if end is None else end.value
        self._instance.metrics.count(f"attempt.{outcome}")
        sent = attempt.transfer or NOTHING_SENT
        log_event(
            "attempt_ended",
            request_id=request.metadata.request_id,
            send=request.state.sends if attempt.transfer else 0,
            connection=sent.connection,
            connection_age_ms=round(sent.connection_age_s * 1000),
            position=sent.position,
            body_bytes=sent.body_bytes,
            unconfirmed_ms=round(sent.unconfirmed_s * 1000),
            status=attempt.head.status if attempt.head else 0,
            endpoint=choice.endpoint,
            reason=choice.reason.value,
            cost_ms=round(choice.cost_s * 1000),
            weights=str(request.weights or ""),
            version=choice.version or 0,
            software=attempt.software,
            tokens=attempt.tokens,
            tokens_ahead=attempt.tokens_ahead,
            first_ms=round(attempt.first_s * 1000),
            took_ms=round((self._instance.now() - attempt.started_at) * 1000),
            framing=attempt.framing.value if attempt.framing else "",
            ended_by=attempt.ended_by.value if attempt.ended_by else "",
            within_event=attempt.within_event,
            outcome=outcome,
        )

    def refused(self, request: ForwardedRequest, failure: Failure) -> None:
        """Record a refusal."""
        self._instance.metrics.count(f"refused.{failure.kind}")
        log_event(
            "request_refused",
            request_id=request.metadata.request_id,
            kind=failure.kind.value,
            detail=failure.detail,
            sends=request.state.sends,
            may_have_run=request.state.may_have_run,
            configuration=self._read_version(),
            age_ms=round((self._instance.now() - request.arrived) * 1000),
            outcome="refused",
        )

    def end(self, request: ForwardedRequest) -> None:
        """Record the end of a request."""
        now = self._instance.now()
        metrics = self._instance.metrics
        metrics.count(f"ended.{request.outcome or 'error'}")
        route = self._name_route(request.route.name)
        metrics.observe(f"request.{route}", now - request.arrived)
        metrics.observe(f"endpoint.{route}", now - request.arrived - request.waited_s)
        times = request.times
        first_s = times.first_at - request.arrived
        if times.first_at:
            metrics.observe(f"first_piece.{route}", first_s)
        log_event(
            "request_ended",
            request_id=request.metadata.request_id,
            route=request.route.name,
            service=request.service,
            account=request.account.name if request.account else "",
            configuration=self._read_version(),
            resumes=request.metadata.resumes[:MAX_LOGGED_ID],
            resume_after=request.metadata.resume_after[:MAX_LOGGED_ID],
            sends=request.state.sends,
            target_ms=round(request.route.target_s * 1000),
            gap_target_ms=round(request.route.gap_target_s * 1000),
            waited_ms=round(request.waited_s * 1000),
            first_ms=round(first_s * 1000) if times.first_at else -1,
            gap_ms=round(times.longest_gap_s * 1000),
            gap_at_ms=round(max(0.0, times.longest_gap_at - request.arrived) * 1000),
            took_ms=round((now - request.arrived) * 1000),
            outcome=request.outcome or "error",
        )

    def unflushed(self, request: ForwardedRequest, unwritten: Unwritten) -> None:
        """Record an answer that ended here and did not reach its caller."""
        self._instance.metrics.count("answer_unflushed")
        log_event(
            "answer_unflushed",
            request_id=request.metadata.request_id,
            route=request.route.name,
            resumable=request.route.resumable,
            bytes=unwritten.bytes_left,
            error=unwritten.error,
            age_ms=round((self._instance.now() - request.arrived) * 1000),
            since_signal_ms=round(self._instance.since_stop_requested_s * 1000),
            outcome="caller_reset" if unwritten.error else "closed_here",
        )

    def _name_route(self, name: str) -> str:
        """Return the label of a route; only the first ones have their own.

        This bounds memory: a histogram takes 26 KB, and a configuration may
        have hundreds of routes.
        """
        if name in self._labelled_routes:
            return name
        if len(self._labelled_routes) >= MAX_LABELLED_ROUTES:
            return OTHER_ROUTES
        self._labelled_routes.add(name)
        return name
