"""The story of a request, from the log lines of the processes it touched."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Why a job ended as it did, by a part of the reason in its last lines, and
#: where to look next.
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
    # Written by versions before 2026-12-04.
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
    """One line of a process."""

    #: Time of day, as the process wrote it.
    time: str
    node: str
    message: str
    #: All that the line says besides.
    fields: dict[str, object]


class Story(NamedTuple):
    """What became of a request."""

    lines: tuple[LogLine, ...]
    #: In plain words; empty if the lines do not tell.
    cause: str


def read_line(text: str) -> LogLine | None:
    """Return a line of a log, None if it is none.

    What stands before the JSON object, such as the name of a process that a
    collector adds, is passed over.

    :param text: of the line.
    """
    begin = text.find('{')
    if begin < 0:
        return None
    try:
        fields = msgspec.json.decode(text[begin:], type=dict[str, object])
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


def is_about(line: LogLine, request_id: str) -> bool:
    """Return whether a line belongs to a request.

    :param line: of any process.
    :param request_id: chosen by the caller, or a whole ticket.
    """
    fields = line.fields
    return (
        fields.get('job') == request_id
        or fields.get('ticket') == request_id
        or str(fields.get('ticket', '')).endswith(f'~{request_id}')
        or str(fields.get('path', '')).endswith(f'/{request_id}')
    )


def tell(texts: Iterable[str], request_id: str) -> Story:
    """Return the story of a request.

    :param texts: lines of the logs of all processes, in any order.
    :param request_id: chosen by the caller, or a whole ticket.
    """
    found = [
        line
        for text in texts
        if request_id in text
        and (line := read_line(text)) is not None
        and is_about(line, request_id)
    ]
    found.sort(key=time_of)
    return Story(tuple(found), find_cause(found))


def find_cause(lines: list[LogLine]) -> str:
    """Return why a request ended as it did, or an empty text.

    :param lines: of the request, in their order.
    """
    if not lines:
        return ''
    for line in reversed(lines):
        if line.message == 'job complete':
            return 'all its tasks have succeeded'
        reason = str(line.fields.get('reason', ''))
        for part, cause in CAUSES:
            if part in reason and line.message != 'task runs again':
                return cause
    return (
        f'its entry wrote nothing after {lines[-1].message!r}: look whether'
        ' the entry died, was frozen, or still works on it'
    )


def time_of(line: LogLine) -> str:
    """Return the time of a line.

    :param line: any line.
    """
    return line.time


def describe(line: LogLine) -> str:
    """Return a line as the user reads it.

    :param line: of a story.
    """
    details = ' '.join(
        f'{name}={value}'
        for name, value in line.fields.items()
        if value not in {'', None} and name not in {'ticket', 'job', 'path'}
    )
    return f'{line.time}  {line.node}  {line.message}  {details}'.rstrip()
