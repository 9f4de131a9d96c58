"""Tests of building the catalog from published items."""

import json

from fescuekeel.components.catalog.const import LAPSE_GRACE_S, RENEWAL_S
from fescuekeel.components.catalog.view import CatalogView
from fescuekeel.helpers.incarnation import Incarnation
from fescuekeel.helpers.published import (
    CallerLimits,
    Configuration,
    EndpointRecord,
    Position,
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


def expire(view, now):
    """Let grace periods end while all changes are known."""
    return view.expire(now, known_until=now)


class TestEndpoints:
    def test_lapsed_entry_that_is_renewed_keeps_its_endpoint(self):
        """All requests were refused right after a store outage.

        The endpoints' entries had expired in it, and were renewed later.
        """
        view = CatalogView(FakeDialect())
        view.apply(endpoint(1), False, 0.0)
        view.apply(gone(2), True, 10.0)
        assert "e1" in view.make_catalog(Position(0, 2)).endpoints_by_id
        view.apply(endpoint(3), False, 11.0)
        assert not expire(view, 10.0 + LAPSE_GRACE_S)
        assert "e1" in view.make_catalog(Position(0, 3)).endpoints_by_id

    def test_lapsed_entry_that_is_not_renewed_removes_its_endpoint(self):
        view = CatalogView(FakeDialect())
        view.apply(endpoint(1), False, 0.0)
        view.apply(gone(2), True, 10.0)
        assert expire(view, 10.0 + LAPSE_GRACE_S)
        assert view.make_catalog(Position(0, 2)).endpoints_by_id == {}

    # Guards against a live endpoint that is dropped as its entry is missing,
    # though the store went away again before it could be written again.
    def test_lapsed_entry_is_not_missing_while_changes_are_not_known(self):
        view = CatalogView(FakeDialect())
        view.apply(endpoint(1), False, 0.0)
        view.apply(gone(2), True, 10.0)
        assert not view.expire(20.0, known_until=10.0 + RENEWAL_S - 0.1)
        assert "e1" in view.make_catalog(Position(0, 2)).endpoints_by_id
        assert view.expire(20.0, known_until=10.0 + RENEWAL_S)

    def test_removal_after_the_outage_takes_effect_at_once(self):
        """An endpoint got work after it had left.

        It left soon after a store outage, and its entry counted as expired.
        """
        view = CatalogView(FakeDialect())
        view.apply(endpoint(1), False, 0.0)
        view.apply(gone(2), False, 10.0)
        assert view.make_catalog(Position(0, 2)).endpoints_by_id == {}

    def test_leaving_endpoint_gets_no_work(self):
        view = CatalogView(FakeDialect())
        view.apply(endpoint(1, leaving=True), False, 0.0)
        assert view.make_catalog(Position(0, 1)).endpoints_by_id == {}


class TestIncarnations:
    def apply(self, *items):
        view = CatalogView(FakeDialect())
        for item in items:
            view.apply(item, False, 0.0)
        return view.make_catalog(Position(0, 9)).endpoints_by_id.keys()

    def test_new_incarnation_replaces_the_previous_one(self):
        """Requests went to a restarted endpoint that had lost its adapters."""
        assert self.apply(endpoint(1, born_ms=5), endpoint(2, born_ms=7)) == {"e1@7"}

    def test_late_entry_of_an_earlier_incarnation_is_dropped(self):
        """A restarted endpoint counted as leaving.

        The last entry of its previous incarnation was written after the first
        one of the new incarnation.
        """
        late = endpoint(2, leaving=True, born_ms=5)
        assert self.apply(endpoint(1, born_ms=7), late) == {"e1@7"}

    def test_late_entry_does_not_restore_a_removed_endpoint(self):
        late = endpoint(3, born_ms=5)
        assert self.apply(endpoint(1, born_ms=7), gone(2), late) == set()

    def test_entry_without_start_time_is_left_out_if_others_have_one(self):
        """Requests went to an address at which no endpoint listened.

        Another writer had added an entry without a start time.
        """
        assert self.apply(endpoint(1, born_ms=5), endpoint(2, name="e2")) == {"e1@5"}

    def test_start_times_are_optional_if_no_entry_has_one(self):
        assert self.apply(endpoint(1), endpoint(2, name="e2")) == {"e1", "e2"}

    def test_malformed_entry_removes_the_endpoint_it_replaced(self):
        """An endpoint got requests although its entry was overwritten.

        The new value could not be decoded, and the old one stayed in force.
        """
        assert self.apply(endpoint(1), PublishedItem("k", 2, b"{")) == set()

    def test_malformed_entry_does_not_affect_other_endpoints(self):
        other = endpoint(2, name="e2")
        assert self.apply(endpoint(1), other, PublishedItem("k", 3, b"")) == {"e2"}


class TestConfiguration:
    def test_older_configuration_is_ignored(self):
        view = CatalogView(FakeDialect())
        for revision, version in enumerate((5, 4, 5)):
            item = PublishedItem("c", revision, str(version).encode())
            view.apply(item, False, 0.0)
        assert view.configuration.version == 5

    def test_malformed_configuration_keeps_the_current_one(self):
        view = CatalogView(FakeDialect())
        view.apply(PublishedItem("c", 1, b"5"), False, 0.0)
        view.apply(PublishedItem("c", 2, b"{"), False, 0.0)
        assert view.configuration.version == 5
