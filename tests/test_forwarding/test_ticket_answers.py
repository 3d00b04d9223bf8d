"""Tests of buffered and retained answers to ticketed requests."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from jackdawridge.forwarding.messages import Header, Load, Response
from jackdawridge.forwarding.ticket_answers import (
    MAX_ANSWER_BYTES,
    AnswerCollector,
    FinalAnswer,
    KeptAnswers,
)
from jackdawridge.util.retained import RetentionBounds


def respond(collector: AnswerCollector, parts: list[bytes]) -> None:
    headers = (Header('Content-Length', '9'), Header('X-Other', 'kept'))
    load = Load(0, 0, True)
    last = len(parts) == 1
    response = Response(1, 200, headers, parts[0], last, load)
    collector.respond(response, lambda _: None)
    for number, part in enumerate(parts[1:], start=2):
        collector.write_body(part, number == len(parts))


class TestAnswerCollector:
    @given(st.lists(st.binary(max_size=50), min_size=1, max_size=9))
    def test_answer_is_complete_and_passed_on_once(
        self, parts: list[bytes]
    ) -> None:
        finals: list[FinalAnswer] = []
        respond(AnswerCollector(finals.append), parts)
        assert [final.body for final in finals] == [b''.join(parts)]
        assert finals[0].headers == (Header('X-Other', 'kept'),)

    def test_too_long_answer_becomes_an_error(self) -> None:
        finals: list[FinalAnswer] = []
        respond(AnswerCollector(finals.append), [b'x' * MAX_ANSWER_BYTES, b'x'])
        assert [final.outcome for final in finals] == ['unknown']


class TestKeptAnswers:
    def test_oldest_is_evicted_and_old_ones_expire(self) -> None:
        answers = KeptAnswers(RetentionBounds(2, 10, 100))
        for number in range(3):
            answers.keep(str(number), b'', FinalAnswer(200, (), b'x'), number)
        assert answers.find('0', 3) is None
        assert answers.find('1', 3) is not None
        assert answers.find('1', 11.5) is None
        assert answers.size == 1
