"""Tests of the membership component over real sockets."""

import asyncio

from fescuekeel.components.membership import MembershipActor
from fescuekeel.core import Instance
from fescuekeel.messages import LiveEntry, LiveList, LiveRole, MemberView
from tests.common import make_settings
from tests.components.peers.test_link import running, wait_for


class TestMembershipActor:
    def test_instances_find_and_lose_each_other(self):
        # Only one of three reads the live list; the others learn of each
        # other from whoever connects. Then one leaves and one dies.
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

                def sees(number):
                    view = instances[number].bus.latest(MemberView)
                    return set(view.members_by_id)

                await wait_for(lambda: all(len(sees(n)) == 3 for n in range(3)))
                await actors[2].stop()
                await wait_for(lambda: all(len(sees(n)) == 2 for n in range(2)))
                assert instances[0].metrics.counters_by_name["membership.gone"] == 1
                await instances[1].stop()
                await wait_for(lambda: sees(0) == {"i1"})

        asyncio.run(run())
