"""Interface of the platform's log service and its HTTP client."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol, TypedDict

import msgspec
import treq
from result import Err, Ok, Result
from twisted.internet.defer import ensureDeferred
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.http import OK
from twisted.web.http_headers import Headers

from jackdawridge.configuration.records import RawRecord
from jackdawridge.configuration.replay import Page

if TYPE_CHECKING:
    from collections.abc import Coroutine

#: Timeout for connecting to the log service, in seconds.
CONNECT_TIMEOUT = 1.0


class ReadRecord(msgspec.Struct):
    """One record in the response to a read.

    A struct, because only a struct can have a field of raw JSON.
    """

    offset: int
    record: msgspec.Raw


class ReadReply(TypedDict):
    """Body of the response to a read."""

    first: int
    next: int
    records: list[ReadRecord]


class AppendReply(TypedDict):
    """Body of the response to an append."""

    offset: int


class LogService(Protocol):
    """One stream of the log service.

    An error means only that no valid response arrived.
    """

    async def append(
        self, document: object, timeout: float
    ) -> Result[int, str]:
        """Append a record and return its offset.

        After an error the record may or may not be in the log.
        """

    async def read(
        self, start: int, wait: float, timeout: float
    ) -> Result[Page, str]:
        """Read records from an offset, waiting for the first one."""


class HttpLogService:
    """Client of the log service over HTTP.

    :param reactor: Twisted's reactor.
    :param address: `ip:port` of the service.
    :param stream: name of the stream.
    :param max_records: maximum number of records in one read.
    """

    def __init__(
        self, reactor: Any, address: str, stream: str, max_records: int = 500
    ) -> None:
        """Create the HTTP client without connecting."""
        self.reactor = reactor
        self.url = f'http://{address}/v1/streams/{stream}/records'
        self.max_records = max_records
        make_pool: Any = HTTPConnectionPool
        make_agent: Any = Agent
        self.pool = make_pool(reactor)
        agent = make_agent(
            reactor, connectTimeout=CONNECT_TIMEOUT, pool=self.pool
        )
        self.client = treq.client.HTTPClient(agent)

    async def append(
        self, document: object, timeout: float
    ) -> Result[int, str]:
        """Append a record and return its offset.

        :param document: the record, encoded as JSON.
        :param timeout: for the complete response, in seconds.
        """
        reply = await self.with_timeout(self.send_append(document), timeout)
        return reply.and_then(_read_offset)

    async def read(
        self, start: int, wait: float, timeout: float
    ) -> Result[Page, str]:
        """Read records from an offset.

        :param start: offset of the first record to read.
        :param wait: how long the service waits for the first record, in
            seconds.
        :param timeout: for the complete response, in seconds.
        """
        reply = await self.with_timeout(self.send_read(start, wait), timeout)
        return reply.and_then(_read_page)

    async def send_append(self, document: object) -> Result[bytes, str]:
        """Send an append request and return the body of the response.

        :param document: the record, encoded as JSON.
        """
        response = await self.client.post(
            self.url,
            data=msgspec.json.encode(document),
            headers=Headers({'Content-Type': ['application/json']}),
        )
        return await _read_body(response)

    async def send_read(self, start: int, wait: float) -> Result[bytes, str]:
        """Send a read request and return the body of the response.

        :param start: offset of the first record to read.
        :param wait: how long the service waits for the first record, in
            seconds.
        """
        response = await self.client.get(
            self.url,
            params={
                'from': str(start),
                'limit': str(self.max_records),
                'wait': str(wait),
            },
        )
        return await _read_body(response)

    async def with_timeout(
        self,
        request: Coroutine[Any, Any, Result[bytes, str]],
        timeout: float,
    ) -> Result[bytes, str]:
        """Await a request and convert a timeout or exception into an error.

        :param request: sends the request and reads the complete response.
        :param timeout: in seconds.
        """
        pending = ensureDeferred(request)
        pending.addTimeout(timeout, self.reactor)
        try:
            return await pending
        except Exception as error:
            return Err(f'{type(error).__name__}: {error}')

    def close(self) -> Any:
        """Close the idle connections."""
        return self.pool.closeCachedConnections()


async def _read_body(response: Any) -> Result[bytes, str]:
    """Return the body of a response, or an error if its status is not 200."""
    content: bytes = await response.content()
    if response.code == OK:
        return Ok(content)
    return Err(f'HTTP status {response.code}')


def _read_offset(content: bytes) -> Result[int, str]:
    """Parse the response to an append."""
    try:
        return Ok(msgspec.json.decode(content, type=AppendReply)['offset'])
    except msgspec.DecodeError as error:
        return Err(f'response is malformed: {error}')


def _read_page(content: bytes) -> Result[Page, str]:
    """Parse the response to a read."""
    try:
        reply = msgspec.json.decode(content, type=ReadReply)
    except msgspec.DecodeError as error:
        return Err(f'response is malformed: {error}')
    records = tuple(
        RawRecord(record.offset, bytes(record.record))
        for record in reply['records']
    )
    return Ok(Page(reply['first'], reply['next'], records))
