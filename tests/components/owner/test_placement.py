"""Tests of owners among instances that cannot reach an endpoint."""

from fescuekeel.components.owner.placement import Placement
from fescuekeel.helpers.owners import MAX_NEAR_OWNERS, choose_owner
from fescuekeel.messages import LiveEntry, LiveRole, Member, MemberView

ENTRY = LiveEntry("e1", LiveRole.ENDPOINT, "", "dc1", 1)


def make_members(near, far, cut=()):
    members = [Member(id, "", "dc1", 1) for id in near]
    members += [Member(id, "", "dc2", 1) for id in far]
    return {
        member.id: Member(
            member.id,
            "",
            member.data_centre,
            1,
            unreachable=frozenset({"e1"} if member.id in cut else ()),
        )
        for member in members
    }


class TestOwner:
    def test_all_instances_agree_on_it(self):
        for cut in ((), ("i1",), ("i1", "i2"), ("i1", "i2", "i3")):
            members = make_members(("i1", "i2"), ("i3",), cut)
            view = MemberView(members, {"e1": ENTRY})
            owner = choose_owner(ENTRY, members.values())
            for member in members.values():
                placement = Placement(member.id, member.data_centre)
                placement.update(view, (), 0.0)
                owns = placement.owners_by_endpoint.get("e1") == member.id
                assert owns is (owner == member.id), (cut, member.id)

    def test_one_of_another_data_centre_if_none_near_has_a_path(self):
        members = make_members(("i1", "i2"), ("i3",), ("i1", "i2"))
        assert choose_owner(ENTRY, members.values()) == "i3"

    # Guards against an endpoint that is down and polled by the whole fleet.
    def test_an_endpoint_that_is_down_has_few_owners_in_turn(self):
        near = [f"i{number}" for number in range(100)]
        cut, owners = set(), []
        for _ in range(50):
            owner = choose_owner(ENTRY, make_members(near, (), cut).values())
            owners.append(owner)
            cut.add(owner)
        assert len(set(owners)) == MAX_NEAR_OWNERS
