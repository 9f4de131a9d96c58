"""Admission of requests: authentication, validation and policy lookup."""

from dataclasses import dataclass

import xxhash
from returns.result import Failure as Err, Result, Success

from fescuekeel.components.gateway.schemas import (
    check_idempotency_key,
    parse_completion,
    parse_model,
)
from fescuekeel.components.tree.model import Intent, Policy, PoolKind, TreeInForce
from fescuekeel.const import MAX_BODY_BYTES
from fescuekeel.core import Bus
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers.http import read_bearer

__all__ = [
    "Admission",
    "CallerInput",
    "admit_completion",
    "admit_plain",
    "authenticate_shop",
    "get_intent",
]


@dataclass(frozen=True, slots=True)
class CallerInput:
    """The parts of a caller's HTTP request that the gateway uses."""

    authorization: str
    method: str
    path: str
    content_type: str
    body: bytes
    idempotency_key: str = ""


@dataclass(frozen=True, slots=True)
class Admission:
    """A validated and authorised request.

    ``digest`` identifies the content, to detect reuse of an idempotency key
    for another request.
    """

    policy: Policy
    caller: CallerInput
    stream: bool
    max_tokens: int
    digest: str


def get_intent(bus: Bus) -> Result[Intent, Failure]:
    """Return the tree in force."""
    in_force = bus.latest(TreeInForce)
    if in_force is None:
        return Err(Failure(ErrorKind.TREE_NOT_READY, retry_after_s=1.0))
    return Success(in_force.intent)


def authenticate_shop(intent: Intent, authorization: str) -> Result[str, Failure]:
    """Return the shop that the bearer token belongs to."""
    token = read_bearer(authorization)
    if not token:
        return Err(
            Failure(
                ErrorKind.UNAUTHENTICATED,
                "missing bearer token",
            )
        )
    shop = intent.authenticate(token)
    if shop is None:
        return Err(Failure(ErrorKind.UNAUTHENTICATED))
    return Success(shop)


def _check_size(caller: CallerInput) -> Result[str, Failure]:
    if len(caller.body) <= MAX_BODY_BYTES:
        return check_idempotency_key(caller.idempotency_key)
    detail = f"request body exceeds the limit of {MAX_BODY_BYTES} bytes"
    return Err(Failure(ErrorKind.BODY_TOO_LARGE, detail))


def _make_digest(policy: Policy, caller: CallerInput) -> str:
    digest = xxhash.xxh3_128()
    for part in (policy.shop, policy.service, str(policy.adapter), caller.method):
        digest.update(part.encode() + b"\0")
    digest.update(caller.path.encode() + b"\0" + caller.body)
    return digest.hexdigest()


def _check_kind(policy: Policy, kind: PoolKind) -> Result[Policy, Failure]:
    if policy.pool.kind is kind:
        return Success(policy)
    detail = f"service {policy.service} is not available at this path"
    return Err(Failure(ErrorKind.UNKNOWN_SERVICE, detail))


def admit_completion(intent: Intent, caller: CallerInput) -> Result[Admission, Failure]:
    """Validate and authorise a completion request."""
    return authenticate_shop(intent, caller.authorization).bind(
        lambda shop: _check_size(caller).bind(
            lambda _: _admit_body(intent, shop, caller)
        )
    )


def _admit_body(
    intent: Intent, shop: str, caller: CallerInput
) -> Result[Admission, Failure]:
    parsed = parse_completion(caller.body)
    if not isinstance(parsed, Success):
        return Err(parsed.failure())
    body = parsed.unwrap()

    def build(policy: Policy) -> Result[Admission, Failure]:
        if policy.max_tokens and body.max_tokens > policy.max_tokens:
            detail = f"max_tokens exceeds the limit of {policy.max_tokens}"
            return Err(Failure(ErrorKind.BAD_REQUEST, detail))
        digest = _make_digest(policy, caller)
        return Success(Admission(policy, caller, body.stream, body.max_tokens, digest))

    return parse_model(body.model).bind(
        lambda model: (
            intent.resolve(shop, model.service, model.adapter, model.version)
            .bind(lambda policy: _check_kind(policy, PoolKind.ENGINE))
            .bind(build)
        )
    )


def admit_plain(
    intent: Intent, service: str, caller: CallerInput
) -> Result[Admission, Failure]:
    """Validate and authorise a request to a plain service."""

    def build(policy: Policy) -> Result[Admission, Failure]:
        digest = _make_digest(policy, caller)
        return Success(Admission(policy, caller, False, 0, digest))

    return authenticate_shop(intent, caller.authorization).bind(
        lambda shop: _check_size(caller).bind(
            lambda _: (
                intent.resolve(shop, service, "", "")
                .bind(lambda policy: _check_kind(policy, PoolKind.PLAIN))
                .bind(build)
            )
        )
    )
