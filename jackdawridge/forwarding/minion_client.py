"""HTTP between a side and its minion."""

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

#: Time for a connection to the minion to be established, in seconds.
CONNECT_TIMEOUT = 2.0
#: Time after which an unused connection is closed, in seconds. It is short
#: so that the minion hardly ever closes a connection that is about to be used.
IDLE_TIMEOUT = 4

#: Errors after which the minion cannot have seen the request.
NOT_SENT_ERRORS = (error.ConnectError, RequestNotSent)


@implementer(IBodyProducer)
class RequestBodySource:
    """Passes the body of a request to the minion as it arrives.

    :param length: of the body, in bytes.
    :param request_part: called with an offset for the part that begins there.
    """

    def __init__(
        self, length: int, request_part: Callable[[int], None]
    ) -> None:
        """Start without parts."""
        self.length = length
        self.request_part = request_part
        self.received = 0
        self.parts: list[bytes] = []
        self.consumer: Any = None
        self.paused = False
        self.done: Deferred[None] = Deferred()

    def startProducing(self, consumer: Any) -> Deferred[None]:
        """Begin to write.

        :param consumer: the connection.
        """
        self.consumer = consumer
        self.flush()
        return self.done

    def add_part(self, offset: int, part: bytes) -> None:
        """Take a part, unless it is not the next one.

        :param offset: of the part.
        :param part: of the body.
        """
        if offset == self.received:
            self.received += len(part)
            self.parts.append(part)
            self.flush()

    def flush(self) -> None:
        """Write what has arrived and ask for the next part."""
        if self.consumer is None or self.paused:
            return
        while self.parts:
            self.consumer.write(self.parts.pop(0))
        if self.received >= self.length:
            self.finish()
        else:
            self.request_part(self.received)

    def finish(self) -> None:
        """Say that the body is complete."""
        if not self.done.called:
            self.done.callback(None)

    def pauseProducing(self) -> None:
        """Hold parts back while the minion does not read."""
        self.paused = True

    def resumeProducing(self) -> None:
        """Write again."""
        self.paused = False
        self.flush()

    def stopProducing(self) -> None:
        """Forget the body: the connection is gone."""
        self.parts.clear()
        self.consumer = None


class ResponseSink(Protocol):
    """Receives the body of a minion's response.

    :param received: called with each part.
    :param ended: called with whether the body is complete.
    """

    def __init__(
        self,
        received: Callable[[bytes], None],
        ended: Callable[[bool], None],
    ) -> None:
        """Keep the functions."""
        self.received = received
        self.ended = ended

    def dataReceived(self, data: bytes) -> None:
        """Take a part.

        :param data: the part.
        """
        self.received(data)

    def connectionLost(self, reason: Failure = CONNECTION_DONE) -> None:
        """Take the end.

        :param reason: of Twisted.
        """
        self.ended(reason.check(ResponseDone) is not None)


class MinionClient:
    """Sends requests to one minion over connections that are used again.

    A request is never repeated here: only the entry knows whether it may be.

    :param reactor: Twisted's reactor.
    :param address: `ip:port` of the minion.
    :param connections: most connections that are kept.
    """

    def __init__(self, reactor: Any, address: str, connections: int) -> None:
        """Prepare without connecting."""
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

        :param method: of HTTP.
        :param path: with the query.
        :param headers: for the minion.
        :param body: None if there is none.
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
        """Close all connections that are kept."""
        closed: Any = self.pool.closeCachedConnections()
        return closed  # type: ignore[no-any-return]


def was_not_sent(failure: Failure) -> bool:
    """Return whether the minion cannot have seen a request that failed.

    :param failure: of a request.
    """
    if failure.check(CancelledError):
        return False
    return failure.check(*NOT_SENT_ERRORS) is not None


def _close_probe(protocol: Any) -> bool:
    """Close a connection that has only been tried."""
    protocol.transport.abortConnection()
    return True
