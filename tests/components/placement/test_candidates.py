"""Tests of which instance claims an endpoint."""

from fescuekeel.components.placement.candidates import CandidateTable
from fescuekeel.components.placement.claims import Claims
from fescuekeel.components.relay import UnreachableEndpoints
from fescuekeel.components.relay.unreachable import Unreachable
from fescuekeel.helpers.published import EndpointRecord
from fescuekeel.messages import Member

ENDPOINT = EndpointRecord("e1", "s", "a:1", "dc1", 8, False)
MEMBERS = {
    id: Member(id, "", data_centre, 1)
    for id, data_centre in [("i1", "dc1"), ("i2", "dc1"), ("i3", "dc2")]
}


class TestInstancesWithoutPath:
    # Guards against an endpoint that nobody orders anything, as its candidate
    # cannot reach it.
    def test_another_instance_of_the_data_centre_is_chosen(self):
        table = CandidateTable()
        first = table.find(ENDPOINT, MEMBERS)
        second = table.find(ENDPOINT, MEMBERS, {first})
        assert {first, second} == {"i1", "i2"}

    def test_without_any_there_one_elsewhere_is_chosen(self):
        assert CandidateTable().find(ENDPOINT, MEMBERS, {"i1", "i2"}) == "i3"

    def test_if_no_instance_has_a_path_the_candidate_stays(self):
        table = CandidateTable()
        first = table.find(ENDPOINT, MEMBERS)
        assert table.find(ENDPOINT, MEMBERS, set(MEMBERS)) == first


class TestClaims:
    def test_a_candidate_that_loses_its_path_gives_up_its_candidacy(self):
        unreachable = UnreachableEndpoints()
        claims = Claims("i3", 3.0, unreachable=unreachable)
        claims.step({"e1": ENDPOINT}, MEMBERS, (), 0, 1.0)
        assert not claims.own_claims_by_endpoint
        for id in ("i1", "i2"):
            unreachable.apply(id, Unreachable(names=frozenset({"e1"})))
        claims.step({"e1": ENDPOINT}, MEMBERS, (), 0, 1.2)
        assert "e1" in claims.own_claims_by_endpoint
        unreachable.apply("i1", Unreachable())
        claims.step({"e1": ENDPOINT}, MEMBERS, (), 0, 1.4)
        assert not claims.own_claims_by_endpoint
