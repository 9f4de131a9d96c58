"""Tests of one owner at work on a stand-in engine."""

from tests.common import eventually
from tests.components.owner.common import CUPS, Bed, run_story


class TestPath:
    def test_request_is_loaded_dispatched_and_streamed(self) -> None:
        async def story(bed: Bed) -> None:
            node = await bed.add("i1")
            bed.show(node, "i1")
            answer = await node.submit("i1", "r1")
            assert answer.accepted
            await eventually(lambda: "r1" in node.ends_by_id)
            assert node.ends_by_id["r1"].kind == ""
            assert node.positions("r1") == list(range(10))
            assert [run.request_id for run in bed.engine.runs] == ["r1"]
            assert list(bed.engine.loaded) == [str(CUPS)]
            assert node.chunks[-1].tokens == 0

        run_story(story)
