"""All error kinds and the response that the caller gets for each."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "RESPONSES_BY_KIND",
    "ErrorKind",
    "ErrorResponse",
    "Failure",
    "Ran",
    "RetryReason",
]


class Ran(StrEnum):
    """Whether a request was executed by an endpoint."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorKind(StrEnum):
    """Every reason for which a request can fail."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_ADAPTER = "unknown_adapter"
    UNKNOWN_VERSION = "unknown_version"
    TREE_NOT_READY = "tree_not_ready"
    CONFIGURATION_STALE = "configuration_stale"
    RATE_LIMITED = "rate_limited"
    QUARANTINED = "quarantined"
    STREAM_ORIGIN_UNKNOWN = "stream_origin_unknown"
    STREAM_VERSION_GONE = "stream_version_gone"
    WEIGHTS_TOO_LARGE = "weights_too_large"
    QUEUE_FULL = "queue_full"
    ENDPOINTS_LIMITED = "endpoints_limited"
    ENDPOINTS_BACKED_OFF = "endpoints_backed_off"
    TOO_LATE = "too_late"
    EXPIRED = "expired"
    NO_ENDPOINT = "no_endpoint"
    NOT_OWNER = "not_owner"
    MOVED = "moved"
    LOAD_FAILED = "load_failed"
    ENDPOINT_REFUSED = "endpoint_refused"
    DRAINING = "draining"
    KEY_HOME_UNREACHABLE = "key_home_unreachable"
    KEY_IN_PROGRESS = "key_in_progress"
    KEY_USED = "key_used"
    KEY_MISMATCH = "key_mismatch"
    RETRY_BUDGET_SPENT = "retry_budget_spent"
    CANCELLED = "cancelled"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ANSWER_CUT = "answer_cut"
    PEER_UNREACHABLE = "peer_unreachable"
    STRANGER = "stranger"
    BAD_FRAME = "bad_frame"
    INVALID_TREE = "invalid_tree"
    INVALID_SETTINGS = "invalid_settings"
    INTERNAL = "internal"


class RetryReason(StrEnum):
    """Every reason for which a request is retried."""

    NOT_OWNER = "not_owner"
    OWNER_UNREACHABLE = "owner_unreachable"
    OWNER_DRAINING = "owner_draining"
    QUEUE_FULL = "queue_full"
    LOAD_FAILED = "load_failed"
    ENDPOINT_REFUSED = "endpoint_refused"
    ENDPOINT_LOST = "endpoint_lost"
    MOVED = "moved"
    STREAM_RESUMED = "stream_resumed"


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """The response to the caller for an error kind.

    ``ran`` holds for all failures of the kind; a single failure may carry a
    more specific value. ``retry`` says whether the same request may succeed
    later.
    """

    status: int
    ran: Ran
    retry: bool
    text: str


RESPONSES_BY_KIND: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(
        400, Ran.NO, False, "The request is malformed."
    ),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(
        413, Ran.NO, False, "The body is too large."
    ),
    ErrorKind.UNAUTHENTICATED: ErrorResponse(
        401, Ran.NO, False, "The token is not known."
    ),
    ErrorKind.UNKNOWN_SERVICE: ErrorResponse(404, Ran.NO, False, "No such service."),
    ErrorKind.UNKNOWN_ADAPTER: ErrorResponse(404, Ran.NO, False, "No such adapter."),
    ErrorKind.UNKNOWN_VERSION: ErrorResponse(404, Ran.NO, False, "No such version."),
    ErrorKind.TREE_NOT_READY: ErrorResponse(
        503, Ran.NO, True, "No settings in force yet."
    ),
    ErrorKind.CONFIGURATION_STALE: ErrorResponse(
        503, Ran.NO, True, "The settings in force may be out of date."
    ),
    ErrorKind.RATE_LIMITED: ErrorResponse(429, Ran.NO, True, "The limit is reached."),
    # A status that callers do not retry, whether or not the request ran.
    ErrorKind.QUARANTINED: ErrorResponse(
        400, Ran.NO, False, "It has crashed several endpoints."
    ),
    ErrorKind.STREAM_ORIGIN_UNKNOWN: ErrorResponse(
        503, Ran.NO, True, "It is not known which software version began the stream."
    ),
    ErrorKind.STREAM_VERSION_GONE: ErrorResponse(
        503, Ran.NO, False, "No endpoint has the software version of the stream."
    ),
    ErrorKind.WEIGHTS_TOO_LARGE: ErrorResponse(
        503, Ran.NO, False, "No endpoint has the memory for the weights."
    ),
    ErrorKind.QUEUE_FULL: ErrorResponse(503, Ran.NO, True, "The queue is full."),
    ErrorKind.ENDPOINTS_LIMITED: ErrorResponse(
        503, Ran.NO, True, "All endpoints are at their rate limits."
    ),
    ErrorKind.ENDPOINTS_BACKED_OFF: ErrorResponse(
        503, Ran.NO, True, "All endpoints have asked for time without requests."
    ),
    ErrorKind.TOO_LATE: ErrorResponse(
        503, Ran.NO, True, "It cannot be answered in time."
    ),
    ErrorKind.EXPIRED: ErrorResponse(
        504, Ran.NO, True, "Its time passed in the queue."
    ),
    ErrorKind.NO_ENDPOINT: ErrorResponse(
        503, Ran.NO, True, "No endpoint can be reached."
    ),
    ErrorKind.NOT_OWNER: ErrorResponse(503, Ran.NO, True, "The owner has changed."),
    ErrorKind.MOVED: ErrorResponse(
        503, Ran.NO, True, "It belongs to another endpoint."
    ),
    ErrorKind.LOAD_FAILED: ErrorResponse(
        503, Ran.NO, True, "The adapter did not load."
    ),
    ErrorKind.ENDPOINT_REFUSED: ErrorResponse(
        503, Ran.NO, True, "The endpoint refused."
    ),
    ErrorKind.DRAINING: ErrorResponse(503, Ran.NO, True, "The instance is leaving."),
    ErrorKind.KEY_HOME_UNREACHABLE: ErrorResponse(
        503, Ran.NO, True, "The idempotency key could not be recorded."
    ),
    ErrorKind.KEY_IN_PROGRESS: ErrorResponse(
        409, Ran.UNKNOWN, True, "A request with this key is in progress."
    ),
    ErrorKind.KEY_USED: ErrorResponse(
        409, Ran.YES, False, "A request with this key has run already."
    ),
    ErrorKind.KEY_MISMATCH: ErrorResponse(
        422, Ran.NO, False, "The key belongs to a different request."
    ),
    ErrorKind.RETRY_BUDGET_SPENT: ErrorResponse(
        503, Ran.NO, True, "The service's retry budget is spent."
    ),
    ErrorKind.CANCELLED: ErrorResponse(
        499, Ran.UNKNOWN, False, "The caller went away."
    ),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(
        502, Ran.UNKNOWN, False, "It may or may not have run."
    ),
    ErrorKind.ANSWER_CUT: ErrorResponse(
        502, Ran.YES, False, "The answer was cut short."
    ),
    ErrorKind.PEER_UNREACHABLE: ErrorResponse(
        503, Ran.NO, True, "A peer did not answer."
    ),
    ErrorKind.STRANGER: ErrorResponse(403, Ran.NO, False, "The sender is not known."),
    ErrorKind.BAD_FRAME: ErrorResponse(400, Ran.NO, False, "The frame is malformed."),
    ErrorKind.INVALID_TREE: ErrorResponse(422, Ran.NO, False, "The tree is not valid."),
    ErrorKind.INVALID_SETTINGS: ErrorResponse(
        422, Ran.NO, False, "The settings are not valid."
    ),
    ErrorKind.INTERNAL: ErrorResponse(500, Ran.UNKNOWN, False, "Something went wrong."),
}


@dataclass(frozen=True, slots=True)
class Failure:
    """A failure, passed from where it is detected to where it is reported.

    ``retry_after_s`` is a hint for the caller in seconds; zero if there is
    none.

    >>> Failure(ErrorKind.QUEUE_FULL, retry_after_s=2.0).response.status
    503
    """

    kind: ErrorKind
    detail: str = ""
    ran: Ran | None = None
    retry_after_s: float = 0.0

    @property
    def response(self) -> ErrorResponse:
        """Return the response for this kind."""
        return RESPONSES_BY_KIND[self.kind]

    @property
    def outcome(self) -> Ran:
        """Return whether the request was executed, as far as is known."""
        return self.response.ran if self.ran is None else self.ran
