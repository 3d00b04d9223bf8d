"""HTTP client of the platform's log service."""

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

#: Time for a connection to the log service to be established, in seconds.
CONNECT_TIMEOUT = 1.0


class ReadRecord(msgspec.Struct):
    """One record in the answer to a read; only a struct can hold raw JSON."""

    offset: int
    record: msgspec.Raw


class ReadAnswer(TypedDict):
    """The answer to a read."""

    first: int
    next: int
    records: list[ReadRecord]


class AppendAnswer(TypedDict):
    """The answer to an append."""

    offset: int


class LogService(Protocol):
    """One stream of the log; an error says only that no answer came."""

    async def append(
        self, document: object, timeout: float
    ) -> Result[int, str]:
        """Append a record and return its offset.

        After an error the record may be in the log or not.
        """

    async def read(
        self, start: int, wait: float, timeout: float
    ) -> Result[Page, str]:
        """Read records from an offset on, waiting for the first one."""


class HttpLogService:
    """The log service over HTTP.

    :param reactor: Twisted's reactor.
    :param address: `ip:port` of the service.
    :param stream: name of the stream.
    :param limit: most records of one read.
    """

    def __init__(
        self, reactor: Any, address: str, stream: str, limit: int = 500
    ) -> None:
        """Prepare without connecting."""
        self.reactor = reactor
        self.url = f'http://{address}/v1/streams/{stream}/records'
        self.limit = limit
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

        :param document: encoded as JSON.
        :param timeout: for the whole answer, in seconds.
        """
        answer = await self.limited(self.post(document), timeout)
        return answer.and_then(_read_offset)

    async def read(
        self, start: int, wait: float, timeout: float
    ) -> Result[Page, str]:
        """Read records from an offset on.

        :param start: the offset.
        :param wait: for the first record, in seconds.
        :param timeout: for the whole answer, in seconds.
        """
        answer = await self.limited(self.get(start, wait), timeout)
        return answer.and_then(_read_page)

    async def post(self, document: object) -> Result[bytes, str]:
        """Send one append.

        :param document: encoded as JSON.
        """
        response = await self.client.post(
            self.url,
            data=msgspec.json.encode(document),
            headers=Headers({'Content-Type': ['application/json']}),
        )
        return await _body(response)

    async def get(self, start: int, wait: float) -> Result[bytes, str]:
        """Send one read.

        :param start: the first offset.
        :param wait: for the first record, in seconds.
        """
        response = await self.client.get(
            self.url,
            params={
                'from': str(start),
                'limit': str(self.limit),
                'wait': str(wait),
            },
        )
        return await _body(response)

    async def limited(
        self,
        request: Coroutine[Any, Any, Result[bytes, str]],
        timeout: float,
    ) -> Result[bytes, str]:
        """Await a request for a time at most, and turn failures into errors.

        :param request: sends it and reads the whole answer.
        :param timeout: in seconds.
        """
        pending = ensureDeferred(request)
        pending.addTimeout(timeout, self.reactor)
        try:
            return await pending
        except Exception as error:
            return Err(f'{type(error).__name__}: {error}')

    def close(self) -> Any:
        """Close idle connections."""
        return self.pool.closeCachedConnections()


async def _body(response: Any) -> Result[bytes, str]:
    """Return the body of a good response."""
    content: bytes = await response.content()
    if response.code == OK:
        return Ok(content)
    return Err(f'status {response.code}')


def _read_offset(content: bytes) -> Result[int, str]:
    """Return the offset in the answer to an append."""
    try:
        return Ok(msgspec.json.decode(content, type=AppendAnswer)['offset'])
    except msgspec.DecodeError as error:
        return Err(f'answer is malformed: {error}')


def _read_page(content: bytes) -> Result[Page, str]:
    """Return the page in the answer to a read."""
    try:
        answer = msgspec.json.decode(content, type=ReadAnswer)
    except msgspec.DecodeError as error:
        return Err(f'answer is malformed: {error}')
    records = tuple(
        RawRecord(each.offset, bytes(each.record)) for each in answer['records']
    )
    return Ok(Page(answer['first'], answer['next'], records))
