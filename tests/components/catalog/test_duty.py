"""Tests of which instances call the store."""

from fescuekeel.components.catalog.const import WATCHER_SILENT_S, WATCHERS
from fescuekeel.components.catalog.duty import WatchDuty
from fescuekeel.messages import Member

FLEET = [Member(f"i{number}", "", "dc1", 1) for number in range(25)]
FAR = [Member(f"j{number}", "", "dc2", 1) for number in range(25)]


def list_watchers(members, heard):
    """Return who calls the store, where all have heard the same word."""
    watching = []
    for member in members:
        duty = WatchDuty(member.id, member.data_centre)
        for peer in heard:
            if peer != member.id:
                duty.note_watcher(peer, 0.0)
        if duty.must_watch(members, 0.1):
            watching.append(member.id)
    return watching


class TestLargeDataCentre:
    """Calls to the store cost a tenth of all that a day was worth.

    Each of 77 instances watched the store by itself, and each adapter that an
    endpoint loaded changed an entry there, which ended all the watches.
    """

    def test_few_call_once_they_are_heard(self):
        watchers = list_watchers(FLEET, heard=["i0", "i1"])
        assert len(watchers) == WATCHERS

    def test_all_agree_on_who_calls(self):
        first = list_watchers(FLEET, heard=["i0", "i1"])
        assert list_watchers(list(reversed(FLEET)), heard=["i3", "i4"])[::-1] == first

    def test_far_instances_do_not_count(self):
        watchers = list_watchers(FLEET + FAR, heard=["i0", "i1", "j0", "j1"])
        assert len(watchers) == 2 * WATCHERS

    def test_all_call_while_no_word_comes(self):
        """Every watcher died at the same moment, with a change to come."""
        duty = WatchDuty("i24", "dc1")
        duty.note_watcher("i0", 0.0)
        duty.note_watcher("i1", 0.3)
        assert duty.must_watch(FLEET, 0.3 + WATCHER_SILENT_S + 0.01)

    def test_small_data_centre_calls_by_itself(self):
        assert list_watchers(FLEET[:2], heard=["i0", "i1"]) == ["i0", "i1"]
