"""Tests of jobs, tickets, answers and their documents."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jackdawridge.execution.messages import Ending, TaskKey
from jackdawridge.submission.answers import AnswerStore
from jackdawridge.submission.documents import read_job
from jackdawridge.submission.jobs import (
    Job,
    JobAnswer,
    JobSpec,
    Started,
    TaskSpec,
)
from jackdawridge.submission.tickets import TicketFormat, TicketRegister
from jackdawridge.util.retained import RetentionBounds

TASK = TaskSpec('kind', 1, 16, 0, 0.1, b'')
KEY = 'a key that is long enough'
MAX_TASKS = 710
MB = 1048576


def make_job(tasks: int) -> tuple[Job, list[JobAnswer]]:
    answers: list[JobAnswer] = []
    spec = JobSpec('team', '', 0, (TASK,) * tasks)
    return Job('ticket', spec, b'', answers.append), answers


def ending(key: TaskKey, outcome: str = 'succeeded') -> Ending:
    return Ending(key, outcome, '', f'{key.task}'.encode(), 0, 0, 0)


class TestJob:
    def test_answers_are_in_the_order_of_the_tasks(self) -> None:
        job, answers = make_job(2)
        for task in (1, 0):
            key = TaskKey('ticket', task, task)
            job.start_sent(key, 'side')
            job.task_ended(ending(key))
        assert [answer.answers for answer in answers] == [(b'0', b'1')]

    def test_start_under_an_older_lease_is_not_unresolved(self) -> None:
        job, _ = make_job(1)
        older, newer = TaskKey('ticket', 0, 1), TaskKey('ticket', 0, 2)
        job.start_sent(older, 'side')
        job.start_refused(older)
        job.start_sent(newer, 'side')
        assert job.is_unresolved(newer)
        assert not job.is_unresolved(older)

    def test_failure_is_answered_once_all_starts_are_resolved(self) -> None:
        job, answers = make_job(3)
        keys = [TaskKey('ticket', task, task) for task in range(3)]
        for key in keys:
            job.start_sent(key, 'side')
        assert job.task_ended(ending(keys[0], 'failed'))
        assert not job.start_refused(keys[1])
        assert not answers
        assert not job.task_ended(ending(keys[2]))
        assert [answer.state for answer in answers] == ['failed']
        assert answers[0].started is Started.some
        assert not answers[0].answers

    def test_job_with_a_refused_start_has_started_nothing(self) -> None:
        job, answers = make_job(1)
        key = TaskKey('ticket', 0, 1)
        job.start_sent(key, 'side')
        job.fail('cancelled')
        job.start_refused(key)
        assert answers[0].started is Started.nothing

    def test_lost_start_makes_started_unknown(self) -> None:
        job, answers = make_job(1)
        key = TaskKey('ticket', 0, 1)
        job.start_sent(key, 'side')
        job.task_ended(ending(key, 'lost'))
        assert answers[0].started is Started.unknown


class TestAnswerStore:
    def test_oldest_answer_expires_first(self) -> None:
        store = AnswerStore(RetentionBounds(2, 10, MB))
        for name in 'abc':
            answer = JobAnswer(name, 'complete', (), '', Started.some)
            store.keep(answer, b'', 0)
        assert list(store.kept) == ['b', 'c']
        store.expire(10.1)
        assert not store.kept
        assert store.size == 0

    def test_total_size_of_bodies_is_limited(self) -> None:
        store = AnswerStore(RetentionBounds(100, 10, MB))
        for name in 'abcde':
            answers = (b'x' * (MB // 3),)
            answer = JobAnswer(name, 'complete', answers, '', Started.some)
            store.keep(answer, b'', 0)
            assert sum(len(kept.body) for kept in store.kept.values()) <= MB
        assert list(store.kept) == ['d', 'e']


class TestTickets:
    def test_register_keeps_the_newest_unused_tickets(self) -> None:
        register = TicketRegister(TicketFormat(KEY), '127.0.0.1:1', 'run', 2)
        first, second, third = (register.issue() for _ in range(3))
        assert not register.use(first)
        assert register.use(second)
        assert not register.use(second)
        assert register.use(third)

    @given(st.text(max_size=80))
    def test_arbitrary_text_is_not_a_ticket(self, text: str) -> None:
        assert TicketFormat(KEY).read(text).is_err()

    @given(st.integers(0, 50), st.characters())
    def test_changed_ticket_is_refused(self, place: int, char: str) -> None:
        tickets = TicketFormat(KEY)
        text = tickets.write('127.0.0.1:1', 'run', 7)
        changed = text[:place] + char + text[place + 1 :]
        assert (changed == text) or tickets.read(changed).is_err()

    def test_ticket_of_another_key_is_refused(self) -> None:
        text = TicketFormat('another key').write('127.0.0.1:1', 'run', 7)
        assert TicketFormat(KEY).read(text).is_err()


class TestDocuments:
    @pytest.mark.parametrize(
        ('change', 'named'),
        [
            ({'tasks': []}, 'tasks'),
            ({'team': ''}, 'team'),
            ({'tasks': [{'cores': -1}]}, 'cores'),
            ({'tasks': [{'colour': 'red'}]}, 'colour'),
            ({'tasks': [{} for _ in range(MAX_TASKS + 1)]}, '711 tasks'),
            ({'tasks': [{'memory': 1e300}]}, 'memory'),
            ({'tasks': [{'payload': 'x' * 70000}]}, 'payload'),
        ],
    )
    def test_error_names_the_field(
        self, change: dict[str, Any], named: str
    ) -> None:
        body = json.dumps({'team': 'a', 'tasks': [{}]} | change).encode()
        read = read_job(body, MAX_TASKS)
        assert named in read.unwrap_err()

    @given(st.binary(max_size=300))
    def test_arbitrary_bytes_are_refused(self, body: bytes) -> None:
        assert read_job(body, MAX_TASKS).is_err()

    @given(st.recursive(st.none() | st.integers() | st.text(), st.lists))
    def test_arbitrary_json_is_refused(self, document: Any) -> None:
        assert read_job(json.dumps(document).encode(), MAX_TASKS).is_err()

    def test_deep_nesting_is_refused(self) -> None:
        assert read_job(b'[' * 100000, MAX_TASKS).is_err()
