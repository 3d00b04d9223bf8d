"""HTTP client of a side for its minion."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

from twisted.internet import error
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol
from twisted.web._newclient import RequestNotSent
from twisted.web.client import (
    Agent,
    HTTPConnectionPool,
    ResponseDone,
)
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from jackdawridge.wire.link import CONNECTION_DONE

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from twisted.python.failure import Failure

    from jackdawridge.forwarding.messages import Header

#: Time limit for connecting to the minion, in seconds.
CONNECT_TIMEOUT = 2.0
#: Time after which an idle connection is closed, in seconds. It is short so
#: that the minion rarely closes a connection that is about to be reused.
IDLE_TIMEOUT = 4

#: Errors after which the request cannot have reached the minion.
NOT_SENT_ERRORS = (error.ConnectError, RequestNotSent)


@implementer(IBodyProducer)
class RequestBodySource:
    """Streams the body of a request to the minion as it arrives.

    :param length: length of the body in bytes.
    :param request_part: function that requests the part that begins at an
        offset.
    """

    def __init__(
        self, length: int, request_part: Callable[[int], None]
    ) -> None:
        """Initialise without parts."""
        self.length = length
        self.request_part = request_part
        self.received = 0
        self.parts: list[bytes] = []
        self.consumer: Any = None
        self.paused = False
        self.done: Deferred[None] = Deferred()

    def startProducing(self, consumer: Any) -> Deferred[None]:
        """Start to write the body; the result fires at its end.

        :param consumer: connection to the minion.
        """
        self.consumer = consumer
        self.flush()
        return self.done

    def add_part(self, offset: int, part: bytes) -> None:
        """Write a part, or ignore it if it is not the next one.

        :param offset: offset of the part in bytes.
        :param part: part of the body.
        """
        if offset == self.received:
            self.received += len(part)
            self.parts.append(part)
            self.flush()

    def flush(self) -> None:
        """Write the parts that have arrived and request the next one."""
        if self.consumer is None or self.paused:
            return
        while self.parts:
            self.consumer.write(self.parts.pop(0))
        if self.received >= self.length:
            self.finish()
        else:
            self.request_part(self.received)

    def finish(self) -> None:
        """Report the end of the body."""
        if not self.done.called:
            self.done.callback(None)

    def pauseProducing(self) -> None:
        """Buffer parts while the minion does not read."""
        self.paused = True

    def resumeProducing(self) -> None:
        """Write buffered parts once the minion reads again."""
        self.paused = False
        self.flush()

    def stopProducing(self) -> None:
        """Drop the buffered parts when the connection is lost."""
        self.parts.clear()
        self.consumer = None


class ResponseSink(Protocol):
    """Receives the body of a minion's response.

    :param received: function called with each part.
    :param ended: function called at the end with whether the body is
        complete.
    """

    def __init__(
        self,
        received: Callable[[bytes], None],
        ended: Callable[[bool], None],
    ) -> None:
        """Initialise the protocol."""
        self.received = received
        self.ended = ended

    def dataReceived(self, data: bytes) -> None:
        """Handle a part of the body.

        :param data: part of the body.
        """
        self.received(data)

    def connectionLost(self, reason: Failure = CONNECTION_DONE) -> None:
        """Handle the end of the body.

        :param reason: reason why the connection ended.
        """
        self.ended(reason.check(ResponseDone) is not None)


class MinionClient:
    """Sends requests to one minion over persistent connections.

    The client never retries a request: only the entry knows whether it may run
    twice.

    :param reactor: Twisted's reactor.
    :param address: address of the minion as `ip:port`.
    :param connections: highest number of idle connections in the pool.
    """

    def __init__(self, reactor: Any, address: str, connections: int) -> None:
        """Initialise without connecting."""
        self.reactor = reactor
        self.address = address
        self.pool = HTTPConnectionPool(reactor, persistent=True)
        self.pool.retryAutomatically = False
        self.pool.maxPersistentPerHost = connections
        self.pool.cachedConnectionTimeout = IDLE_TIMEOUT
        self.agent = Agent(
            reactor, connectTimeout=CONNECT_TIMEOUT, pool=self.pool
        )

    def send(
        self,
        method: str,
        path: str,
        headers: Iterable[Header],
        body: RequestBodySource | None,
    ) -> Deferred[Any]:
        """Send a request; the result is the response without its body.

        :param method: HTTP method.
        :param path: path with the query.
        :param headers: headers of the request.
        :param body: source of the body, None if it is empty.
        """
        raw = Headers()
        for name, value in headers:
            raw.addRawHeader(name.encode('latin-1'), value.encode('latin-1'))
        uri = f'http://{self.address}{path}'.encode('latin-1')
        responded: Any = self.agent.request(
            method.encode('latin-1'), uri, raw, cast('Any', body)
        )
        return responded  # type: ignore[no-any-return]

    def probe(self) -> Deferred[bool]:
        """Return whether the minion accepts a connection."""
        host, _, port = self.address.rpartition(':')
        endpoint = TCP4ClientEndpoint(
            self.reactor, host, int(port), timeout=int(CONNECT_TIMEOUT)
        )
        factory: Any = Factory.forProtocol(Protocol)
        attempt = endpoint.connect(factory)
        return attempt.addCallbacks(_close_probe, lambda _: False)

    def close(self) -> Deferred[None]:
        """Close the idle connections."""
        closed: Any = self.pool.closeCachedConnections()
        return closed  # type: ignore[no-any-return]


def was_not_sent(failure: Failure) -> bool:
    """Return whether a failed request cannot have reached the minion.

    :param failure: failure of the request.
    """
    if failure.check(CancelledError):
        return False
    return failure.check(*NOT_SENT_ERRORS) is not None


def _close_probe(protocol: Any) -> bool:
    """Close a probe connection and return that it was accepted."""
    protocol.transport.abortConnection()
    return True
