"""Tests of the command `explain` and of the story of a request."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import pytest

from jackdawridge.cmd.main import main
from jackdawridge.operations.request_trace import trace_request

if TYPE_CHECKING:
    from pathlib import Path

JOB = '86e41bed63c3f1db'
TICKET = f'10.3.0.37:7460~1e6c8595f744~~{JOB}'


def log_line(second: int, message: str, **fields: Any) -> str:
    document = {
        'time': f'2026-09-27T23:31:{second:02}.000',
        'level': 'info',
        'node': 'front-1',
        'logger': 'submission',
        'message': message,
        **fields,
    }
    return json.dumps(document)


JOB_ARRIVES = log_line(1, 'job arrives', job=JOB, queue='r-1', tasks=2)
TASK_START = log_line(2, 'start', ticket=TICKET, task=0, lease=7, peer='side-1')
TASK_RERUN = log_line(
    3, 'task runs again', ticket=TICKET, task=0, step='failed', reason='failed'
)
OTHER_JOB = log_line(2, 'job arrives', job='0123456789abcdef')


class TestStory:
    @pytest.mark.parametrize(
        ('message', 'reason', 'expected_text'),
        [
            ('job complete', '', 'have succeeded'),
            ('job failed', 'an answer would be too late', 'waited for room'),
            ('job failed', 'task 0: failed', 'as often as the queue allows'),
            ('job failed', 'caller has gone', 'closed the connection'),
            ('job refused', 'too much work waits', 'missed its objective'),
            ('job failed', 'no room in time: 9 of 9 cores', 'make room'),
            ('job failed', 'no room in time, expected wait', 'make room'),
        ],
    )
    def test_cause_is_named(
        self, message: str, reason: str, expected_text: str
    ) -> None:
        end = log_line(4, message, ticket=TICKET, reason=reason)
        story = trace_request([end, TASK_RERUN, TASK_START, JOB_ARRIVES], JOB)
        assert expected_text in story.cause

    def test_lines_are_sorted_by_time(self) -> None:
        story = trace_request(
            [TASK_RERUN, OTHER_JOB, TASK_START, JOB_ARRIVES], JOB
        )
        messages = [line.message for line in story.lines]
        assert messages == ['job arrives', 'start', 'task runs again']

    def test_entry_that_stopped_logging_is_named(self) -> None:
        story = trace_request([TASK_START, JOB_ARRIVES], JOB)
        assert "wrote nothing after 'start'" in story.cause

    def test_full_ticket_selects_lines_of_one_issuer(self) -> None:
        other_issuer = log_line(9, 'start', ticket=f'10.1.0.1:1~other~~{JOB}')
        assert (
            len(
                trace_request(
                    [JOB_ARRIVES, TASK_START, other_issuer], TICKET
                ).lines
            )
            == 1
        )
        assert (
            len(
                trace_request(
                    [JOB_ARRIVES, TASK_START, other_issuer], JOB
                ).lines
            )
            == 3
        )

    def test_malformed_log_lines_are_skipped(self) -> None:
        texts = [f'noise {JOB}', f'{{"broken": "{JOB}"', '', f'["{JOB}"]']
        assert not trace_request(texts, JOB).lines

    def test_prefix_added_by_a_log_collector_is_skipped(self) -> None:
        assert (
            len(trace_request([f'  2.01 front-1 {TASK_START}'], JOB).lines) == 1
        )


class TestExplainCommand:
    def test_story_is_read_from_files(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        log = tmp_path / 'front-1.log'
        end = log_line(4, 'job complete', ticket=TICKET, reason='')
        log.write_text('\n'.join((JOB_ARRIVES, TASK_START, end)))
        assert main(['explain', JOB, str(log)]) == 0
        printed = capsys.readouterr().out
        assert 'job arrives  queue=r-1 tasks=2' in printed
        assert printed.endswith('cause: all its tasks have succeeded\n')

    def test_unknown_request_exits_with_failure(self, tmp_path: Path) -> None:
        log = tmp_path / 'front-1.log'
        log.write_text(OTHER_JOB)
        assert main(['explain', JOB, str(log)]) == 1

    def test_missing_file_is_invalid_input(self, tmp_path: Path) -> None:
        assert main(['explain', JOB, str(tmp_path / 'none')]) == 2
