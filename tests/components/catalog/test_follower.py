"""Tests of following what is published."""

import hypothesis.strategies as st
from hypothesis import given

from fescuekeel.components.catalog.const import MAX_REMOVED
from fescuekeel.components.catalog.follower import Follower, ListPage, WatchChanges
from fescuekeel.components.catalog.items import ItemStore
from fescuekeel.helpers.dialect import SourceReply, SourceStatus
from fescuekeel.helpers.published import PublishedItem


def item(key, revision, value=b"x"):
    return PublishedItem(key, revision, value)


def page(*items, revision=10, more=False):
    return SourceReply(SourceStatus.OK, items, revision, more)


class TestItemStore:
    def test_key_that_a_listing_lacks_is_gone(self):
        """Requests went on to an endpoint that had long left.

        Its leaving fell into a gap of the store's history; the listing that
        followed had no entry of it, which nobody took for a removal.
        """
        store = ItemStore()
        store.merge([item("a", 1), item("b", 2)], 2)
        assert store.merge_listing([item("b", 2)], 5) == ["a"]
        assert store.items_by_key["a"].value is None

    def test_newer_item_survives_an_older_listing(self):
        store = ItemStore()
        store.merge([item("a", 9)], 9)
        assert store.merge_listing([], 5) == []
        assert store.items_by_key["a"].value == b"x"

    @given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(1, 30))))
    def test_order_of_arrival_does_not_matter(self, changes):
        """Whatever comes first, from the store or a peer, the latest stays."""
        by_revision = {revision: key for key, revision in changes}
        items = [
            item(key, revision, str(revision).encode())
            for revision, key in by_revision.items()
        ]
        first, second = ItemStore(), ItemStore()
        for one in items:
            first.merge([one], 0)
        second.merge(reversed(items), 0)
        assert first.items_by_key == second.items_by_key

    def test_peer_gets_what_it_lacks(self):
        store = ItemStore()
        store.merge([item("a", 1), item("b", 5)], 5)
        assert [known.key for known in store.list_since(3)] == ["b"]


class TestRemovalsBeforeAListing:
    """Requests went to an endpoint that had been gone for a minute.

    An instance was behind and asked a peer that had just started. That one
    knew of the entries that there were, not of one removed before, and its
    answer was taken for all changes.
    """

    def test_listing_marks_from_where_removals_are_known(self):
        store = ItemStore()
        assert store.removals_known_from == 0
        store.merge_listing([item("a", 3)], 7)
        assert store.removals_known_from == 7
        store.merge([item("b", 8, None)], 8)
        assert store.removals_known_from == 7

    def test_who_is_behind_a_listing_gets_all(self):
        fresh, behind = ItemStore(), ItemStore()
        fresh.merge_listing([item("a", 3)], 7)
        behind.merge([item("a", 3), item("gone", 4)], 4)
        assert behind.revision < fresh.removals_known_from
        changed = behind.merge_listing(fresh.list_all(), fresh.revision)
        assert changed == ["gone"]
        assert behind.items_by_key["gone"].value is None

    def test_forgotten_removals_are_not_known_any_more(self):
        store = ItemStore()
        for number in range(MAX_REMOVED + 1):
            store.merge([item(f"k{number}", number + 1, None)], number + 1)
        assert store.removals_known_from > 0


class TestFollower:
    def test_pages_are_listed_then_changes_watched(self):
        follower = Follower(ItemStore())
        assert follower.plan() == ListPage("")
        follower.take(page(item("a", 1), revision=7, more=True))
        assert follower.plan() == ListPage("a")
        changed = follower.take(page(item("b", 2), revision=9))
        assert changed == ["a", "b"]
        # What changed between the pages is still to be seen.
        assert follower.plan().after_revision == 7

    def test_lost_history_leads_to_a_new_listing(self):
        follower = Follower(ItemStore())
        follower.take(page(revision=7))
        follower.take(SourceReply(SourceStatus.HISTORY_LOST))
        assert isinstance(follower.plan(), ListPage)

    def test_refusals_are_repeated_ever_more_slowly(self):
        follower = Follower(ItemStore())
        pauses = []
        for _ in range(6):
            follower.take(SourceReply(SourceStatus.TURNED_AWAY))
            pauses.append(follower.pause_s)
        assert pauses == sorted(pauses)
        assert pauses[-1] <= 1.0
        assert follower.away

    def test_outage_begins_the_listing_anew(self):
        follower = Follower(ItemStore())
        follower.take(page(item("a", 1), revision=7, more=True))
        follower.fail()
        assert follower.plan() == ListPage("")

    def test_return_is_noted(self):
        follower = Follower(ItemStore())
        follower.take(page(revision=7))
        follower.fail()
        follower.take(page(revision=8))
        assert follower.returned_revision == 8

    def test_watch_goes_on_where_it_was(self):
        follower = Follower(ItemStore())
        follower.take(page(revision=7))
        follower.take(page(item("a", 8), revision=8))
        assert isinstance(follower.plan(), WatchChanges)
        assert follower.plan().after_revision == 8

    def test_changes_are_gathered_but_no_answer_without_any(self):
        follower = Follower(ItemStore(), gather_s=0.8)
        follower.take(page(revision=7))
        assert follower.pause_s == 0.0
        follower.take(page(item("a", 8), revision=8))
        assert follower.pause_s == 0.8
        follower.take(page(revision=9))
        assert follower.pause_s == 0.0
