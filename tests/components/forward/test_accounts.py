"""Tests of authentication by key."""

import pytest

from fescuekeel.components.forward.accounts import (
    AccountBounds,
    find_account,
    is_configuration_stale,
)
from fescuekeel.errors import ErrorKind, Failure
from fescuekeel.helpers.published import (
    CallerLimits,
    ClientAccount,
    Configuration,
    Route,
    RouteKind,
    WeightedService,
    digest_key,
)

SHOP = ClientAccount("shop")
KEY = digest_key("a-key")
OTHER = digest_key("another-key")
BOUNDS = AccountBounds(change_bound_s=3.0, revoked_bound_s=5.0)


def make_route(**changes):
    return Route(
        "r",
        "h",
        "/",
        RouteKind.SAFE,
        4.0,
        0.4,
        1,
        (WeightedService("s", 1),),
        **changes,
    )


def make_configuration(accounts):
    return Configuration(7, (), {}, CallerLimits(1, 1, 1.0, 1.0), accounts)


KEYED = make_configuration({KEY: SHOP})
UNKEYED = make_configuration(None)


def find(configuration=KEYED, digest=KEY, age_s=0.5, **changes):
    found = find_account(configuration, make_route(**changes), digest, age_s, BOUNDS)
    return found.kind if isinstance(found, Failure) else found


class TestKeys:
    def test_known_key_yields_its_account(self):
        assert find() is SHOP

    def test_unknown_or_missing_key_is_rejected(self):
        """Guards against serving callers with made-up keys."""
        assert find(digest=OTHER) is ErrorKind.UNAUTHENTICATED
        assert find(digest=b"") is ErrorKind.UNAUTHENTICATED

    def test_keyless_route_requires_no_key(self):
        assert find(digest=b"", keyless=True) is None
        assert find(digest=OTHER, age_s=60.0, keyless=True) is None
        assert find(keyless=True) is SHOP

    def test_no_key_is_required_without_accounts(self):
        assert find(UNKEYED, b"", age_s=60.0) is None


class TestAge:
    def test_revoked_key_is_rejected_past_the_bound(self):
        """Guards against accepting a revoked key for minutes.

        An instance that is partitioned from the store and all peers does not
        learn of the revocation.
        """
        assert find(age_s=BOUNDS.revoked_bound_s) is ErrorKind.CONFIGURATION_STALE
        assert find(age_s=1000.0) is ErrorKind.CONFIGURATION_STALE

    def test_possibly_missed_new_key_gets_no_401(self):
        """Guards against a permanent error for a new key.

        The instance was partitioned when the key was published.
        """
        bounds = AccountBounds(change_bound_s=2.0, revoked_bound_s=0.0)
        for age_s, known in ((0.5, True), (3.0, True), (4.1, False), (60.0, False)):
            found = find_account(KEYED, make_route(), OTHER, age_s, bounds)
            kind = ErrorKind.UNAUTHENTICATED if known else ErrorKind.CONFIGURATION_STALE
            assert found.kind is kind

    def test_stale_configuration_yields_503_with_retry_after(self):
        found = find_account(KEYED, make_route(), KEY, 60.0, BOUNDS)
        assert found.response.status == 503
        assert found.retry_after_s > 0

    @pytest.mark.parametrize(
        ("configuration", "revoked_bound_s"), [(UNKEYED, 5.0), (KEYED, 0.0)]
    )
    def test_age_is_ignored_without_keys_or_bound(self, configuration, revoked_bound_s):
        assert not is_configuration_stale(configuration, 1000.0, revoked_bound_s)
