"""Tests of what is remembered of streams, where, and what follows from it."""

from hypothesis import given, strategies as st

from fescuekeel.components.origins.const import MAX_VERSIONS
from fescuekeel.components.origins.homes import list_asked, list_homes
from fescuekeel.components.origins.ledger import OriginLedger, StreamOrigin
from fescuekeel.components.origins.lookup import OriginReport, decide
from fescuekeel.components.origins.versions import SoftwareVersions
from fescuekeel.helpers.published import EndpointRecord

OLD = StreamOrigin("s", "v1")
NEW = StreamOrigin("s", "v2")
HORIZON_S = 60.0


def make_report(origin=None, seen=("v1",), watched_s=100.0, age_s=1.0):
    return OriginReport(origin, frozenset(seen), watched_s, age_s)


def decide_on(own, *others, is_confirmed=True):
    return decide("s", own, others, HORIZON_S, is_confirmed)


def make_record(id, software):
    return EndpointRecord(id, "s", "a:1", "dc1", 8, False, software=software)


class TestLedger:
    def test_oldest_streams_go_first(self):
        ledger = OriginLedger(max_streams=3)
        for number in range(5):
            ledger.record(f"r{number}", OLD, 10.0, 0.0)
        assert len(ledger) == 3
        assert ledger.find("r1", 1.0) is None
        assert ledger.find("r4", 1.0) == OLD

    # Guards against a stream that goes on at the version of another one whose
    # caller used the same id.
    def test_an_id_of_two_streams_tells_nothing(self):
        ledger = OriginLedger()
        ledger.record("r", OLD, 10.0, 0.0)
        ledger.record("r", NEW, 10.0, 1.0)
        ledger.record("r", NEW, 10.0, 2.0)
        report = make_report(ledger.find("r", 5.0))
        assert decide_on(report, make_report(NEW)) is None
        ledger.record("r", NEW, 30.0, 11.0)
        assert ledger.find("r", 12.0) == NEW

    def test_expired_streams_are_dropped(self):
        ledger = OriginLedger()
        ledger.record("r", OLD, 10.0, 0.0)
        ledger.expire(10.0)
        assert not len(ledger)


class TestVersions:
    def test_version_that_has_left_counts_for_a_while(self):
        versions = SoftwareVersions()
        versions.update([make_record("e1", "v1"), make_record("e2", "v2")], 0.0)
        versions.update([make_record("e2", "v2")], 10.0)
        assert versions.list_seen("s", 10.0) == {"v1", "v2"}
        assert versions.list_seen("s", 10.1) == {"v2"}
        assert versions.get_watched_s(15.0) == 15.0

    def test_versions_are_bounded(self):
        versions = SoftwareVersions()
        for number in range(100):
            versions.update([make_record("e1", f"v{number}")], float(number))
        assert len(versions.list_seen("s", 0.0)) == MAX_VERSIONS + 1


@st.composite
def fleets(draw):
    count = draw(st.integers(1, 12))
    centres = {f"i{n}": draw(st.sampled_from("abc")) for n in range(count)}
    ended = draw(st.sets(st.sampled_from(sorted(centres)), max_size=count - 1))
    started = draw(st.integers(0, 2))
    return centres, ended, started


class TestHomes:
    @given(fleets(), st.text("0123456789abcdef", min_size=1, max_size=16))
    def test_homes_that_are_left_are_asked(self, fleet, stream):
        """Whichever instances end, and if two others join."""
        centres, ended, started = fleet
        homes = list_homes(stream, centres)
        left = {id: centre for id, centre in centres.items() if id not in ended}
        alive = [id for id in homes if id in left]
        assert set(alive) <= set(list_asked(stream, left))
        joined = left | {f"j{n}": "a" for n in range(started)}
        if alive and started:
            assert set(alive) & set(list_asked(stream, joined))

    @given(fleets(), st.text("0123456789abcdef", min_size=1, max_size=16))
    def test_homes_are_in_two_data_centres(self, fleet, stream):
        centres, _, _ = fleet
        homes = list_homes(stream, centres)
        wanted = min(2, len(set(centres.values())))
        assert len({centres[id] for id in homes}) >= wanted
        assert len(homes) == min(3, len(centres))

    def test_without_instances_there_are_none(self):
        assert list_homes("r", {}) == []


class TestDecide:
    def test_one_report_that_knows_is_enough(self):
        assert decide_on(make_report(seen=()), make_report(), make_report(NEW)) == NEW

    def test_reports_that_differ_tell_nothing(self):
        assert decide_on(make_report(OLD), make_report(NEW)) is None

    # Guards against a guess by an instance that cannot know.
    def test_two_versions_within_the_horizon_tell_nothing(self):
        both = make_report(seen=("v1", "v2"))
        assert decide_on(both, make_report()) is None

    # Guards against a guess from catalogs that may lack a new version, however
    # recent they are and whoever has the same.
    def test_instances_without_the_store_tell_nothing(self):
        for age_s in (0.0, 1.0, 10.0):
            report = make_report(age_s=age_s)
            assert decide_on(report, report, is_confirmed=False) is None
            assert decide_on(report, is_confirmed=False) is None
            assert decide_on(report, is_confirmed=True) == OLD

    # Guards against a version that served after a witness had last heard of
    # the store, and before this instance began to watch it.
    def test_a_witness_has_to_know_the_time_before_the_own_start(self):
        young = make_report(watched_s=5.0)
        assert decide_on(young, make_report(age_s=5.0)) == OLD
        assert decide_on(young, make_report(age_s=5.1)) is None

    def test_an_instance_that_has_just_started_needs_a_witness(self):
        young = make_report(watched_s=5.0)
        assert decide_on(young, young) is None
        assert decide_on(young, make_report()) == OLD

    def test_a_service_without_endpoints_tells_nothing(self):
        empty = make_report(seen=())
        assert decide_on(empty, empty) is None
