"""Tests of composing the catalog from published items."""

import json

from fescuekeel.components.catalog.const import LAPSE_GRACE_S
from fescuekeel.components.catalog.view import CatalogView
from fescuekeel.helpers.published import (
    CallerLimits,
    Configuration,
    EndpointRecord,
    PublishedItem,
)

LIMITS = CallerLimits(1, 1, 1.0, 1.0)


class FakeDialect:
    """Decode numbers as configurations and all else as endpoints."""

    def decode(self, item):
        value = json.loads(item.value)
        if isinstance(value, int):
            return Configuration(value, (), {}, LIMITS)
        return EndpointRecord(value["id"], "s", "a", "dc1", 1, value["leaving"])


def endpoint(revision, leaving=False):
    value = json.dumps({"id": "e1", "leaving": leaving}).encode()
    return PublishedItem("k", revision, value)


def gone(revision):
    return PublishedItem("k", revision, None)


class TestEndpoints:
    def test_lapsed_entry_that_comes_back_was_never_gone(self):
        """All requests were refused right after the store's return.

        The endpoints' entries had lapsed while it was away, and were back two
        seconds later.
        """
        view = CatalogView(FakeDialect())
        view.take(endpoint(1), False, 0.0)
        view.take(gone(2), True, 10.0)
        assert "e1" in view.make_catalog(2).endpoints_by_id
        view.take(endpoint(3), False, 11.0)
        assert not view.expire(10.0 + LAPSE_GRACE_S)
        assert "e1" in view.make_catalog(3).endpoints_by_id

    def test_lapsed_entry_that_stays_away_is_gone(self):
        view = CatalogView(FakeDialect())
        view.take(endpoint(1), False, 0.0)
        view.take(gone(2), True, 10.0)
        assert view.expire(10.0 + LAPSE_GRACE_S)
        assert view.make_catalog(2).endpoints_by_id == {}

    def test_removal_seen_live_counts_at_once(self):
        """An endpoint got work two seconds after it had left.

        It left shortly after the store had been away for this instance, and
        was taken for one whose entry had only lapsed.
        """
        view = CatalogView(FakeDialect())
        view.take(endpoint(1), False, 0.0)
        view.take(gone(2), False, 10.0)
        assert view.make_catalog(2).endpoints_by_id == {}

    def test_leaving_endpoint_gets_no_work(self):
        view = CatalogView(FakeDialect())
        view.take(endpoint(1, leaving=True), False, 0.0)
        assert view.make_catalog(1).endpoints_by_id == {}


class TestConfiguration:
    def test_older_version_never_comes_back(self):
        view = CatalogView(FakeDialect())
        for revision, version in enumerate((5, 4, 5)):
            item = PublishedItem("c", revision, str(version).encode())
            view.take(item, False, 0.0)
        assert view.configuration.version == 5

    def test_malformed_item_leaves_the_last_one(self):
        view = CatalogView(FakeDialect())
        view.take(PublishedItem("c", 1, b"5"), False, 0.0)
        view.take(PublishedItem("c", 2, b"{"), False, 0.0)
        assert view.configuration.version == 5
