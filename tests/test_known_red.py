"""Tests of the list of tests that are known to fail."""

from __future__ import annotations

from tests.conftest import read_known_red


class TestList:
    def test_lines_by_test(self) -> None:
        text = '# comment\n\na.py::test | pytest --seed 2 | seen | issue 1\n'
        listed = read_known_red(text)
        assert list(listed) == ['a.py::test']
        assert listed['a.py::test'].endswith('issue 1')
