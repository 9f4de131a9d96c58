"""The closed list of error kinds and the answer that each one gives."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["ANSWERS_BY_KIND", "Answer", "ErrorKind", "Failure", "Ran", "RetryReason"]


class Ran(StrEnum):
    """Tell whether a request ran on an endpoint."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorKind(StrEnum):
    """Name every way in which a request can fail to get its answer."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_ADAPTER = "unknown_adapter"
    UNKNOWN_VERSION = "unknown_version"
    TREE_NOT_READY = "tree_not_ready"
    CONFIGURATION_STALE = "configuration_stale"
    RATE_LIMITED = "rate_limited"
    QUEUE_FULL = "queue_full"
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
    """Name every reason for which an attempt is made again."""

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
class Answer:
    """Describe what a caller is told for one error kind.

    ``ran`` is what holds whenever the kind is used; a failure may carry a
    more certain value. ``retry`` says whether sending the same request again
    later can help.
    """

    status: int
    ran: Ran
    retry: bool
    text: str


ANSWERS_BY_KIND: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: Answer(400, Ran.NO, False, "The request is malformed."),
    ErrorKind.BODY_TOO_LARGE: Answer(413, Ran.NO, False, "The body is too large."),
    ErrorKind.UNAUTHENTICATED: Answer(401, Ran.NO, False, "The token is not known."),
    ErrorKind.UNKNOWN_SERVICE: Answer(404, Ran.NO, False, "No such service."),
    ErrorKind.UNKNOWN_ADAPTER: Answer(404, Ran.NO, False, "No such adapter."),
    ErrorKind.UNKNOWN_VERSION: Answer(404, Ran.NO, False, "No such version."),
    ErrorKind.TREE_NOT_READY: Answer(503, Ran.NO, True, "No settings in force yet."),
    ErrorKind.CONFIGURATION_STALE: Answer(
        503, Ran.NO, True, "The settings in force may be out of date."
    ),
    ErrorKind.RATE_LIMITED: Answer(429, Ran.NO, True, "The limit is reached."),
    ErrorKind.QUEUE_FULL: Answer(503, Ran.NO, True, "The queue is full."),
    ErrorKind.TOO_LATE: Answer(503, Ran.NO, True, "It cannot be answered in time."),
    ErrorKind.EXPIRED: Answer(504, Ran.NO, True, "Its time passed in the queue."),
    ErrorKind.NO_ENDPOINT: Answer(503, Ran.NO, True, "No endpoint can be reached."),
    ErrorKind.NOT_OWNER: Answer(503, Ran.NO, True, "The owner has changed."),
    ErrorKind.MOVED: Answer(503, Ran.NO, True, "It belongs to another endpoint."),
    ErrorKind.LOAD_FAILED: Answer(503, Ran.NO, True, "The adapter did not load."),
    ErrorKind.ENDPOINT_REFUSED: Answer(503, Ran.NO, True, "The endpoint refused."),
    ErrorKind.DRAINING: Answer(503, Ran.NO, True, "The instance is leaving."),
    ErrorKind.KEY_HOME_UNREACHABLE: Answer(
        503, Ran.NO, True, "The idempotency key could not be recorded."
    ),
    ErrorKind.KEY_IN_PROGRESS: Answer(
        409, Ran.UNKNOWN, True, "A request with this key is in progress."
    ),
    ErrorKind.KEY_USED: Answer(
        409, Ran.YES, False, "A request with this key has run already."
    ),
    ErrorKind.KEY_MISMATCH: Answer(
        422, Ran.NO, False, "The key belongs to a different request."
    ),
    ErrorKind.RETRY_BUDGET_SPENT: Answer(
        503, Ran.NO, True, "The service's retry budget is spent."
    ),
    ErrorKind.CANCELLED: Answer(499, Ran.UNKNOWN, False, "The caller went away."),
    ErrorKind.OUTCOME_UNKNOWN: Answer(
        502, Ran.UNKNOWN, False, "It may or may not have run."
    ),
    ErrorKind.ANSWER_CUT: Answer(502, Ran.YES, False, "The answer was cut short."),
    ErrorKind.PEER_UNREACHABLE: Answer(503, Ran.NO, True, "A peer did not answer."),
    ErrorKind.STRANGER: Answer(403, Ran.NO, False, "The sender is not known."),
    ErrorKind.BAD_FRAME: Answer(400, Ran.NO, False, "The frame is malformed."),
    ErrorKind.INVALID_TREE: Answer(422, Ran.NO, False, "The tree is not valid."),
    ErrorKind.INVALID_SETTINGS: Answer(
        422, Ran.NO, False, "The settings are not valid."
    ),
    ErrorKind.INTERNAL: Answer(500, Ran.UNKNOWN, False, "Something went wrong."),
}


@dataclass(frozen=True, slots=True)
class Failure:
    """Carry one failure from where it is found to where it is answered.

    ``retry_after_s`` is in seconds, zero when there is no hint.

    >>> Failure(ErrorKind.QUEUE_FULL, retry_after_s=2.0).answer.status
    503
    """

    kind: ErrorKind
    detail: str = ""
    ran: Ran | None = None
    retry_after_s: float = 0.0

    @property
    def answer(self) -> Answer:
        """Return the table's answer for this kind."""
        return ANSWERS_BY_KIND[self.kind]

    @property
    def outcome(self) -> Ran:
        """Return whether the request ran, as far as it is known."""
        return self.answer.ran if self.ran is None else self.ran
