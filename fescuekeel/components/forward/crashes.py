"""Report crashes of endpoints, and refuse the requests that cause them."""

import asyncio
from collections.abc import Callable
from typing import Protocol, cast

from fescuekeel.components.endpoints import EndpointStates
from fescuekeel.components.forward.attempts import RequestState
from fescuekeel.components.forward.broken_run import BrokenRun
from fescuekeel.components.forward.const import CRASH_CHECK_WAIT_S
from fescuekeel.components.forward.crash_check import CrashChecker
from fescuekeel.components.quarantine import DOMAIN as QUARANTINE_DOMAIN, Quarantine
from fescuekeel.components.relay import Relay
from fescuekeel.core import Instance
from fescuekeel.errors import Failure
from fescuekeel.helpers.dialect import CallerMetadata, Dialect
from fescuekeel.helpers.liveness import CrashEvidence
from fescuekeel.helpers.published import Catalog, EndpointRecord

__all__ = ["CrashReporter", "SuspectRequest"]


class SuspectRequest(Protocol):
    """The parts of a request by which it is judged.

    The fingerprint is only computed when it is needed, as are the parts.
    """

    metadata: CallerMetadata
    state: RequestState

    @property
    def fingerprint(self) -> str:
        """Return the digest of what an endpoint is asked to run."""

    @property
    def parts(self) -> tuple[str, ...]:
        """Return the caller's key and those of the prompt's shared parts."""


class CrashReporter:
    """Check endpoints after broken answers, and requests before each send."""

    def __init__(
        self,
        instance: Instance,
        dialect: Dialect,
        find_record: Callable[[str], EndpointRecord | None],
        relay: Relay,
        endpoints: EndpointStates,
    ) -> None:
        self._checker = CrashChecker(
            instance, dialect, find_record, relay, endpoints.record_response
        )
        self._quarantine = cast(
            Quarantine, instance.components_by_domain[QUARANTINE_DOMAIN]
        )

    def update_catalog(self, catalog: Catalog, now: float) -> None:
        """Apply a new catalog."""
        self._checker.update_catalog(catalog, now)

    def find_failure(self, request: SuspectRequest) -> Failure | None:
        """Return a failure if the request, or a part of it, is quarantined."""
        if self._quarantine.is_empty:
            return None
        may_have_run = request.state.may_have_run
        return self._quarantine.check(request.fingerprint, may_have_run, request.parts)

    def record_completed(self, request: SuspectRequest, succeeded: bool) -> None:
        """Record that an endpoint has answered the request completely.

        An endpoint may refuse a request without reading its prompt, so that
        only success says something of its parts.
        """
        parts = request.parts if succeeded else ()
        self._quarantine.record_completed(request.fingerprint, parts)

    async def handle_broken(
        self,
        request: SuspectRequest,
        run: BrokenRun,
        address: str,
    ) -> None:
        """Report a crash if the endpoint of a broken answer has crashed.

        Returns once that is known, or after a short wait: a request that an
        endpoint does not survive must not be retried before it is reported.
        """
        request_id, fingerprint = request.metadata.request_id, request.fingerprint
        parts = request.parts
        check = self._checker.start_check(run.endpoint, address)

        def report(check: asyncio.Task[CrashEvidence | None]) -> None:
            if check.cancelled() or check.exception() is not None:
                return
            evidence = check.result()
            if evidence is not None and run.was_in_crash(evidence):
                self._quarantine.record_crash(
                    request_id,
                    fingerprint,
                    run.endpoint,
                    run.began_at,
                    parts,
                    run.written_s,
                )

        check.add_done_callback(report)
        await asyncio.wait({check}, timeout=CRASH_CHECK_WAIT_S)
