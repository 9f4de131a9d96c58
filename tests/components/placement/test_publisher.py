"""Tests of which instances receive updates."""

from types import SimpleNamespace

from hypothesis import given, strategies as st

from fescuekeel.components.placement.candidates import choose_candidate
from fescuekeel.components.placement.const import SMALL_FLEET_INSTANCES
from fescuekeel.components.placement.publisher import UpdatePublisher
from fescuekeel.components.placement.updates import EndpointSnapshot
from fescuekeel.core import Bus
from fescuekeel.helpers.placement_view import PlacementView
from fescuekeel.helpers.published import EndpointRecord, Weights
from fescuekeel.messages import Member, MemberView

CENTRES = ("dc1", "dc2", "dc3")
CARDS = Weights("m", "cards")


class FakePeerLink:
    """Record the recipients."""

    def __init__(self):
        self.sent = []

    def send_all(self, instance_ids, body):
        self.sent.append((set(instance_ids), body))


def make_members(size):
    return {
        f"i{number}": Member(f"i{number}", "", CENTRES[number % 3], 1)
        for number in range(size)
    }


class World:
    """Instance i0 of dc1, which holds one endpoint."""

    def __init__(self, size, endpoint_centre="dc1"):
        self.link = FakePeerLink()
        self.bus = Bus()
        self.centres = {endpoint_centre}
        self.snapshots = [EndpointSnapshot("e1", 1, {CARDS: 1}, 0, 0)]
        instance = SimpleNamespace(
            id="i0",
            bus=self.bus,
            now=lambda: 100.0,
            settings=SimpleNamespace(instance=SimpleNamespace(data_centre="dc1")),
            components_by_domain={"peers": self.link},
        )
        self.publisher = UpdatePublisher(
            instance,
            PlacementView(),
            lambda: self.snapshots,
            lambda: set(self.centres),
        )
        self.set_members(make_members(size))

    def set_members(self, members):
        self.members = members
        self.bus.publish_state(MemberView(members))

    def list_recipients(self):
        self.link.sent.clear()
        self.publisher.step()
        return set().union(*(sent for sent, _ in self.link.sent))

    def list_members(self, *centres):
        return {
            member.id
            for member in self.members.values()
            if member.data_centre in centres and member.id != "i0"
        }


class TestLostDataCentre:
    # Guards against two holders: an instance of a third data centre becomes
    # the candidate as others join or end, and has never heard of the claim.
    @given(st.integers(17, 80), st.lists(st.integers(0, 99), max_size=4))
    def test_all_candidates_are_told(self, size, joining):
        world = World(size, "dc9")
        for number in (-1, *joining):
            members = dict(world.members)
            if number in range(1, size):
                members.pop(f"i{number}", None)
            elif number >= 0:
                members[f"n{number}"] = Member(f"n{number}", "", "dc2", 1)
            world.set_members(members)
            world.list_recipients()
            told = world.publisher._list_recipients().keys()
            for name in ("e1", "e2", "e3"):
                record = EndpointRecord(name, "s", "a:1", "dc9", 8, False)
                candidate = choose_candidate(record, members)
                assert candidate in told | {"i0"}


class TestRecipients:
    def test_small_fleet_gets_all_updates(self):
        world = World(SMALL_FLEET_INSTANCES)
        assert world.list_recipients() == world.list_members(*CENTRES)

    def test_large_fleet_gets_updates_near_the_endpoints_only(self):
        world = World(195)
        assert world.list_recipients() == world.list_members("dc1")

    def test_returning_data_centre_gets_the_claims_to_its_endpoints(self):
        """Guards against a second holder after a data centre has returned.

        Its instances would know no holder, and their candidate would claim the
        endpoint that an instance of another data centre holds.
        """
        world = World(195, endpoint_centre="dc2")
        all_members = world.members
        world.set_members(
            {id: m for id, m in all_members.items() if m.data_centre != "dc2"}
        )
        world.list_recipients()
        world.set_members(all_members)
        world.link.sent.clear()
        world.publisher.step()
        newcomers, _ = world.link.sent[0]
        assert world.list_members("dc2") <= newcomers
        assert world.list_recipients() <= world.list_members("dc1", "dc2")
