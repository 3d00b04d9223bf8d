"""JSON over HTTP, with whole answers."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
import treq
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.http_headers import Headers

if TYPE_CHECKING:
    from collections.abc import Mapping

#: No headers besides those of every request.
NO_HEADERS: Mapping[str, str] = MappingProxyType({})
#: Connections to one address that are kept open.
MAX_CONNECTIONS = 64


class Answer(NamedTuple):
    """An answer of HTTP."""

    status: int
    body: bytes
    headers: Headers

    def document(self) -> Any:
        """Return the body as JSON.

        :raises msgspec.DecodeError: if it is none.
        """
        return msgspec.json.decode(self.body)

    def header(self, name: str) -> str:
        """Return a header, or an empty text.

        :param name: of the header.
        """
        found = self.headers.getRawHeaders(name, [''])
        return str(found[0])


class JsonClient:
    """Sends JSON and reads whole answers.

    :param reactor: Twisted's reactor.
    """

    def __init__(self, reactor: Any) -> None:
        """Prepare without connecting."""
        make_pool: Any = HTTPConnectionPool
        self.pool = make_pool(reactor)
        self.pool.maxPersistentPerHost = MAX_CONNECTIONS
        # A repeated request could be carried out twice.
        self.pool.retryAutomatically = False
        make_agent: Any = Agent
        self.agent = make_agent(reactor, pool=self.pool)

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
        :param url: with the parameters.
        :param document: sent as JSON; no body if it is None.
        :param timeout: for the whole answer, in seconds.
        :param headers: besides the type of the content.
        """
        body = None if document is None else msgspec.json.encode(document)
        response = await treq.request(
            method,
            url,
            data=body,
            headers=Headers(
                {
                    'Content-Type': ['application/json'],
                    **{name: [text] for name, text in headers.items()},
                }
            ),
            agent=self.agent,
            timeout=timeout,
        )
        content: bytes = await treq.content(response)
        return Answer(response.code, content, response.headers)

    def close(self) -> Any:
        """Close the connections; returns a `Deferred`."""
        return self.pool.closeCachedConnections()
