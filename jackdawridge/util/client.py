"""A JSON client over persistent HTTP connections."""

from __future__ import annotations

from collections import defaultdict
from types import MappingProxyType
from typing import TYPE_CHECKING, Any

import msgspec
from twisted.internet.defer import TimeoutError as TimedOutError
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol

from jackdawridge.util.http_connection import HttpConnection, HttpResponse

if TYPE_CHECKING:
    from collections.abc import Mapping

    from twisted.internet.defer import Deferred

#: No headers beyond those that every request has.
NO_HEADERS: Mapping[str, str] = MappingProxyType({})
#: Maximum number of idle connections kept open to one address.
MAX_IDLE_CONNECTIONS = 64
#: Time limit for establishing a connection, in seconds.
CONNECT_TIMEOUT = 30

_SCHEME = 'http://'


class JsonClient:
    """Sends requests with JSON bodies and buffers whole responses.

    Connections are kept open and reused. A failed request is never retried,
    since the server may have carried it out.

    :param reactor: Twisted's reactor.
    """

    def __init__(self, reactor: Any) -> None:
        """Create a client without connections."""
        self.reactor = reactor
        #: Idle connections by address, the one used last at the end.
        self.idle: defaultdict[str, list[HttpConnection]] = defaultdict(list)

    async def ask(
        self,
        method: str,
        url: str,
        document: object = None,
        timeout: float = 60,
        headers: Mapping[str, str] = NO_HEADERS,
    ) -> HttpResponse:
        """Send a request and return the response.

        :param method: HTTP method.
        :param url: `http://host:port/path`, with the query if any.
        :param document: body to send as JSON; None for an empty body.
        :param timeout: time limit for the whole response, in seconds.
        :param headers: headers in addition to those of every request.
        :raises ValueError: if the URL is not an HTTP URL.
        :raises twisted.internet.defer.TimeoutError: if the response is not
            complete in time.
        """
        if not url.startswith(_SCHEME):
            raise ValueError(f'{url!r} does not begin with {_SCHEME}')
        address, _, path = url[len(_SCHEME) :].partition('/')
        request = encode_request(method, address, path, document, headers)
        sent_at = self.reactor.seconds()
        response = self.send(address, request)
        response.addTimeout(timeout, self.reactor)
        try:
            return await response
        except TimedOutError:
            self.abort_unresponsive(address, sent_at)
            raise

    def send(self, address: str, request: bytes) -> Deferred[HttpResponse]:
        """Send a request over an idle connection, or over a new one.

        :param address: `host:port` of the server.
        :param request: encoded request with its headers and body.
        """
        idle = self.idle[address]
        if idle:
            return idle.pop().send(request)
        host, _, port = address.rpartition(':')
        endpoint = TCP4ClientEndpoint(
            self.reactor, host, int(port), timeout=CONNECT_TIMEOUT
        )
        connection = HttpConnection(
            lambda idle_one: self.handle_idle(address, idle_one),
            lambda closed_one: self.handle_closed(address, closed_one),
        )
        opening: Deferred[Any] = connectProtocol(endpoint, connection)
        return opening.addCallback(lambda opened: opened.send(request))

    def handle_idle(self, address: str, connection: HttpConnection) -> None:
        """Keep a connection for reuse, or close it if enough are idle.

        :param address: `host:port` of the server.
        :param connection: connection whose response is complete.
        """
        connection.last_response_at = self.reactor.seconds()
        if len(self.idle[address]) < MAX_IDLE_CONNECTIONS:
            self.idle[address].append(connection)
        else:
            connection.transport.loseConnection()

    def handle_closed(self, address: str, connection: HttpConnection) -> None:
        """Remove a closed connection from the idle ones.

        :param address: `host:port` of the server.
        :param connection: connection that has closed.
        """
        if connection in self.idle[address]:
            self.idle[address].remove(connection)

    def abort_unresponsive(self, address: str, sent_at: float) -> None:
        """Abort idle connections without a response since a failed request.

        Connections to a server may stop responding together, and each would
        cost a request its timeout.

        :param address: `host:port` of the server.
        :param sent_at: time at which the request that timed out was sent, in
            seconds.
        """
        for connection in tuple(self.idle[address]):
            if connection.last_response_at < sent_at:
                self.idle[address].remove(connection)
                connection.transport.abortConnection()

    def close(self) -> None:
        """Close the idle connections."""
        for connections in self.idle.values():
            for connection in tuple(connections):
                connection.transport.loseConnection()


def encode_request(
    method: str,
    address: str,
    path: str,
    document: object,
    headers: Mapping[str, str],
) -> bytes:
    """Return the bytes of an HTTP/1.1 request.

    :param method: HTTP method.
    :param address: `host:port` of the server.
    :param path: path without its leading slash, with the query if any.
    :param document: body to send as JSON; None for an empty body.
    :param headers: headers in addition to those of every request.
    :raises ValueError: if a header or the path has a line break, or the path
        has a space.
    """
    body = b'' if document is None else msgspec.json.encode(document)
    lines = [
        f'{method} /{path} HTTP/1.1',
        f'Host: {address}',
        'Content-Type: application/json',
        f'Content-Length: {len(body)}',
        *(f'{name}: {text}' for name, text in headers.items()),
    ]
    head = '\r\n'.join(lines)
    if head.count('\n') >= len(lines) or ' ' in path:
        raise ValueError(f'request has a line break or a space: {head!r}')
    return f'{head}\r\n\r\n'.encode() + body
