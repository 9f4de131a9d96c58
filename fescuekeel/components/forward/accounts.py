"""Decide whose request it is, and whether that is known for sure; pure."""

import random
from dataclasses import dataclass

from fescuekeel.components.forward.const import (
    CUT_OFF_RETRY_FROM_S,
    CUT_OFF_RETRY_TO_S,
    MISSED_PERIODS,
    REVOKED_MARGIN_S,
)
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers.published import ClientAccount, Configuration, Route

__all__ = ["AccountBounds", "find_account", "is_too_old"]


@dataclass(frozen=True, slots=True)
class AccountBounds:
    """The bounds of the settings, in seconds.

    A new key serves ``change_s`` after it was published, and one that was
    taken away serves nowhere after ``revoked_s``; zero sets no such bound.
    """

    change_s: float
    revoked_s: float


def is_too_old(configuration: Configuration, age_s: float, revoked_s: float) -> bool:
    """Tell whether keys may have been taken away without word of it.

    Guards against a key that goes on being served by an instance that was cut
    off, suspended or turned away by the store: it hears nothing of the change
    and looks well from inside. What counts is how long ago it is known to
    have had the newest configuration.
    """
    if configuration.accounts_by_digest is None or revoked_s <= 0:
        return False
    return age_s > revoked_s - REVOKED_MARGIN_S


def find_account(
    configuration: Configuration,
    route: Route,
    key_digest: bytes,
    age_s: float,
    bounds: AccountBounds,
) -> ClientAccount | Failure | None:
    """Return whose request it is, ``None`` where requests need no key.

    A key that is not known is refused at once, unless this instance has lost
    touch for longer than a new one takes: then another one is to be asked.
    """
    accounts = configuration.accounts_by_digest
    if accounts is None:
        return None
    account = accounts.get(key_digest)
    if route.open:
        return account
    if is_too_old(configuration, age_s, bounds.revoked_s):
        return _refuse_stale(age_s)
    if account is not None:
        return account
    if key_digest and age_s > MISSED_PERIODS * bounds.change_s:
        return _refuse_stale(age_s)
    return Failure(ErrorKind.UNAUTHENTICATED, "unknown key" if key_digest else "no key")


def _refuse_stale(age_s: float) -> Failure:
    """Lead callers elsewhere, where the configuration may be known."""
    return Failure(
        ErrorKind.CONFIGURATION_STALE,
        f"age {age_s:.1f} s",
        retry_after_s=random.uniform(CUT_OFF_RETRY_FROM_S, CUT_OFF_RETRY_TO_S),
    )
