"""Tests of the membership component over real sockets."""

import asyncio

from fescuekeel.components.membership import MembershipActor
from fescuekeel.core import Instance
from fescuekeel.messages import LiveEntry, LiveList, LiveRole, MemberView
from tests.common import make_settings
from tests.components.peers.test_link import running, wait_for


class TestMembershipActor:
    def test_instances_discover_and_lose_each_other(self):
        # Only i1 gets the live list; the others learn of each other through
        # connections and gossip. Then i3 leaves and i2 dies.
        async def run():
            instances = [Instance(make_settings(id)) for id in ("i1", "i2", "i3")]
            async with running(*instances) as links:
                entries = {
                    instance.id: LiveEntry(
                        instance.id, LiveRole.INSTANCE, link.address, "dc1", 1
                    )
                    for instance, link in zip(instances, links, strict=True)
                }
                actors = [MembershipActor(instance) for instance in instances]
                for instance in instances:
                    instance.bus.publish_state(LiveList())
                for actor in actors:
                    await actor.start()
                instances[0].bus.publish_state(LiveList(entries))

                def list_members(number):
                    view = instances[number].bus.latest(MemberView)
                    return set(view.members_by_id)

                await wait_for(lambda: all(len(list_members(n)) == 3 for n in range(3)))
                await actors[2].stop()
                await wait_for(lambda: all(len(list_members(n)) == 2 for n in range(2)))
                assert instances[0].metrics.counters_by_name["membership.gone"] == 1
                await instances[1].stop()
                await wait_for(lambda: list_members(0) == {"i1"})

        asyncio.run(run())
