"""Schemas and validation of the callers' requests and error responses."""

import re

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure as Err, Result, Success

from fescuekeel.components.gateway.const import (
    MAX_IDEMPOTENCY_KEY_CHARS,
    MAX_REQUEST_ID_CHARS,
)
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
    """The fields of a completion request that the gateway reads."""

    model_config = ConfigDict(extra="allow", frozen=True, strict=True)

    model: str
    prompt: str
    max_tokens: int = Field(default=16, ge=1, le=65_536)
    stream: bool = False


class ErrorDetail(BaseModel):
    """Reason of a failure, whether the request ran, and when to retry."""

    kind: str
    ran: str
    message: str
    retry_after_s: float | None = None


class ErrorBody(BaseModel):
    """Body of an error response."""

    error: ErrorDetail


def parse_model(text: str) -> Result[ModelName, Failure]:
    """Split a model name; the version is an opaque string.

    >>> parse_model("patter/linking-rings@1.10").unwrap().version
    '1.10'
    >>> parse_model("rings").failure().kind.value
    'bad_request'
    """
    match = MODEL_PATTERN.match(text)
    if match is None:
        detail = "model must be SERVICE/ADAPTER or SERVICE/ADAPTER@VERSION"
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
        return Err(Failure(ErrorKind.BAD_REQUEST, f"invalid JSON: {error}"))
    except ValidationError as error:
        details = [
            f"{'.'.join(map(str, item['loc']))}: {item['msg']}"
            for item in error.errors()
        ]
        return Err(Failure(ErrorKind.BAD_REQUEST, "; ".join(details)))


def check_idempotency_key(key: str) -> Result[str, Failure]:
    """Reject an idempotency key that is too long or not printable."""
    if len(key) <= MAX_IDEMPOTENCY_KEY_CHARS and key.isprintable():
        return Success(key)
    detail = (
        "idempotency key must be printable and at most "
        f"{MAX_IDEMPOTENCY_KEY_CHARS} characters long"
    )
    return Err(Failure(ErrorKind.BAD_REQUEST, detail))


def clean_request_id(text: str) -> str:
    """Sanitize a caller's request id for logs and headers.

    >>> clean_request_id("order 7")
    'order_7'
    """
    return ID_PATTERN.sub("_", text)[:MAX_REQUEST_ID_CHARS]


def to_error_body(failure: Failure) -> bytes:
    """Return the JSON body of the error response for a failure."""
    detail = ErrorDetail(
        kind=failure.kind.value,
        ran=failure.outcome.value,
        message=failure.detail or failure.response.text,
        retry_after_s=failure.retry_after_s or None,
    )
    return ErrorBody(error=detail).model_dump_json(exclude_none=True).encode()
