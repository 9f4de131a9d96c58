"""Validated models of what callers send and get."""

import re

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure as Err, Result, Success

from fescuekeel.components.gateway.const import MAX_KEY_CHARS, MAX_REQUEST_ID_CHARS
from fescuekeel.errors import ErrorKind, Failure

__all__ = [
    "CompletionBody",
    "ErrorBody",
    "ErrorDetail",
    "ModelName",
    "check_idempotency_key",
    "clean_request_id",
    "parse_completion",
    "parse_model",
    "to_error_body",
]

MODEL_PATTERN = re.compile(
    r"^(?P<service>[A-Za-z0-9._-]{1,64})/(?P<adapter>[A-Za-z0-9._-]{1,128})"
    r"(?:@(?P<version>[A-Za-z0-9._-]{1,32}))?$"
)
ID_PATTERN = re.compile(r"[^A-Za-z0-9._-]")


class ModelName(BaseModel):
    """The parts of ``SERVICE/ADAPTER@VERSION``; the version may be empty."""

    model_config = ConfigDict(frozen=True)

    service: str
    adapter: str
    version: str = ""


class CompletionBody(BaseModel):
    """What the system itself reads in a completion request."""

    model_config = ConfigDict(extra="allow", frozen=True, strict=True)

    model: str
    prompt: str
    max_tokens: int = Field(default=16, ge=1, le=65_536)
    stream: bool = False


class ErrorDetail(BaseModel):
    """Why there is no answer, whether the request ran, when to come back."""

    kind: str
    ran: str
    message: str
    retry_after_s: float | None = None


class ErrorBody(BaseModel):
    """The body of every refusal."""

    error: ErrorDetail


def parse_model(text: str) -> Result[ModelName, Failure]:
    """Split a model name; a version stays the text that it is.

    >>> parse_model("patter/linking-rings@1.10").unwrap().version
    '1.10'
    >>> parse_model("rings").failure().kind.value
    'bad_request'
    """
    match = MODEL_PATTERN.match(text)
    if match is None:
        detail = "model is not SERVICE/ADAPTER or SERVICE/ADAPTER@VERSION"
        return Err(Failure(ErrorKind.BAD_REQUEST, detail))
    return Success(ModelName(**match.groupdict(default="")))


def parse_completion(body: bytes) -> Result[CompletionBody, Failure]:
    """Validate the body of a completion request.

    >>> parse_completion(b"{}").failure().detail
    'model: Field required; prompt: Field required'
    """
    try:
        return Success(CompletionBody.model_validate(orjson.loads(body)))
    except orjson.JSONDecodeError as error:
        return Err(Failure(ErrorKind.BAD_REQUEST, f"not JSON: {error}"))
    except ValidationError as error:
        details = [
            f"{'.'.join(map(str, item['loc']))}: {item['msg']}"
            for item in error.errors()
        ]
        return Err(Failure(ErrorKind.BAD_REQUEST, "; ".join(details)))


def check_idempotency_key(key: str) -> Result[str, Failure]:
    """Refuse a key that is too long or not printable."""
    if len(key) <= MAX_KEY_CHARS and key.isprintable():
        return Success(key)
    detail = f"the idempotency key has {MAX_KEY_CHARS} printable characters at most"
    return Err(Failure(ErrorKind.BAD_REQUEST, detail))


def clean_request_id(text: str) -> str:
    """Make a caller's request id safe for logs and headers.

    >>> clean_request_id("order 7")
    'order_7'
    """
    return ID_PATTERN.sub("_", text)[:MAX_REQUEST_ID_CHARS]


def to_error_body(failure: Failure) -> bytes:
    """Return the JSON body that tells a caller of a failure."""
    detail = ErrorDetail(
        kind=failure.kind.value,
        ran=failure.outcome.value,
        message=failure.detail or failure.response.text,
        retry_after_s=failure.retry_after_s or None,
    )
    return ErrorBody(error=detail).model_dump_json(exclude_none=True).encode()
