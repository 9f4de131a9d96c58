"""Tests of who is told what endpoints hold."""

from types import SimpleNamespace

from fescuekeel.components.placement.const import NEWS_FLEET
from fescuekeel.components.placement.news import EndpointNews
from fescuekeel.components.placement.teller import NewsTeller
from fescuekeel.core import Bus
from fescuekeel.helpers.board import PlacementBoard
from fescuekeel.helpers.published import Weights
from fescuekeel.messages import Member, MemberView

CENTRES = ("dc1", "dc2", "dc3")
CARDS = Weights("m", "cards")


class StandInLink:
    """Note who is told."""

    def __init__(self):
        self.told = []

    def send_all(self, instance_ids, body):
        self.told.append((set(instance_ids), body))


def make_members(size):
    return {
        f"i{number}": Member(f"i{number}", "", CENTRES[number % 3], 1)
        for number in range(size)
    }


class World:
    """One instance, i0 of dc1, that holds one endpoint."""

    def __init__(self, size, endpoint_centre="dc1"):
        self.link = StandInLink()
        self.bus = Bus()
        self.centres = {endpoint_centre}
        self.news = [EndpointNews("e1", 1, {CARDS: 1}, 0, 0)]
        instance = SimpleNamespace(
            id="i0",
            bus=self.bus,
            now=lambda: 100.0,
            settings=SimpleNamespace(instance=SimpleNamespace(data_centre="dc1")),
            components_by_domain={"peers": self.link},
        )
        self.teller = NewsTeller(
            instance, PlacementBoard(), lambda: self.news, lambda: set(self.centres)
        )
        self.see(make_members(size))

    def see(self, members):
        self.members = members
        self.bus.publish_state(MemberView(members))

    def list_told(self):
        self.link.told.clear()
        self.teller.step()
        return set().union(*(told for told, _ in self.link.told))

    def list_members(self, *centres):
        return {
            member.id
            for member in self.members.values()
            if member.data_centre in centres and member.id != "i0"
        }


class TestAudience:
    def test_small_fleet_is_told_as_a_whole(self):
        world = World(NEWS_FLEET)
        assert world.list_told() == world.list_members(*CENTRES)

    def test_large_fleet_is_told_near_the_endpoints_only(self):
        world = World(195)
        assert world.list_told() == world.list_members("dc1")

    def test_data_centre_that_comes_back_hears_who_holds_its_endpoints(self):
        """Two instances gave orders to one engine within a second.

        Its data centre had been lost, and an instance of another one held it.
        The instances of the lost one came back, heard of no holder, and the
        candidate among them claimed it after a lease.
        """
        world = World(195, endpoint_centre="dc2")
        everybody = world.members
        world.see({id: m for id, m in everybody.items() if m.data_centre != "dc2"})
        world.list_told()
        world.see(everybody)
        world.link.told.clear()
        world.teller.step()
        newcomers, _ = world.link.told[0]
        assert world.list_members("dc2") <= newcomers
        assert world.list_told() <= world.list_members("dc1", "dc2")
