"""Tests of following the store and of merging its items."""

from dataclasses import replace

import hypothesis.strategies as st
import pytest
from hypothesis import given

from fescuekeel.components.catalog.const import MAX_REMOVED, MAX_RETRY_S
from fescuekeel.components.catalog.follower import Follower, ListPage, WatchChanges
from fescuekeel.components.catalog.items import ItemStore
from fescuekeel.components.catalog.timing import WatchTiming
from fescuekeel.helpers.dialect import StoreReply, StoreStatus
from fescuekeel.helpers.published import Position, PublishedItem

NOW = 10.0


def at(revision, era=0):
    return Position(era, revision)


def item(key, revision, value=b"x"):
    return PublishedItem(key, revision, value)


def page(*items, revision=10, more=False):
    return StoreReply(StoreStatus.OK, items, revision, more)


class TestItemStore:
    def test_key_missing_from_a_listing_is_removed(self):
        """An endpoint was used long after it left.

        Its removal was lost with the store's history, and the next listing,
        which had no entry of it, did not count as a removal.
        """
        store = ItemStore()
        store.merge([item("a", 1), item("b", 2)], at(2), NOW)
        assert store.merge_listing([item("b", 2)], at(5), NOW) == ["a"]
        assert store.items_by_key["a"].value is None

    def test_older_listing_does_not_remove_a_newer_item(self):
        store = ItemStore()
        store.merge([item("a", 9)], at(9), NOW)
        assert store.merge_listing([], at(5), NOW) == []
        assert store.items_by_key["a"].value == b"x"

    @given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(1, 30))))
    def test_order_of_arrival_does_not_matter(self, changes):
        """The highest revision wins, in any order of arrival."""
        by_revision = {revision: key for key, revision in changes}
        items = [
            item(key, revision, str(revision).encode())
            for revision, key in by_revision.items()
        ]
        first, second = ItemStore(), ItemStore()
        for one in items:
            first.merge([one], at(0), NOW)
        second.merge(reversed(items), at(0), NOW)
        assert first.items_by_key == second.items_by_key

    def test_peer_gets_items_after_its_revision(self):
        store = ItemStore()
        store.merge([item("a", 1), item("b", 5)], at(5), NOW)
        assert [known.key for known in store.list_since(at(3))] == ["b"]


class TestRemovalsBeforeAListing:
    """An endpoint was used after its removal.

    A peer that had just started answered with its items, but did not know of
    removals before its listing, and the answer was taken for all changes.
    """

    def test_listing_sets_the_revision_from_which_removals_are_known(self):
        store = ItemStore()
        assert store.removals_known_from == at(0)
        store.merge_listing([item("a", 3)], at(7), NOW)
        assert store.removals_known_from == at(7)
        store.merge([item("b", 8, None)], at(8), NOW)
        assert store.removals_known_from == at(7)

    def test_peer_behind_the_listing_gets_all_items(self):
        fresh, behind = ItemStore(), ItemStore()
        fresh.merge_listing([item("a", 3)], at(7), NOW)
        behind.merge([item("a", 3), item("gone", 4)], at(4), NOW)
        assert behind.position < fresh.removals_known_from
        changed = behind.merge_listing(fresh.list_all(), fresh.position, NOW)
        assert changed == ["gone"]
        assert behind.items_by_key["gone"].value is None

    def test_pruned_removals_are_not_known_any_more(self):
        store = ItemStore()
        for number in range(MAX_REMOVED + 1):
            store.merge([item(f"k{number}", number + 1, None)], at(number + 1), NOW)
        assert store.removals_known_from > at(0)


class TestFollower:
    def test_pages_are_listed_before_changes_are_watched(self):
        follower = Follower(ItemStore())
        assert follower.next_call() == ListPage("")
        follower.handle_reply(page(item("a", 1), revision=7, more=True), NOW)
        assert follower.next_call() == ListPage("a")
        changed = follower.handle_reply(page(item("b", 2), revision=9), NOW)
        assert changed == ["a", "b"]
        # Changes between the pages have not been seen yet.
        assert follower.next_call().after_revision == 7

    def test_lost_history_leads_to_a_new_listing(self):
        follower = Follower(ItemStore())
        follower.handle_reply(page(revision=7), NOW)
        follower.handle_reply(StoreReply(StoreStatus.HISTORY_LOST), NOW)
        assert isinstance(follower.next_call(), ListPage)

    def test_rejected_calls_are_retried_with_backoff(self):
        follower = Follower(ItemStore())
        pauses = []
        for _ in range(6):
            follower.handle_reply(StoreReply(StoreStatus.REJECTED), NOW)
            pauses.append(follower.pause_s)
        assert pauses == sorted(pauses)
        assert pauses[-1] <= 1.0
        assert follower.unavailable

    def test_outage_restarts_the_listing(self):
        follower = Follower(ItemStore())
        follower.handle_reply(page(item("a", 1), revision=7, more=True), NOW)
        follower.handle_failure(now=1.0)
        assert follower.next_call() == ListPage("")

    def test_revision_of_the_recovery_is_recorded(self):
        follower = Follower(ItemStore())
        follower.handle_reply(page(revision=7), NOW)
        follower.handle_failure(now=1.0)
        follower.handle_reply(page(revision=8), NOW)
        assert follower.recovery_position == at(8)

    def test_watch_continues_after_the_last_revision(self):
        follower = Follower(ItemStore())
        follower.handle_reply(page(revision=7), NOW)
        follower.handle_reply(page(item("a", 8), revision=8), NOW)
        assert isinstance(follower.next_call(), WatchChanges)
        assert follower.next_call().after_revision == 8

    def test_batch_delay_applies_only_after_changes(self):
        follower = Follower(ItemStore(), WatchTiming(batch_delay_s=0.8))
        follower.handle_reply(page(revision=7), NOW)
        assert follower.pause_s == 0.0
        follower.handle_reply(page(item("a", 8), revision=8), NOW)
        assert follower.pause_s == 0.8
        follower.handle_reply(page(revision=9), NOW)
        assert follower.pause_s == 0.0


def reply_of(era, *items, revision, more=False):
    """Return a reply of the store in an era, with its items marked."""
    marked = tuple(replace(each, era=era) for each in items)
    return StoreReply(StoreStatus.OK, marked, revision, more, era)


def make_watching(revision=20, era=1):
    """Return a follower that watches after its first listing."""
    follower = Follower(ItemStore())
    first = reply_of(era, item("a", revision, b"known"), revision=revision)
    follower.handle_reply(first, NOW)
    assert follower.next_call().after == at(revision, era)
    return follower


class TestAnswersThatCross:
    """Answers that were under way while the store came back from a copy."""

    def test_a_watch_answered_in_the_next_era_is_no_progress(self):
        """Guards against taking a higher revision of a new era for newer."""
        follower = make_watching()
        follower.handle_reply(reply_of(2, item("b", 40), revision=40), NOW)
        assert isinstance(follower.next_call(), ListPage)
        assert not follower.confirms
        assert follower.store.position == at(20, 1)

    def test_pages_of_two_eras_are_not_one_listing(self):
        """Guards against a key that counts as removed between two pages."""
        follower = make_watching()
        follower.handle_reply(StoreReply(StoreStatus.HISTORY_LOST, era=1), NOW)
        first = reply_of(1, item("0", 5), revision=20, more=True)
        follower.handle_reply(first, NOW)
        follower.handle_reply(reply_of(2, item("b", 6), revision=6), NOW)
        assert follower.next_call() == ListPage("")
        assert follower.store.items_by_key["a"].value == b"known"
        assert "b" not in follower.store.items_by_key

    @pytest.mark.parametrize("revision", [5, 20, 40])
    def test_a_late_answer_of_an_earlier_era_is_ignored(self, revision):
        """Guards against a replica that has not heard of the copy."""
        follower = make_watching(era=2)
        late = reply_of(1, item("a", revision, b"late"), revision=revision)
        assert follower.handle_reply(late, NOW) == []
        assert follower.outdated == 1
        assert not follower.confirms
        assert follower.unavailable
        assert follower.store.items_by_key["a"].value == b"known"
        assert follower.store.position == at(20, 2)

    def test_eras_that_passed_unseen_are_one_step(self):
        """Guards against waiting for an era that nobody was connected to."""
        follower = make_watching()
        follower.handle_reply(StoreReply(StoreStatus.HISTORY_LOST, era=4), NOW)
        listed = reply_of(4, item("a", 30, b"written since"), revision=30)
        assert follower.handle_reply(listed, NOW) == ["a"]
        assert follower.store.position == at(30, 4)

    def test_what_the_copy_says_of_an_earlier_revision_does_not_count(self):
        follower = make_watching()
        follower.handle_reply(StoreReply(StoreStatus.HISTORY_LOST, era=2), NOW)
        listed = reply_of(2, item("a", 10, b"of the copy"), revision=12)
        follower.handle_reply(listed, NOW)
        assert follower.store.items_by_key["a"].value == b"known"
        assert follower.store.position == at(12, 2)

    def test_an_era_may_begin_with_higher_revisions(self):
        """Guards against leaving out the listing if nothing went back."""
        follower = make_watching()
        follower.handle_reply(reply_of(2, revision=25), NOW)
        assert follower.next_call() == ListPage("")
        follower.handle_reply(reply_of(2, item("b", 24), revision=25), NOW)
        assert follower.store.position == at(25, 2)
        assert follower.store.items_by_key["b"].value == b"x"

    def test_history_that_is_lost_again_and_again_is_asked_for_less_often(self):
        """Guards against a loop of listings and watches without a pause."""
        follower = make_watching()
        pauses = []
        for _ in range(8):
            follower.handle_reply(StoreReply(StoreStatus.HISTORY_LOST, era=1), NOW)
            pauses.append(follower.pause_s)
            follower.handle_reply(reply_of(1, revision=20), NOW)
        assert pauses == sorted(pauses)
        assert pauses[-1] == MAX_RETRY_S


class TestEarlyAnswers:
    def test_watches_answered_at_once_without_changes_are_sent_less_often(self):
        """Guards against a loop that takes the processor and all calls."""
        follower = make_watching()
        calls, spent_s = 0, 0.0
        while spent_s < 10.0:
            follower.next_call()
            follower.handle_reply(reply_of(1, revision=20), NOW, took_s=0.001)
            spent_s += 0.001 + follower.pause_s
            calls += 1
        assert calls <= 15

    def test_a_watch_that_waited_ends_it(self):
        follower = make_watching()
        for _ in range(5):
            follower.next_call()
            follower.handle_reply(reply_of(1, revision=20), NOW, took_s=0.001)
        assert follower.pause_s > 0
        wait_s = follower.next_call().wait_s
        follower.handle_reply(reply_of(1, revision=20), NOW, took_s=wait_s)
        assert follower.pause_s == 0

    def test_changes_end_it(self):
        """Guards against changes that come late after a quiet time."""
        follower = make_watching()
        for _ in range(5):
            follower.next_call()
            follower.handle_reply(reply_of(1, revision=20), NOW, took_s=0.001)
        changed = reply_of(1, item("a", 21), revision=21)
        follower.handle_reply(changed, NOW, took_s=0.001)
        assert follower.pause_s == follower.timing.batch_delay_s
