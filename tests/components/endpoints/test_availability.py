"""Tests of the order in which endpoints are preferred."""

from fescuekeel.components.endpoints import Block, BlockReason, list_preferred


class TestUnconfirmedEndpoint:
    # Guards against requests to an endpoint that may have left, as others of
    # its service have something against them.
    def test_it_comes_after_all_others(self):
        blocks_by_id = {
            "missing": [Block(BlockReason.UNCONFIRMED)],
            "listed": [
                Block(BlockReason.UNREACHABLE),
                Block(BlockReason.CONGESTED),
                Block(BlockReason.FULL),
            ],
        }
        preferred = list_preferred(blocks_by_id, blocks_by_id.__getitem__)
        assert preferred == ["listed"]

    def test_it_is_used_if_there_is_no_other(self):
        blocks_by_id = {"missing": [Block(BlockReason.UNCONFIRMED)]}
        preferred = list_preferred(blocks_by_id, blocks_by_id.__getitem__)
        assert preferred == ["missing"]
