"""Tests of the limit on log lines about events that others cause."""

from __future__ import annotations

from jackdawridge.logs import MAX_TEXT_LENGTH, shorten
from jackdawridge.util.line_limit import LineLimit


class TestLineLimit:
    def test_one_event_of_a_kind_a_second_is_logged(self) -> None:
        lines = LineLimit()
        counts = [lines.count('a', step / 100) for step in range(201)]
        assert [count for count in counts if count] == [1, 100, 100]

    def test_kinds_are_limited_each_for_itself(self) -> None:
        lines = LineLimit()
        assert [lines.count(kind, 0) for kind in 'aab'] == [1, 0, 1]


class TestShorten:
    def test_long_texts_are_cut(self) -> None:
        text = str(shorten('x' * 2000000))
        assert text.startswith('x' * MAX_TEXT_LENGTH)
        assert text.endswith('... (2000000 characters)')
        assert len(text) < MAX_TEXT_LENGTH + 50

    def test_other_values_are_kept(self) -> None:
        assert shorten('short') == 'short'
        assert shorten(15) == 15
