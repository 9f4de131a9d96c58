"""Tests of which instances receive updates."""

from types import SimpleNamespace

from fescuekeel.components.placement.const import SMALL_FLEET_INSTANCES
from fescuekeel.components.placement.publisher import UpdatePublisher
from fescuekeel.components.placement.updates import EndpointSnapshot
from fescuekeel.core import Bus
from fescuekeel.helpers.placement_view import PlacementView
from fescuekeel.helpers.published import Weights
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
