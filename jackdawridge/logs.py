"""JSON-lines logging on top of logbook."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import TYPE_CHECKING

import logbook
import msgspec

from jackdawridge.util.line_writer import LineWriter

if TYPE_CHECKING:
    from collections.abc import Mapping

    from jackdawridge.util.line_writer import DroppedLines

#: Channels of decision lines.
DECISION_CHANNELS = ('placement', 'routing')

#: All loggers, which share the lowest level that is written, so that no
#: record is made below it.
_loggers = logbook.LoggerGroup()

_LEVELS = ('debug', 'info', 'notice', 'warning', 'error')


class JsonLinesHandler(logbook.Handler):  # type: ignore[misc]
    """Writes each record as one JSON object on one line.

    :param descriptor: file descriptor of the stream for the lines.
    :param level: the lowest level that is written.
    :param node: the name of this process, written on each line.
    """

    def __init__(
        self, descriptor: int, *, level: str = 'info', node: str = ''
    ) -> None:
        """Prepare the handler; logbook's `push_application` activates it."""
        super().__init__(level=logbook.lookup_level(level.upper()))
        self.writer = LineWriter(descriptor, self.format_report)
        self.node = node

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one record.

        :param record: the record that logbook hands over.
        """
        line: dict[str, object] = {
            'time': record.time.isoformat(timespec='milliseconds'),
            'level': record.level_name.lower(),
            'node': self.node,
            'logger': record.channel,
            'message': record.message,
        }
        line.update(record.kwargs)
        if record.exc_info:
            line['exception'] = record.formatted_exception
        self.writer.write(
            encode_line(line), is_important=record.level >= logbook.NOTICE
        )

    def format_report(self, dropped: DroppedLines) -> bytes:
        """Return the line that reports dropped lines.

        :param dropped: numbers of dropped lines.
        """
        now = datetime.now(UTC).replace(tzinfo=None)
        return encode_line(
            {
                'time': now.isoformat(timespec='milliseconds'),
                'level': 'warning',
                'node': self.node,
                'logger': 'logs',
                'message': 'lines were left out',
                **dropped._asdict(),
            }
        )


def encode_line(line: dict[str, object]) -> bytes:
    """Return a line as JSON.

    :param line: its fields.
    """
    return b'%s\n' % msgspec.json.encode(line, enc_hook=str)


class Sampling:
    """Chooses the decision lines that are written, before they are made.

    :param interval: one in so many lines is written.
    """

    def __init__(self, interval: int = 1) -> None:
        """Begin to count."""
        self.interval = interval
        self.count = 0

    def is_chosen(self) -> bool:
        """Count a line and return whether it is written."""
        self.count += 1
        return self.count % self.interval == 0


#: Of the decision lines of this process.
_sampling = Sampling()


def get_logger(name: str) -> logbook.Logger:
    """Return the logger of a module.

    :param name: the channel, shown as `logger` on each line.
    """
    logger = logbook.Logger(name)
    _loggers.add_logger(logger)
    return logger


def install(
    level: str,
    decision_sampling: int,
    node: str,
    descriptor: int,
) -> JsonLinesHandler:
    """Send all log records of this process to a stream as JSON lines.

    :param level: one of debug, info, notice, warning and error.
    :param decision_sampling: one in so many decision lines is written.
    :param node: the name of this process.
    :param descriptor: file descriptor of the stream.
    """
    handler = JsonLinesHandler(descriptor, level=level, node=node)
    _loggers.level = handler.level
    _sampling.interval = decision_sampling
    handler.push_application()
    return handler


def log_decision(
    logger: logbook.Logger,
    step: str,
    peer: str,
    reason: str,
    identifiers: Mapping[str, object],
) -> None:
    """Write the line of one placement or routing decision.

    :param logger: a logger whose name is in `DECISION_CHANNELS`.
    :param step: what was decided, such as `start` or `refuse`.
    :param peer: the side or minion that was chosen, or an empty string.
    :param reason: why.
    :param identifiers: the ids of the work, such as ticket and index.
    """
    if logger.level <= logbook.INFO and _sampling.is_chosen():
        logger.info(step, step=step, peer=peer, reason=reason, **identifiers)


def level_names() -> tuple[str, ...]:
    """Return the levels that the settings accept, lowest first."""
    return _LEVELS
