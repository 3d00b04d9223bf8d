"""Trace of a request, from the log lines of all processes that handled it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Pairs of a part of the reason in the last lines of a job, and an explanation
#: of the outcome that says where to look next.
CAUSES = (
    (
        'no room in time',
        'not all that waited could start in time, and it had to make room;'
        ' look for what took the room: evacuations, targets that left or were'
        ' away, a burst',
    ),
    (
        'an answer would be too late',
        'it waited for room until an answer was of no use; look for what took'
        ' the room: evacuations, targets that left or were away, a burst',
    ),
    # Reason that versions before 2026-12-04 logged.
    (
        'too much work waits',
        'it missed its objective while other late work waited already; look'
        ' for what took the room',
    ),
    ('are queued; the limit is', 'the queue of its entry was full'),
    ('of payloads do not fit', 'its entry had no memory for the payloads'),
    ('no side is in touch', 'its entry was cut off from all sides'),
    ('entry has left', 'it did not end within the drain of its entry'),
    ('entry is leaving', 'its entry was leaving and took no more jobs'),
    ('caller has gone', 'its caller closed the connection'),
    ('caller waits no longer', 'its caller stopped waiting'),
    ('cancelled', 'its caller cancelled it'),
    (': failed', 'one of its tasks failed as often as the queue allows'),
    ('no worker has that much', 'no worker is large enough for its tasks'),
)


class LogLine(NamedTuple):
    """A decoded log line of a process."""

    #: Date and time as the process wrote them, in ISO 8601 format.
    time: str
    node: str
    message: str
    #: All other fields of the line except the level and the logger.
    fields: dict[str, object]


class RequestTrace(NamedTuple):
    """The log lines of a request and the cause of its outcome."""

    lines: tuple[LogLine, ...]
    #: Explanation of the outcome, empty if there are no lines.
    cause: str


def parse_line(text: str) -> LogLine | None:
    """Return the decoded log line, or None if a text is not a log line.

    Text before the JSON object is ignored, such as a process name that a log
    collector adds.

    :param text: one line of a log file.
    """
    json_start = text.find('{')
    if json_start < 0:
        return None
    try:
        fields = msgspec.json.decode(text[json_start:], type=dict[str, object])
    except msgspec.MsgspecError:
        return None
    fields.pop('level', None)
    fields.pop('logger', None)
    return LogLine(
        str(fields.pop('time', '')),
        str(fields.pop('node', '')),
        str(fields.pop('message', '')),
        fields,
    )


def concerns_request(line: LogLine, request_id: str) -> bool:
    """Return whether a log line is about a request.

    :param line: a log line of any process.
    :param request_id: the id that the caller chose, or a whole ticket.
    """
    fields = line.fields
    return (
        fields.get('job') == request_id
        or fields.get('ticket') == request_id
        or str(fields.get('ticket', '')).endswith(f'~{request_id}')
        or str(fields.get('path', '')).endswith(f'/{request_id}')
    )


def trace_request(texts: Iterable[str], request_id: str) -> RequestTrace:
    """Return the trace of a request, with its lines sorted by time.

    :param texts: lines of the logs of all processes, in any order.
    :param request_id: the id that the caller chose, or a whole ticket.
    """
    lines = [
        line
        for text in texts
        if request_id in text
        and (line := parse_line(text)) is not None
        and concerns_request(line, request_id)
    ]
    lines.sort(key=time_of)
    return RequestTrace(tuple(lines), find_cause(lines))


def find_cause(lines: list[LogLine]) -> str:
    """Return an explanation of the outcome of a request.

    It is empty if there are no lines.

    :param lines: log lines of the request, sorted by time.
    """
    if not lines:
        return ''
    for line in reversed(lines):
        if line.message == 'job complete':
            return 'all its tasks have succeeded'
        reason = str(line.fields.get('reason', ''))
        for reason_part, cause in CAUSES:
            if reason_part in reason and line.message != 'task runs again':
                return cause
    return (
        f'its entry wrote nothing after {lines[-1].message!r}: look whether'
        ' the entry died, was frozen, or still works on it'
    )


def time_of(line: LogLine) -> str:
    """Return the time of a log line, by which lines are sorted.

    :param line: the log line.
    """
    return line.time


def format_line(line: LogLine) -> str:
    """Return a log line as readable text, without the ids of the request.

    :param line: a log line of a trace.
    """
    field_texts = ' '.join(
        f'{name}={value}'
        for name, value in line.fields.items()
        if value not in {'', None} and name not in {'ticket', 'job', 'path'}
    )
    return f'{line.time}  {line.node}  {line.message}  {field_texts}'.rstrip()
