"""Fixtures shared by the tests."""

import pytest
from hypothesis import settings

from fescuekeel.core import Instance
from tests.common import make_settings

settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile("ci")


@pytest.fixture
def instance() -> Instance:
    """Return an instance without components."""
    return Instance(make_settings())
