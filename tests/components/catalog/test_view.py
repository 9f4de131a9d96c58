"""Tests of composing the catalog from published items."""

import json

from fescuekeel.components.catalog.const import LAPSE_GRACE_S
from fescuekeel.components.catalog.view import CatalogView
from fescuekeel.helpers.incarnation import Incarnation
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
        id = str(Incarnation(value["name"], value["born_ms"]))
        return EndpointRecord(id, "s", "a", "dc1", 1, value["leaving"])


def endpoint(revision, leaving=False, born_ms=0, name="e1"):
    value = {"name": name, "leaving": leaving, "born_ms": born_ms}
    key = "k" if name == "e1" else name
    return PublishedItem(key, revision, json.dumps(value).encode())


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


class TestIncarnations:
    def take(self, *items):
        view = CatalogView(FakeDialect())
        for item in items:
            view.take(item, False, 0.0)
        return view.make_catalog(9).endpoints_by_id.keys()

    def test_new_start_takes_the_place_of_the_last(self):
        """Requests for adapters went to an endpoint that held none any more.

        It had crashed and started again under its name.
        """
        assert self.take(endpoint(1, born_ms=5), endpoint(2, born_ms=7)) == {"e1@7"}

    def test_late_entry_of_an_earlier_start_changes_nothing(self):
        """An endpoint that had just come back was taken for leaving.

        The last entry of the start before, which was draining, reached the
        store after the first one of the new start.
        """
        late = endpoint(2, leaving=True, born_ms=5)
        assert self.take(endpoint(1, born_ms=7), late) == {"e1@7"}

    def test_late_entry_does_not_bring_back_what_is_gone(self):
        late = endpoint(3, born_ms=5)
        assert self.take(endpoint(1, born_ms=7), gone(2), late) == set()

    def test_entry_without_birth_names_nothing_where_others_tell_theirs(self):
        """Requests went to an address at which no endpoint listened.

        Another writer had put an entry there, without a time of birth.
        """
        assert self.take(endpoint(1, born_ms=5), endpoint(2, name="e2")) == {"e1@5"}

    def test_births_that_nobody_tells_are_not_asked_for(self):
        assert self.take(endpoint(1), endpoint(2, name="e2")) == {"e1", "e2"}

    def test_malformed_entry_takes_away_what_it_replaced(self):
        """An endpoint got requests although its entry was overwritten.

        The new bytes could not be read, and the entry before stayed in force.
        """
        assert self.take(endpoint(1), PublishedItem("k", 2, b"{")) == set()

    def test_malformed_entry_leaves_all_others(self):
        other = endpoint(2, name="e2")
        assert self.take(endpoint(1), other, PublishedItem("k", 3, b"")) == {"e2"}


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
