"""HTTP resource for the heartbeats of the minion beside a side."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from jackdawridge.execution.messages import Room
from jackdawridge.execution.target_record import TargetHeartbeat
from jackdawridge.listening.routes import (
    POST,
    Route,
    Routes,
    write_error,
)
from jackdawridge.logs import get_logger
from jackdawridge.util.line_limit import LineLimit
from jackdawridge.util.web import write_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from jackdawridge.util.clock import Clock
    from jackdawridge.util.web import WebRequest

logger = get_logger('heartbeats')

_BAD_REQUEST = 400
_MILLICORES = 1000
_MILLISECONDS = 1000
#: Number of characters of a minion's kind that are used.
_MAX_KIND_LENGTH = 64
_STATES = frozenset(('ready', 'draining'))


class _Capacity(msgspec.Struct, rename='camel'):
    """Total capacity of the minion."""

    #: Cores, in thousandths.
    cpu: int
    mem_mb: int
    gpu: int = 0


class _Heartbeat(msgspec.Struct, rename='camel'):
    """Body of a heartbeat."""

    service: str
    state: str
    capacity: _Capacity
    seq: int
    #: Time since the minion's start by its own clock, in milliseconds.
    clock_ms: float
    #: Unix time of the minion's start, in milliseconds.
    born: int
    #: The minion's kind and its rack; absent at minions that send none.
    labels: tuple[str, ...] | None = ()


class HeartbeatResource:
    """Routes for the heartbeats of the minion.

    :param heartbeat_received: called with each valid heartbeat.
    :param target_left: called with the id of a minion that has deregistered.
    :param clock: the reactor.
    """

    def __init__(
        self,
        heartbeat_received: Callable[[TargetHeartbeat], None],
        target_left: Callable[[str], None],
        clock: Clock,
    ) -> None:
        """Register the routes."""
        self.heartbeat_received = heartbeat_received
        self.target_left = target_left
        self.clock = clock
        self.lines = LineLimit()
        self.routes = Routes(
            Route('/v1/Instances.Heartbeat/', POST, self.heartbeat),
            Route('/v1/Instances.Deregister/', POST, self.deregister),
        )

    def heartbeat(self, request: WebRequest, minion: str) -> bytes:
        """Handle a heartbeat; an invalid one is refused with 400.

        One of these is logged each second.

        :param request: the request of the minion.
        :param minion: id of the minion, from the path.
        """
        try:
            received = read_heartbeat(minion, request.content.read())
        except msgspec.MsgspecError as error:
            count = self.lines.count('invalid', self.clock.seconds())
            if count:
                logger.warning(
                    str(error), step='heartbeat', peer=minion, count=count
                )
            return write_error(request, _BAD_REQUEST, str(error))
        self.heartbeat_received(received)
        return write_json(request, {})

    def deregister(self, request: WebRequest, minion: str) -> bytes:
        """Handle the message of a minion that it is shutting down.

        :param request: the request of the minion.
        :param minion: id of the minion, from the path.
        """
        self.target_left(minion)
        return write_json(request, {})


def read_heartbeat(minion: str, content: bytes) -> TargetHeartbeat:
    """Return the decoded heartbeat of a minion.

    :param minion: id of the minion.
    :param content: body of the request, as JSON.
    :raises msgspec.MsgspecError: if the content is not a valid heartbeat.
    """
    document = msgspec.json.decode(content, type=_Heartbeat)
    if document.state not in _STATES:
        names = ', '.join(sorted(_STATES))
        raise msgspec.ValidationError(f'state: allowed are {names}')
    capacity = document.capacity
    room = Room(capacity.cpu / _MILLICORES, capacity.mem_mb, capacity.gpu, 0)
    return TargetHeartbeat(
        minion,
        document.born,
        document.clock_ms / _MILLISECONDS,
        document.seq,
        document.service,
        document.state == 'draining',
        room,
        next(iter(document.labels or ()), '')[:_MAX_KIND_LENGTH],
    )
