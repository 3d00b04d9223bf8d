"""Client of the platform's metadata store, with the operators' records."""

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

    from jackdawridge.util.http_connection import HttpResponse

logger = get_logger('store')

#: Keyed topic of the operators' records; it has one partition.
OPERATOR_TOPIC = 'keyed.op'
#: Time for which the store is asked to hold a read until a record arrives, in
#: seconds. Reads count as calls, whose rate is limited and charged.
LONG_POLL_TIME = 1.5
#: Timeout of an answer, without the time of a long poll, in seconds. The store
#: answers in 4 ms but may be slower by a factor of 60.
ANSWER_TIMEOUT = 1.0
#: Delay before the next read after a failed one, in seconds.
RETRY_DELAY = 0.3

_OK = 200
_GONE = 410
#: Header of a raw read: end offset of the partition and first retained offset.
_READ_HEADER = struct.Struct('>QQ')
_RECORD_LENGTH = struct.Struct('>I')


class _Item(msgspec.Struct):
    """The newest record of a key, with its value in base64."""

    key: str
    value: str
    offset: int


class _NewestPage(msgspec.Struct, rename='camel'):
    """One page of the newest records of a topic."""

    items: list[_Item]
    end_offset: int
    has_more: bool = False


class Record(NamedTuple):
    """A record of a keyed topic; an empty value deletes the key."""

    key: str
    value: bytes
    offset: int


class Page(NamedTuple):
    """Records that a read returned."""

    #: Offset at which the next read starts.
    end: int
    records: tuple[Record, ...]


class StoreClient:
    """Reads topics of the store by HTTP.

    :param reactor: Twisted's reactor.
    :param address: `ip:port` of the store.
    """

    def __init__(self, reactor: Any, address: str) -> None:
        """Create the HTTP client without connecting."""
        self.address = address
        self.base = f'http://{address}/v1'
        self.client = JsonClient(reactor)

    async def newest(self, topic: str) -> Page:
        """Return the newest record of each key of a topic.

        The pages are read one after the other. Records that are written
        meanwhile are found by a read from the end offset of the first page,
        which is returned.

        :param topic: a keyed topic, of which partition 0 is read.
        :raises PeerUnavailableError: if the store gives no usable answer.
        """
        records: list[Record] = []
        end: int | None = None
        after = ''
        while True:
            answer = await self.request(
                f'log-newest?topic={topic}&part=0{after}', ANSWER_TIMEOUT
            )
            page = decode_newest(answer, self.address)
            end = page.end_offset if end is None else end
            for item in page.items:
                content = base64.b64decode(item.value)
                records.append(Record(item.key, content, item.offset))
            if not page.has_more or not page.items:
                return Page(end, tuple(records))
            # The next page starts after the key that this parameter names.
            after = f'&dependsOn={page.items[-1].key}'

    async def read(self, topic: str, start: int) -> Page | None:
        """Return the records from an offset on; wait if there are none yet.

        Returns None if the store no longer retains the offset.

        :param topic: a keyed topic, of which partition 0 is read.
        :param start: the first offset to read.
        :raises PeerUnavailableError: if the store gives no usable answer.
        """
        wait = int(LONG_POLL_TIME * 1000)
        answer = await self.request(
            f'log-read?topic={topic}&part=0&from={start}&waitMs={wait}',
            LONG_POLL_TIME + ANSWER_TIMEOUT,
        )
        if answer.status == _GONE:
            return None
        return parse_records(answer.body, start, self.address)

    async def request(self, path: str, timeout: float) -> HttpResponse:
        """Send a read and return the answer, whose status is 200 or 410.

        :param path: path below `/v1`, with the query.
        :param timeout: time within which the whole answer has to arrive, in
            seconds.
        :raises PeerUnavailableError: if no answer arrives or it has another
            status.
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
    """Follows the newest record of each key of a topic; a component.

    :param clock: Twisted's reactor.
    :param store: client of the store.
    :param changed: called with all records by key after each change.
    """

    def __init__(
        self,
        clock: Any,
        store: StoreClient,
        changed: Callable[[dict[str, Record]], None],
    ) -> None:
        """Start without records and without a position."""
        self.clock = clock
        self.store = store
        self.changed = changed
        self.records: dict[str, Record] = {}
        #: Offset at which the next read starts, None to load all keys first.
        self.position: int | None = None
        self.closed = False
        self.is_reachable = True

    def start(self) -> None:
        """Start the loop that follows the topic."""
        ensureDeferred(self.follow())

    def stop(self) -> None:
        """End the loop after the read in flight."""
        self.closed = True

    async def follow(self) -> None:
        """Read new records until the component is stopped."""
        while not self.closed:
            if not await self.try_advance():
                await pause(self.clock, RETRY_DELAY)

    async def try_advance(self) -> bool:
        """Read new records; return whether the read succeeded.

        Errors are logged and never end the loop: a process that stopped
        following would keep its present configuration for good.
        """
        try:
            await self.advance()
        except JackdawridgeError as error:
            self.update_reachability(error)
            return False
        except Exception:
            logger.exception('reading records failed; retrying', step='follow')
            return False
        self.update_reachability(None)
        return True

    async def advance(self) -> None:
        """Read new records, or the newest of all keys without a position.

        :raises PeerUnavailableError: if the store gives no usable answer.
        """
        if self.position is None:
            page: Page | None = await self.store.newest(OPERATOR_TOPIC)
            # Keys that are not among the newest records were deleted.
            updated: dict[str, Record] = {}
        else:
            page = await self.store.read(OPERATOR_TOPIC, self.position)
            updated = dict(self.records)
        if page is None:
            logger.info(
                'position is no longer retained; reading all keys again',
                step='read',
            )
            self.position = None
            return
        self.position = page.end
        for record in page.records:
            apply_record(updated, record)
        if updated != self.records and not self.closed:
            self.records = updated
            self.changed(updated)

    def update_reachability(self, error: JackdawridgeError | None) -> None:
        """Log when the store becomes unreachable or reachable again.

        :param error: error of the last read, None if it succeeded.
        """
        if error is None and not self.is_reachable:
            logger.notice('store answers again', peer=self.store.address)
        elif error is not None and self.is_reachable:
            logger.warning(error.message, step=error.step, peer=error.peer)
        self.is_reachable = error is None


def apply_record(records: dict[str, Record], record: Record) -> None:
    """Apply a record to a table unless the table has a newer one of its key.

    :param records: newest records by key; changed.
    :param record: the record to apply; an empty value deletes the key.
    """
    current = records.get(record.key)
    if current is not None and current.offset >= record.offset:
        return
    if record.value:
        records[record.key] = record
    else:
        records.pop(record.key, None)


def decode_newest(answer: HttpResponse, peer: str) -> _NewestPage:
    """Return the decoded page of newest records.

    :param answer: the store's answer.
    :param peer: address of the store, reported in the error.
    :raises PeerUnavailableError: if the body cannot be decoded.
    """
    try:
        return msgspec.json.decode(answer.body, type=_NewestPage)
    except msgspec.MsgspecError as error:
        raise PeerUnavailableError(
            str(error), step='log-newest', peer=peer
        ) from error


def parse_records(body: bytes, start: int, peer: str) -> Page:
    """Return the records of a raw read, without those with an invalid key.

    :param body: body of the answer.
    :param start: offset of the first record.
    :param peer: address of the store, reported in the error.
    :raises PeerUnavailableError: if the body is truncated.
    """
    try:
        _READ_HEADER.unpack_from(body)
        contents = _split_records(body)
    except (struct.error, IndexError) as error:
        raise PeerUnavailableError(
            f'answer cannot be read: {error}', step='log-read', peer=peer
        ) from error
    records = [
        _decode_record(content, start + number)
        for number, content in enumerate(contents)
    ]
    return Page(start + len(contents), tuple(filter(None, records)))


def _split_records(body: bytes) -> list[bytes]:
    """Return the encoded records that follow the header of a raw read."""
    position = _READ_HEADER.size
    contents: list[bytes] = []
    while position < len(body):
        length = _RECORD_LENGTH.unpack_from(body, position)[0]
        position += _RECORD_LENGTH.size
        content = body[position : position + length]
        if len(content) < length:
            raise IndexError('record is truncated')
        position += length
        contents.append(content)
    return contents


def _decode_record(content: bytes, offset: int) -> Record | None:
    """Return the decoded record, or None if its key is not valid.

    Such a record is skipped, so that it does not block the records after it.
    """
    key_end = 1 + content[0] if content else 1
    try:
        key = content[1:key_end].decode()
    except UnicodeDecodeError as error:
        logger.warning(str(error), step='log-read', offset=offset)
        return None
    if not key:
        logger.warning('record skipped: no key', step='log-read', offset=offset)
        return None
    return Record(key, content[key_end:], offset)
