"""Authenticate requests by key against the known configuration; pure."""

import random
from dataclasses import dataclass

from fescuekeel.components.forward.const import (
    LOST_CONTACT_PERIODS,
    MAX_CUT_OFF_RETRY_S,
    MIN_CUT_OFF_RETRY_S,
    REVOCATION_MARGIN_S,
)
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers.published import ClientAccount, Configuration, Route

__all__ = ["AccountBounds", "find_account", "is_configuration_stale"]


@dataclass(frozen=True, slots=True)
class AccountBounds:
    """Propagation bounds from the settings, in seconds.

    A new key is accepted everywhere within ``change_bound_s`` of its
    publication, and a revoked one nowhere after ``revoked_bound_s``; zero
    disables the latter.
    """

    change_bound_s: float
    revoked_bound_s: float


def is_configuration_stale(
    configuration: Configuration, age_s: float, revoked_bound_s: float
) -> bool:
    """Return whether keys may have been revoked without this instance knowing.

    Guards against accepting a revoked key on an instance that is partitioned,
    suspended or rejected by the store. ``age_s`` is the time since the
    configuration was last confirmed to be the newest.
    """
    if configuration.accounts_by_digest is None or revoked_bound_s <= 0:
        return False
    return age_s > revoked_bound_s - REVOCATION_MARGIN_S


def find_account(
    configuration: Configuration,
    route: Route,
    key_digest: bytes,
    age_s: float,
    bounds: AccountBounds,
) -> ClientAccount | Failure | None:
    """Return the request's account, or ``None`` if no key is required.

    An unknown key is rejected, unless this instance may have missed the
    publication of a new one: the caller is then asked to retry elsewhere.
    """
    accounts = configuration.accounts_by_digest
    if accounts is None:
        return None
    account = accounts.get(key_digest)
    if route.keyless:
        return account
    if is_configuration_stale(configuration, age_s, bounds.revoked_bound_s):
        return _make_stale_failure(age_s)
    if account is not None:
        return account
    if key_digest and age_s > LOST_CONTACT_PERIODS * bounds.change_bound_s:
        return _make_stale_failure(age_s)
    return Failure(ErrorKind.UNAUTHENTICATED, "unknown key" if key_digest else "no key")


def _make_stale_failure(age_s: float) -> Failure:
    """Tell the caller to retry, by then at an up-to-date instance."""
    return Failure(
        ErrorKind.CONFIGURATION_STALE,
        f"age {age_s:.1f} s",
        retry_after_s=random.uniform(MIN_CUT_OFF_RETRY_S, MAX_CUT_OFF_RETRY_S),
    )
