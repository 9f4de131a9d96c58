"""Tell whether an endpoint of a stream's software version is left."""

from fescuekeel.components.forward.const import VERSION_WAIT_S
from fescuekeel.components.forward.search import make_overload_failure
from fescuekeel.components.origins import Origins, StreamOrigin
from fescuekeel.core import Instance
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers.catalog_link import get_catalog_link
from fescuekeel.helpers.logging import log_event

__all__ = ["StreamVersions"]

MS_PER_S = 1000


class StreamVersions:
    """Tell whether a stream can go on, by what the store says now.

    An instance that stood still, or whose watch was silent, may learn from a
    peer what began a stream before it learns of the endpoints of that version.
    """

    def __init__(self, instance: Instance, origins: Origins) -> None:
        self._instance = instance
        self._origins = origins

    async def find_failure(
        self, request_id: str, origin: StreamOrigin, since: float
    ) -> Failure | None:
        """Return a failure if no endpoint can go on with a stream soon.

        The version counts as gone only if the store has answered a call that
        was sent later than ``since``. Without such an answer the caller is
        told to come back.
        """
        if self._origins.was_serving(origin, VERSION_WAIT_S):
            return None
        asked_at = self._instance.now()
        is_confirmed = await get_catalog_link(self._instance).confirm(since)
        is_serving = self._origins.was_serving(origin, VERSION_WAIT_S)
        log_event(
            "stream_version_sought",
            request_id=request_id,
            service=origin.service,
            software=origin.software,
            confirmed=is_confirmed,
            age_ms=round((self._instance.now() - asked_at) * MS_PER_S),
            outcome="serving" if is_serving else "not_serving",
        )
        if is_serving:
            return None
        if is_confirmed:
            return Failure(ErrorKind.STREAM_VERSION_GONE, origin.software)
        return make_overload_failure(ErrorKind.NO_ENDPOINT, origin.software)
