"""Tests of the parser of the list of known failures."""

from __future__ import annotations

from tests.conftest import parse_known_red


class TestParseKnownRed:
    def test_lines_are_keyed_by_test_id(self) -> None:
        text = '# comment\n\na.py::test | pytest --seed 2 | seen | issue 1\n'
        known_red = parse_known_red(text)
        assert list(known_red) == ['a.py::test']
        assert known_red['a.py::test'].endswith('issue 1')
