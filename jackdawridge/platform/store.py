"""The platform's metadata store: what operators have written."""

from __future__ import annotations

import base64
import struct
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
from twisted.internet.defer import ensureDeferred

from jackdawridge.errors import JackdawridgeError, PeerUnavailableError
from jackdawridge.logs import get_logger
from jackdawridge.util.client import JsonClient
from jackdawridge.util.clock import pause

if TYPE_CHECKING:
    from collections.abc import Callable

    from jackdawridge.util.http_connection import Answer

logger = get_logger('store')

#: Topic of what operators write, in its only partition.
OPERATOR_TOPIC = 'keyed.op'
#: Time that a question for new records waits at the store, in seconds. Each
#: question is one call of the limited and priced rate.
LONG_POLL = 1.5
#: Time for an answer beyond the wait at the store, in seconds: it may be slow
#: by a factor of 60 at 4 ms an answer.
ANSWER_TIME = 1.0
#: Wait before the store is asked again after a failure, in seconds.
RETRY_WAIT = 0.3

_OK = 200
_GONE = 410
#: End of the partition and first retained offset.
_READ_HEAD = struct.Struct('>QQ')
_RECORD_LENGTH = struct.Struct('>I')


class _Item(msgspec.Struct):
    """The newest record of a key; its value is encoded in base64."""

    key: str
    value: str
    offset: int


class _Newest(msgspec.Struct, rename='camel'):
    """A page of the newest records."""

    items: list[_Item]
    end_offset: int
    has_more: bool = False


class Record(NamedTuple):
    """One record of a keyed topic; an empty value drops the key."""

    key: str
    value: bytes
    offset: int


class Page(NamedTuple):
    """What a read returns."""

    #: Offset to go on reading from.
    end: int
    records: tuple[Record, ...]


class StoreClient:
    """Calls the store.

    :param reactor: Twisted's reactor.
    :param address: `ip:port` of the store.
    """

    def __init__(self, reactor: Any, address: str) -> None:
        """Prepare without connecting."""
        self.address = address
        self.base = f'http://{address}/v1'
        self.client = JsonClient(reactor)

    async def newest(self, topic: str) -> Page:
        """Return the newest record of each key of a topic.

        Pages are read one after the other; what changes meanwhile is found
        by reading on from the end of the first page.

        :param topic: of keyed records, in partition 0.
        """
        records: list[Record] = []
        end: int | None = None
        after = ''
        while True:
            answer = await self.ask(
                f'log-newest?topic={topic}&part=0{after}', ANSWER_TIME
            )
            page = read_newest(answer, self.address)
            end = page.end_offset if end is None else end
            for one in page.items:
                content = base64.b64decode(one.value)
                records.append(Record(one.key, content, one.offset))
            if not page.has_more or not page.items:
                return Page(end, tuple(records))
            # The page names the parameter by which reading goes on so.
            after = f'&dependsOn={page.items[-1].key}'

    async def read(self, topic: str, start: int) -> Page | None:
        """Wait for records from an offset on; None if they are forgotten.

        :param topic: of keyed records, in partition 0.
        :param start: the offset.
        """
        wait = int(LONG_POLL * 1000)
        answer = await self.ask(
            f'log-read?topic={topic}&part=0&from={start}&waitMs={wait}',
            LONG_POLL + ANSWER_TIME,
        )
        if answer.status == _GONE:
            return None
        return parse_records(answer.body, start, self.address)

    async def ask(self, path: str, timeout: float) -> Answer:
        """Return the answer to a read.

        :param path: with the query.
        :param timeout: for the whole answer, in seconds.
        :raises PeerUnavailableError: if there is none to use.
        """
        step = path.partition('?')[0]
        try:
            answer = await self.client.ask(
                'GET', f'{self.base}/{path}', timeout=timeout
            )
        except Exception as error:
            raise PeerUnavailableError(
                f'{type(error).__name__}: {error}', step=step, peer=self.address
            ) from error
        if answer.status not in {_OK, _GONE}:
            raise PeerUnavailableError(
                f'status {answer.status}', step=step, peer=self.address
            )
        return answer


class RecordFollower:
    """Keeps the newest record of each key of a topic; a component.

    :param clock: the reactor.
    :param store: that has the topic.
    :param changed: called with the records by key after each change.
    """

    def __init__(
        self,
        clock: Any,
        store: StoreClient,
        changed: Callable[[dict[str, Record]], None],
    ) -> None:
        """Begin without records."""
        self.clock = clock
        self.store = store
        self.changed = changed
        self.records: dict[str, Record] = {}
        #: Offset to read from, None to read the newest records anew.
        self.position: int | None = None
        self.closed = False
        self.is_reachable = True

    def start(self) -> None:
        """Begin to follow."""
        ensureDeferred(self.follow())

    def stop(self) -> None:
        """Stop following."""
        self.closed = True

    async def follow(self) -> None:
        """Read until the end of the process."""
        while not self.closed:
            if not await self.advance_safely():
                await pause(self.clock, RETRY_WAIT)

    async def advance_safely(self) -> bool:
        """Read what is new and return whether that was possible.

        A process that followed no more would keep to what is in force now,
        so that no error ends the loop.
        """
        try:
            await self.advance()
        except JackdawridgeError as error:
            self.note(error)
            return False
        except Exception:
            logger.exception('records were not read', step='follow')
            return False
        self.note(None)
        return True

    async def advance(self) -> None:
        """Read what is new, or everything if the position is forgotten."""
        if self.position is None:
            page: Page | None = await self.store.newest(OPERATOR_TOPIC)
            # Keys that are not among the newest were dropped.
            fresh: dict[str, Record] = {}
        else:
            page = await self.store.read(OPERATOR_TOPIC, self.position)
            fresh = dict(self.records)
        if page is None:
            logger.info('history is forgotten', step='read')
            self.position = None
            return
        self.position = page.end
        for record in page.records:
            fold(fresh, record)
        if fresh != self.records and not self.closed:
            self.records = fresh
            self.changed(fresh)

    def note(self, error: JackdawridgeError | None) -> None:
        """Write a line when the store is lost or regained.

        :param error: of the last call, None if it was answered.
        """
        if error is None and not self.is_reachable:
            logger.notice('store answers again', peer=self.store.address)
        elif error is not None and self.is_reachable:
            logger.warning(error.message, step=error.step, peer=error.peer)
        self.is_reachable = error is None


def fold(records: dict[str, Record], record: Record) -> None:
    """Put a record in its place unless a newer one is there.

    :param records: by key; changed.
    :param record: that was read.
    """
    known = records.get(record.key)
    if known is not None and known.offset >= record.offset:
        return
    if record.value:
        records[record.key] = record
    else:
        records.pop(record.key, None)


def read_newest(answer: Answer, peer: str) -> _Newest:
    """Return a page of the newest records.

    :param answer: of the store.
    :param peer: for the error.
    :raises PeerUnavailableError: if the body is none.
    """
    try:
        return msgspec.json.decode(answer.body, type=_Newest)
    except msgspec.MsgspecError as error:
        raise PeerUnavailableError(
            str(error), step='log-newest', peer=peer
        ) from error


def parse_records(body: bytes, start: int, peer: str) -> Page:
    """Return the records of a raw read.

    :param body: of the answer.
    :param start: the offset that was asked for.
    :param peer: for the error.
    :raises PeerUnavailableError: if the body is cut off.
    """
    try:
        _READ_HEAD.unpack_from(body)
        contents = _split(body)
    except (struct.error, IndexError) as error:
        raise PeerUnavailableError(
            f'answer cannot be read: {error}', step='log-read', peer=peer
        ) from error
    read = [
        _record(content, start + number)
        for number, content in enumerate(contents)
    ]
    return Page(start + len(contents), tuple(filter(None, read)))


def _split(body: bytes) -> list[bytes]:
    """Return the records behind the head of a raw read."""
    place = _READ_HEAD.size
    contents: list[bytes] = []
    while place < len(body):
        length = _RECORD_LENGTH.unpack_from(body, place)[0]
        place += _RECORD_LENGTH.size
        content = body[place : place + length]
        if len(content) < length:
            raise IndexError('record is cut off')
        place += length
        contents.append(content)
    return contents


def _record(content: bytes, offset: int) -> Record | None:
    """Return a keyed record, or None for one that cannot be read.

    One that is passed over keeps nobody from those behind it.
    """
    key_end = 1 + content[0] if content else 1
    try:
        key = content[1:key_end].decode()
    except UnicodeDecodeError as error:
        logger.warning(str(error), step='log-read', offset=offset)
        return None
    if not key:
        logger.warning('record has no key', step='log-read', offset=offset)
        return None
    return Record(key, content[key_end:], offset)
