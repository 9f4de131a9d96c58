"""Client for endpoints' holders, the instances that issue their orders."""

from fescuekeel.core import Instance
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.peer_link import get_peer_link
from fescuekeel.helpers.placement_view import NOT_HOLDER, PlacementView
from fescuekeel.messages import AdmitAnswer, AdmitAsk, LoadAnswer, LoadAsk

__all__ = ["HolderClient"]

# An instance that is not the holder may redirect to it; further redirects are
# not followed.
MAX_HOLDERS_ASKED = 2


class HolderClient:
    """Send load and admission requests to the holder of an endpoint."""

    def __init__(self, instance: Instance) -> None:
        self._instance = instance

    def find(self, endpoint: str) -> str | None:
        """Return the holder of an endpoint, or an instance that knows it."""
        view = self._instance.bus.latest(PlacementView)
        return view.find_holder(endpoint, self._instance.now()) if view else None

    async def ask_load(self, ask: LoadAsk, timeout_s: float) -> LoadAnswer | None:
        """Request a load; return ``None`` if there is no answer."""
        answer = await self._ask(ask, timeout_s)
        return answer if isinstance(answer, LoadAnswer) else None

    async def ask_admission(
        self, ask: AdmitAsk, timeout_s: float
    ) -> AdmitAnswer | None:
        """Request a prompt's admission; return ``None`` without an answer."""
        answer = await self._ask(ask, timeout_s)
        if not isinstance(answer, AdmitAnswer) or answer.reason == NOT_HOLDER:
            return None
        return answer

    async def _ask(
        self, ask: LoadAsk | AdmitAsk, timeout_s: float
    ) -> LoadAnswer | AdmitAnswer | None:
        answer: LoadAnswer | AdmitAnswer | None = None
        until = self._instance.now() + timeout_s
        for _ in range(MAX_HOLDERS_ASKED):
            holder = self.find(ask.endpoint)
            if holder is None:
                break
            answer = await self._ask_one(holder, ask, until)
            if answer is None or not self._is_redirect(ask.endpoint, holder, answer):
                break
        return answer

    async def _ask_one(
        self, holder: str, ask: LoadAsk | AdmitAsk, until: float
    ) -> LoadAnswer | AdmitAnswer | None:
        now = self._instance.now()
        link = get_peer_link(self._instance)
        answered = await link.ask(holder, ask, max(0.0, until - now))
        answer = answered.value_or(None)
        if isinstance(answer, LoadAnswer | AdmitAnswer):
            return answer
        # Loads and admissions may take the whole timeout, so only an earlier
        # failure shows that the holder does not respond.
        if self._instance.now() < until:
            self._record_silent(holder, ask.endpoint, now)
        return None

    def _record_silent(self, holder: str, endpoint: str, asked: float) -> None:
        now = self._instance.now()
        view = self._instance.bus.latest(PlacementView)
        if view is not None:
            view.record_unresponsive(holder, now)
        log_event(
            "holder_silent",
            holder=holder,
            endpoint=endpoint,
            waited_ms=round((now - asked) * 1000),
            outcome="not_asked",
        )

    def _is_redirect(
        self, endpoint: str, asked: str, answer: LoadAnswer | AdmitAnswer
    ) -> bool:
        """Return whether the answer redirects to another instance."""
        reason = answer.detail if isinstance(answer, LoadAnswer) else answer.reason
        view = self._instance.bus.latest(PlacementView)
        if reason != NOT_HOLDER or view is None:
            return False
        return view.record_redirect(endpoint, asked, answer.holder)
