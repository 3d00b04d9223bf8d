"""Takes the heartbeats of the minion beside a side."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from jackdawridge.execution.messages import Room
from jackdawridge.execution.target_record import TargetHeartbeat
from jackdawridge.logs import get_logger
from jackdawridge.operations.routes import (
    POST,
    Route,
    Routes,
    write_error,
)
from jackdawridge.util.web import write_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from jackdawridge.util.web import WebRequest

logger = get_logger('heartbeats')

_BAD_REQUEST = 400
_THOUSANDTHS = 1000
_MILLISECONDS = 1000
_STATES = frozenset(('ready', 'draining'))


class _Capacity(msgspec.Struct, rename='camel'):
    """The size of the minion."""

    #: In thousandths of a core.
    cpu: int
    mem_mb: int
    gpu: int = 0


class _Heartbeat(msgspec.Struct, rename='camel'):
    """What a minion says of itself."""

    service: str
    state: str
    capacity: _Capacity
    seq: int
    #: Time since the start by the minion's own clock.
    clock_ms: float
    #: Unix time of the minion's start, in milliseconds.
    born: int


class HeartbeatResource:
    """Routes for the heartbeats of the minion.

    :param joined: called with each heartbeat that can be read.
    :param left: called with the id of a minion that has left.
    """

    def __init__(
        self,
        joined: Callable[[TargetHeartbeat], None],
        left: Callable[[str], None],
    ) -> None:
        """Keep what is called."""
        self.joined = joined
        self.left = left
        self.routes = Routes(
            Route('/v1/Instances.Heartbeat/', POST, self.heartbeat),
            Route('/v1/Instances.Deregister/', POST, self.deregister),
        )

    def heartbeat(self, request: WebRequest, minion: str) -> bytes:
        """Take a heartbeat; one that cannot be read changes nothing.

        :param request: of the minion.
        :param minion: its id.
        """
        try:
            news = read_heartbeat(minion, request.content.read())
        except msgspec.MsgspecError as error:
            logger.warning(str(error), step='heartbeat', peer=minion)
            return write_error(request, _BAD_REQUEST, str(error))
        self.joined(news)
        return write_json(request, {})

    def deregister(self, request: WebRequest, minion: str) -> bytes:
        """Take note that the minion ends.

        :param request: of the minion.
        :param minion: its id.
        """
        self.left(minion)
        return write_json(request, {})


def read_heartbeat(minion: str, content: bytes) -> TargetHeartbeat:
    """Return what a minion says of itself.

    :param minion: its id.
    :param content: JSON.
    :raises msgspec.MsgspecError: if it is not what a minion sends.
    """
    document = msgspec.json.decode(content, type=_Heartbeat)
    if document.state not in _STATES:
        raise msgspec.ValidationError(f'state {document.state!r} is not known')
    capacity = document.capacity
    room = Room(capacity.cpu / _THOUSANDTHS, capacity.mem_mb, capacity.gpu, 0)
    return TargetHeartbeat(
        minion,
        document.born,
        document.clock_ms / _MILLISECONDS,
        document.seq,
        document.service,
        document.state == 'draining',
        room,
    )
