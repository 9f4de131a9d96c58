"""Tests of the daemon's settings file."""

import pytest

from fescuekeel.errors import ErrorKind
from fescuekeel.helpers.settings import parse_settings, read_settings
from tests.common import SETTINGS

INSTANCE_SECTION = "[instance]\nid = i1\ndata_centre = dc1\n"


class TestSettings:
    @pytest.mark.parametrize(
        ("text", "place"),
        [
            ("", "instance"),
            ("[instance]\n", "instance.id"),
            (INSTANCE_SECTION + "speed = 9\n", "instance.speed"),
            (INSTANCE_SECTION + "[pears]\nseeds = x\n", "pears"),
            (INSTANCE_SECTION + "id = i2\n", "already exists"),
            ("id = i1\n", "no section headers"),
        ],
    )
    def test_error_names_the_section_and_key(self, text, place):
        failure = parse_settings(text).failure()
        assert failure.kind is ErrorKind.INVALID_SETTINGS
        assert place in failure.detail

    def test_error_names_a_missing_file(self, tmp_path):
        path = tmp_path / "none.ini"
        failure = read_settings(path).failure()
        assert failure.kind is ErrorKind.INVALID_SETTINGS
        assert str(path) in failure.detail

    @pytest.mark.parametrize("end", [-1, -2, -5])
    def test_file_that_ends_within_a_line_is_invalid(self, tmp_path, end):
        """Guards against a value that was cut while the file is written."""
        path = tmp_path / "cut.ini"
        path.write_text(SETTINGS.format(id="i1", data_centre="dc1")[:end])
        failure = read_settings(path).failure()
        assert "incomplete" in failure.detail
