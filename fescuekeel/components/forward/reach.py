"""Watch what is within reach: silent endpoints, and other data centres."""

from collections.abc import Callable, Collection

from fescuekeel.components.forward.endpoints import EndpointLoad
from fescuekeel.components.forward.isolation import Isolation
from fescuekeel.components.forward.request import ForwardedRequest
from fescuekeel.core import Instance
from fescuekeel.helpers.logging import log_event
from fescuekeel.helpers.peer_link import get_peer_link
from fescuekeel.helpers.published import EndpointRecord
from fescuekeel.messages import MemberView

__all__ = ["ReachWatch"]


class ReachWatch:
    """Take what requests and peers' messages show, and act on it.

    ``cut_off`` says that no other data centre is within reach: this instance
    is not ready then, and asks callers to close their connections.
    """

    def __init__(
        self,
        instance: Instance,
        loads_by_id: dict[str, EndpointLoad],
        find_record: Callable[[str], EndpointRecord | None],
    ) -> None:
        self.cut_off = False
        self._instance = instance
        self._loads_by_id = loads_by_id
        self._find_record = find_record
        self._isolation = Isolation(instance.settings.instance.data_centre)

    def note_missed(self, endpoint: str) -> None:
        """Note that no connection to an endpoint could be made."""
        record = self._find_record(endpoint)
        if record is not None:
            self._isolation.note_missed(record.data_centre, self._instance.now())

    def note_reached(self, endpoint: str) -> None:
        """Note that a connection to an endpoint was made."""
        record = self._find_record(endpoint)
        if record is not None:
            self._isolation.note_reached(record.data_centre, self._instance.now())

    def look(self) -> None:
        """Find whether this instance is cut off now; tell if that is new."""
        self._take_news()
        cut_off = self._isolation.is_cut_off(self._instance.now())
        if cut_off == self.cut_off:
            return
        self.cut_off = cut_off
        self._instance.metrics.count(f"cut_off.{cut_off}")
        log_event(
            "isolation_changed",
            cut_off=cut_off,
            outcome="not_ready" if cut_off else "ready",
        )

    def _take_news(self) -> None:
        """Take what peers have sent as word from their data centres."""
        view = self._instance.bus.latest(MemberView) or MemberView()
        heard_by_id = get_peer_link(self._instance).heard_by_id
        for id, heard in heard_by_id.items():
            member = view.members_by_id.get(id)
            if member is not None:
                self._isolation.note_reached(member.data_centre, heard)

    def leave_silent_endpoints(self, requests: Collection[ForwardedRequest]) -> None:
        """Take requests that may run twice from endpoints that are silent."""
        now = self._instance.now()
        silent = {
            id for id, load in self._loads_by_id.items() if load.health.is_silent(now)
        }
        for request in list(requests) if silent else ():
            endpoint = request.endpoint_now
            if endpoint in silent and request.leave_silent_endpoint():
                self._loads_by_id[endpoint].health.note_unreachable(now)
                self._instance.metrics.count("left_silent_endpoint")
