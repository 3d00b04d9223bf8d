"""JSON over HTTP, with whole answers."""

from __future__ import annotations

from collections import defaultdict
from types import MappingProxyType
from typing import TYPE_CHECKING, Any

import msgspec
from twisted.internet.defer import TimeoutError as TimedOutError
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol

from jackdawridge.util.http_connection import Answer, HttpConnection

if TYPE_CHECKING:
    from collections.abc import Mapping

    from twisted.internet.defer import Deferred

#: No headers besides those of every request.
NO_HEADERS: Mapping[str, str] = MappingProxyType({})
#: Connections to one address that are kept open.
MAX_CONNECTIONS = 64
#: Time for a connection to be established, in seconds.
CONNECT_TIMEOUT = 30

_SCHEME = 'http://'


class JsonClient:
    """Sends JSON and reads whole answers, over connections that stay open.

    No request is repeated: it could be carried out twice.

    :param reactor: Twisted's reactor.
    """

    def __init__(self, reactor: Any) -> None:
        """Prepare without connecting."""
        self.reactor = reactor
        #: Free connections by address, the one used last at the end.
        self.free: defaultdict[str, list[HttpConnection]] = defaultdict(list)

    async def ask(
        self,
        method: str,
        url: str,
        document: object = None,
        timeout: float = 60,
        headers: Mapping[str, str] = NO_HEADERS,
    ) -> Answer:
        """Return the answer to a request.

        :param method: of HTTP.
        :param url: `http://host:port/path` with the parameters.
        :param document: sent as JSON; no body if it is None.
        :param timeout: for the whole answer, in seconds.
        :param headers: besides those of every request.
        :raises ValueError: if the URL is none of HTTP.
        :raises twisted.internet.defer.TimeoutError: if it takes too long.
        """
        if not url.startswith(_SCHEME):
            raise ValueError(f'{url!r} does not begin with {_SCHEME}')
        address, _, path = url[len(_SCHEME) :].partition('/')
        request = write_request(method, address, path, document, headers)
        asked = self.reactor.seconds()
        sending = self.send(address, request)
        sending.addTimeout(timeout, self.reactor)
        try:
            return await sending
        except TimedOutError:
            self.drop_silent(address, asked)
            raise

    def send(self, address: str, request: bytes) -> Deferred[Answer]:
        """Send a request over a free connection, or over a new one.

        :param address: `host:port` of the server.
        :param request: with its headers.
        """
        free = self.free[address]
        if free:
            return free.pop().ask(request)
        host, _, port = address.rpartition(':')
        endpoint = TCP4ClientEndpoint(
            self.reactor, host, int(port), timeout=CONNECT_TIMEOUT
        )
        connection = HttpConnection(
            lambda freed: self.freed(address, freed),
            lambda closed: self.closed(address, closed),
        )
        opening: Deferred[Any] = connectProtocol(endpoint, connection)
        return opening.addCallback(lambda opened: opened.ask(request))

    def freed(self, address: str, connection: HttpConnection) -> None:
        """Keep a connection whose answer is complete.

        :param address: of the server.
        :param connection: that can take another request.
        """
        connection.heard_at = self.reactor.seconds()
        if len(self.free[address]) < MAX_CONNECTIONS:
            self.free[address].append(connection)
        else:
            connection.transport.loseConnection()

    def closed(self, address: str, connection: HttpConnection) -> None:
        """Forget a connection that has ended.

        :param address: of the server.
        :param connection: to forget.
        """
        if connection in self.free[address]:
            self.free[address].remove(connection)

    def drop_silent(self, address: str, asked: float) -> None:
        """Close what was last heard before a request that had no answer.

        Connections may go silent together, and each would cost a timeout.

        :param address: of the server.
        :param asked: when the request was sent, in seconds.
        """
        for connection in tuple(self.free[address]):
            if connection.heard_at < asked:
                self.free[address].remove(connection)
                connection.transport.abortConnection()

    def close(self) -> None:
        """Close the free connections."""
        for connections in self.free.values():
            for connection in tuple(connections):
                connection.transport.loseConnection()


def write_request(
    method: str,
    address: str,
    path: str,
    document: object,
    headers: Mapping[str, str],
) -> bytes:
    """Return a request as it is sent.

    :param method: of HTTP.
    :param address: of the server.
    :param path: without its first slash, with the parameters.
    :param document: sent as JSON; no body if it is None.
    :param headers: besides those of every request.
    :raises ValueError: if a line would end too early.
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
