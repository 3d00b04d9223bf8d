"""HTTP requests that limit the size of their bodies."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.web.server import Request

from jackdawridge.listening.bodies import SMALL_BODY_BYTES, BodyReservation
from jackdawridge.listening.refusals import Refusal
from jackdawridge.listening.refusing_channel import NO_MEMORY, TOO_LARGE

if TYPE_CHECKING:
    from twisted.python.failure import Failure

#: Longest body of a request, in bytes.
MAX_BODY_BYTES = 2097152


class BoundedRequest(Request):
    """A request whose body is limited by `MAX_BODY_BYTES` and `BodyMemory`."""

    def __init__(self, channel: Any, *args: Any, **options: Any) -> None:
        """Start with an empty body."""
        super().__init__(channel, *args, **options)
        self.reservation = BodyReservation(channel.factory.body_memory)
        self.refused = False

    def gotLength(self, length: int | None) -> None:
        """Refuse a request whose `Content-Length` is over `MAX_BODY_BYTES`.

        :param length: the announced length in bytes, None for a chunked body.
        """
        # Twisted would keep a long body in a file, but there is no disk. With a
        # length of 0 it keeps any body in memory.
        super().gotLength(0)
        if length is not None and length > MAX_BODY_BYTES:
            self.refuse(Refusal.body_size, TOO_LARGE)

    def handleContentChunk(self, data: bytes) -> None:
        """Append a chunk to the body, or refuse the request if it is too long.

        :param data: the received chunk.
        """
        if self.refused:
            return
        fits = self.reservation.reserve(len(data))
        if self.reservation.length > MAX_BODY_BYTES:
            self.refuse(Refusal.body_size, TOO_LARGE)
        elif fits:
            super().handleContentChunk(data)
        else:
            self.refuse(Refusal.body_memory, NO_MEMORY)

    def process(self) -> None:
        """Serve the request unless it was refused; a costly one in its turn.

        A long body takes long to decode.
        """
        if self.refused:
            return
        listener: Any = self.channel.factory
        is_long = self.reservation.length > SMALL_BODY_BYTES
        if is_long or listener.serves_in_turns:
            listener.limits.turns.add(self)
        else:
            self.take_turn()

    def take_turn(self) -> None:
        """Serve the request."""
        Request.process(self)

    def abort(self) -> None:
        """Close the connection, as the request could not be served."""
        channel: Any = self.channel
        if channel is not None:
            channel.abort()

    def finish(self) -> None:
        """End the answer and release the memory of the body."""
        self.reservation.release()
        super().finish()

    def connectionLost(self, reason: Failure) -> None:
        """Release the memory of the body.

        :param reason: why the connection was lost.
        """
        self.reservation.release()
        self.channel.factory.limits.turns.discard(self)
        super().connectionLost(reason)

    def refuse(self, kind: Refusal, status: bytes) -> None:
        """Answer with an error and close the connection.

        :param kind: why the request is refused.
        :param status: the first lines of the answer, from the status line on.
        """
        if not self.refused:
            self.refused = True
            self.reservation.release()
            channel: Any = self.channel
            channel.reject(kind, status)
