"""Tests of telling that an instance is cut off."""

from fescuekeel.components.forward.const import (
    ISOLATION_MEMORY_S,
    ISOLATION_SILENCE_S,
)
from fescuekeel.components.forward.isolation import Isolation


def make_isolation(missed=("dc2", "dc3"), reached=(), now=10.0):
    isolation = Isolation("dc1")
    for centre in reached:
        isolation.note_reached(centre, now)
    for centre in missed:
        isolation.note_missed(centre, now + 0.1)
    return isolation


class TestCutOff:
    """Callers of a data centre behind a cut were refused for six seconds.

    Its instances had one engine between them and went on saying that they were
    ready, while those of the other data centres could have served.
    """

    def test_all_others_out_of_reach(self):
        assert make_isolation().is_cut_off(10.2)

    def test_word_from_another_data_centre_ends_it(self):
        isolation = make_isolation()
        isolation.note_reached("dc2", 10.5)
        assert not isolation.is_cut_off(10.6)

    def test_silence_after_the_last_word_begins_it(self):
        isolation = make_isolation(reached=("dc2", "dc3"))
        assert not isolation.is_cut_off(10.2)
        assert isolation.is_cut_off(10.1 + ISOLATION_SILENCE_S)

    def test_lost_data_centre_does_not_cut_off_the_others(self):
        """All instances said that they were not ready when one was lost."""
        isolation = make_isolation(missed=("dc2",))
        assert not isolation.is_cut_off(10.2)
        isolation = make_isolation(missed=("dc2", "dc3"))
        isolation.note_reached("dc4", 10.1)
        assert not isolation.is_cut_off(10.2)

    def test_own_data_centre_does_not_count(self):
        isolation = make_isolation(missed=("dc1", "dc2"))
        assert not isolation.is_cut_off(10.2)
        isolation = make_isolation()
        isolation.note_reached("dc1", 10.2)
        assert isolation.is_cut_off(10.3)

    def test_old_failures_are_forgotten(self):
        assert not make_isolation().is_cut_off(10.2 + ISOLATION_MEMORY_S)

    def test_nothing_is_known_at_the_start(self):
        assert not Isolation("dc1").is_cut_off(0.0)
