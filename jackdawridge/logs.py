"""Logging as JSON lines, based on logbook."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import TYPE_CHECKING

import logbook
import msgspec

from jackdawridge.util.line_writer import LineWriter

if TYPE_CHECKING:
    from collections.abc import Mapping

    from jackdawridge.util.line_writer import DroppedLines

#: Channels of the lines about placement and routing decisions.
DECISION_CHANNELS = ('placement', 'routing')

#: Group of all loggers. It has the level of the handler, so that no record
#: below that level is created.
_logger_group = logbook.LoggerGroup()

#: Number of characters that are written of a field of a line, except its
#: message. Some fields come from clients.
MAX_TEXT_LENGTH = 1000

_LEVELS = ('debug', 'info', 'notice', 'warning', 'error')


class JsonLinesHandler(logbook.Handler):  # type: ignore[misc]
    """Writes each log record as a JSON object on a line of its own.

    :param descriptor: file descriptor of the stream to write to.
    :param level: lowest level that is written.
    :param node: name of this process, written on each line.
    """

    def __init__(
        self, descriptor: int, *, level: str = 'info', node: str = ''
    ) -> None:
        """Create a handler, to be activated by `push_application`."""
        super().__init__(level=logbook.lookup_level(level.upper()))
        self.writer = LineWriter(descriptor, self.format_report)
        self.node = node

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a log record; called by logbook.

        :param record: record to write.
        """
        line: dict[str, object] = {
            'time': record.time.isoformat(timespec='milliseconds'),
            'level': record.level_name.lower(),
            'node': self.node,
            'logger': record.channel,
            'message': record.message,
        }
        for name, text in record.kwargs.items():
            line[name] = shorten(text)
        if record.exc_info:
            line['exception'] = record.formatted_exception
        self.writer.write(
            encode_line(line), is_important=record.level >= logbook.NOTICE
        )

    def format_report(self, dropped: DroppedLines) -> bytes:
        """Return the line that reports dropped lines.

        :param dropped: numbers of lines dropped since the last report.
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
    """Return a line encoded as JSON, with its line break.

    Values without a representation in JSON are converted to strings.

    :param line: fields of the line.
    """
    return b'%s\n' % msgspec.json.encode(line, enc_hook=str)


def shorten(text: object) -> object:
    """Return a text cut to `MAX_TEXT_LENGTH`; any other value as it is.

    :param text: value of a field of a line.
    """
    if isinstance(text, str) and len(text) > MAX_TEXT_LENGTH:
        return f'{text[:MAX_TEXT_LENGTH]}... ({len(text)} characters)'
    return text


class DecisionSampler:
    """Selects every n-th decision line before its record is created.

    :param interval: number of decision lines for each one that is written.
    """

    def __init__(self, interval: int = 1) -> None:
        """Create a sampler that has counted no lines."""
        self.interval = interval
        self.count = 0

    def should_write(self) -> bool:
        """Count a decision line and return whether to write it."""
        self.count += 1
        return self.count % self.interval == 0


#: Sampler of the decision lines of this process.
_decision_sampler = DecisionSampler()


def get_logger(name: str) -> logbook.Logger:
    """Return a new logger that follows the level of the process.

    :param name: channel of the logger, the field `logger` of its lines.
    """
    logger = logbook.Logger(name)
    _logger_group.add_logger(logger)
    return logger


def install(
    level: str,
    decision_sampling: int,
    node: str,
    descriptor: int,
) -> JsonLinesHandler:
    """Write all log records of this process to a stream as JSON lines.

    :param level: lowest level that is written: debug, info, notice, warning
        or error.
    :param decision_sampling: number of decision lines for each one that is
        written.
    :param node: name of this process, written on each line.
    :param descriptor: file descriptor of the stream to write to.
    """
    handler = JsonLinesHandler(descriptor, level=level, node=node)
    _logger_group.level = handler.level
    _decision_sampler.interval = decision_sampling
    handler.push_application()
    return handler


def log_decision(
    logger: logbook.Logger,
    step: str,
    peer: str,
    reason: str,
    identifiers: Mapping[str, object],
) -> None:
    """Log a placement or routing decision, subject to sampling.

    :param logger: logger whose name is in `DECISION_CHANNELS`.
    :param step: the decision, such as `start` or `refuse`; also the message.
    :param peer: side or minion that was chosen, or an empty string.
    :param reason: reason of the decision.
    :param identifiers: ids of the work, such as ticket and index.
    """
    if logger.level <= logbook.INFO and _decision_sampler.should_write():
        logger.info(step, step=step, peer=peer, reason=reason, **identifiers)


def level_names() -> tuple[str, ...]:
    """Return the levels accepted by the setting `log_level`, lowest first."""
    return _LEVELS
