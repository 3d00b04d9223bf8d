"""Counts of what listeners refuse, with a bounded number of log lines."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from prometheus_client import Counter

from jackdawridge.logs import get_logger
from jackdawridge.util.line_limit import LineLimit

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry

logger = get_logger('listener')


class Refusal(enum.Enum):
    """Why a connection or a request on it is refused."""

    connections = 'too many connections'
    place = 'no request came, and its place was needed'
    connection_memory = 'no memory for its connection'
    body_memory = 'no memory for its body'
    body_size = 'body too long'
    request_time = 'request not complete in time'
    malformed = 'malformed request'


class Refusals:
    """Counts refusals by their kind and logs some of them.

    :param registry: registry for the metric; None to register none.
    """

    def __init__(self, registry: CollectorRegistry | None = None) -> None:
        """Register the counter."""
        self.counter = Counter(
            'jackdawridge_refused_input',
            'Connections and requests refused before a handler saw them',
            ['kind'],
            registry=registry,
        )
        self.lines = LineLimit()

    def count(self, kind: Refusal, peer: str, now: float) -> None:
        """Count a refusal and log it unless its kind was logged just before.

        :param kind: why it was refused.
        :param peer: address of the client.
        :param now: local time in seconds.
        """
        self.counter.labels(kind.name).inc()
        count = self.lines.count(kind, now)
        if count:
            logger.warning(
                f'request refused: {kind.value}',
                step='receive',
                peer=peer,
                refused=count,
            )
