"""Tests of which endpoints load their base model."""

import hypothesis.strategies as st
from hypothesis import given

from fescuekeel.components.placement.model_loads import may_load_model

ENDPOINTS = [f"e{number}" for number in range(9)]


class TestModelLoads:
    """Guards against concurrent model loads that slow each other down."""

    def test_one_loads_while_none_has_the_model(self):
        loading = [id for id in ENDPOINTS if may_load_model(id, 0, ENDPOINTS)]
        assert loading == ["e0"]

    def test_a_service_that_mostly_serves_loads_several(self):
        loading = [id for id in ENDPOINTS if may_load_model(id, 6, ENDPOINTS)]
        assert len(loading) == 4

    @given(st.sets(st.sampled_from(ENDPOINTS), min_size=1), st.integers(0, 20))
    def test_some_endpoint_may_always_load(self, without, with_model):
        assert any(may_load_model(id, with_model, without) for id in without)
