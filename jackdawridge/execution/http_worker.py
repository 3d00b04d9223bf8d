"""Calls to a worker over HTTP."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING, Any

import msgspec
import treq
from twisted.internet.error import (
    ConnectError,
)
from twisted.internet.error import (
    ConnectionRefusedError as RefusedError,
)
from twisted.internet.error import (
    TimeoutError as ConnectTimeoutError,
)
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.http_headers import Headers

from jackdawridge.execution.event_stream import EventStream, TaskEvent
from jackdawridge.execution.start_stream import CALL_TIMEOUT, StartStream
from jackdawridge.execution.worker import (
    AnswerLostError,
    NotSentError,
    TaskList,
)

if TYPE_CHECKING:
    from jackdawridge.execution.worker import (
        StartAnswer,
        WorkerListener,
        WorkerTask,
    )

#: Most idle connections to the worker that are kept open.
MAX_CONNECTIONS = 8

_OK = 200
_HEADERS = Headers({'Content-Type': ['application/json']})


class _List(msgspec.Struct):
    """All tasks, in the worker's JSON."""

    event: int
    tasks: tuple[TaskEvent, ...]


class HttpWorker:
    """Calls the worker with JSON over HTTP.

    :param reactor: Twisted's reactor.
    :param address: `ip:port` of the worker.
    """

    def __init__(self, reactor: Any, address: str) -> None:
        """Initialise the client without connecting."""
        self.reactor = reactor
        self.address = address
        self.base = f'http://{address}/v1'
        pool: Any = HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = MAX_CONNECTIONS
        # A POST that is retried could start a task twice.
        pool.retryAutomatically = False
        self.pool = pool
        # Twisted's HTTP client has no type annotations.
        make_agent: Any = Agent
        self.agent: Any = make_agent(
            reactor, pool=pool, connectTimeout=CALL_TIMEOUT
        )
        self.event_stream: EventStream | None = None
        self.start_stream = StartStream(reactor, self.base)

    @classmethod
    def from_config(cls, reactor: Any, address: str) -> HttpWorker:
        """Return the worker of a side.

        :param reactor: Twisted's reactor.
        :param address: `ip:port` of the worker.
        """
        return cls(reactor, address)

    async def call(self, path: str, document: object = None) -> bytes:
        """Send a request and return the body of the response.

        :param path: path below `/v1`.
        :param document: object sent as JSON by POST; the method is GET if it
            is None.
        :raises NotSentError: if the request has certainly not reached the
            worker.
        :raises AnswerLostError: if the worker may have acted on it.
        """
        try:
            return await self.request(path, document)
        except (RefusedError, ConnectError, ConnectTimeoutError) as error:
            raise NotSentError(
                str(error), step=f'call {path}', peer=self.address
            ) from error
        except AnswerLostError:
            raise
        except Exception as error:
            raise AnswerLostError(
                f'{type(error).__name__}: {error}',
                step=f'call {path}',
                peer=self.address,
            ) from error

    async def request(self, path: str, document: object) -> bytes:
        """Send one request and return the body of the response.

        :param path: path below `/v1`.
        :param document: object sent as JSON by POST; the method is GET if it
            is None.
        :raises AnswerLostError: if the response has an error status.
        """
        method = 'GET' if document is None else 'POST'
        body = None if document is None else msgspec.json.encode(document)
        response = await treq.request(
            method,
            f'{self.base}{path}',
            data=body,
            headers=_HEADERS,
            agent=self.agent,
            timeout=CALL_TIMEOUT,
        )
        content: bytes = await treq.content(response)
        if response.code != _OK:
            raise AnswerLostError(
                f'worker answered with HTTP status {response.code}',
                step=f'call {path}',
                peer=self.address,
            )
        return content

    async def connect(self) -> None:
        """Wait until starts can be sent and their answers received.

        :raises NotSentError: if the worker is not reached.
        """
        if self.event_stream is None:
            raise NotSentError(
                'worker events are not followed',
                step='start',
                peer=self.address,
            )
        if self.event_stream.receiver is None:
            await self.event_stream.when_open()
        if not self.start_stream.is_open:
            await self.start_stream.open()

    async def start(
        self, tasks: tuple[WorkerTask, ...]
    ) -> tuple[StartAnswer, ...]:
        """Start tasks and return the worker's answers.

        :param tasks: tasks to start.
        """
        # A task id is never reused, so it also identifies the batch.
        name = tasks[0].id
        document = {
            'batch': name,
            'tasks': [_task_document(task) for task in tasks],
        }
        line = b'%b\n' % msgspec.json.encode(document)
        return await self.start_stream.write(name, line)

    async def list(self) -> TaskList:
        """Return the tasks of the worker."""
        content = await self.call('/tasks')
        listed = msgspec.json.decode(content, type=_List)
        return TaskList(
            listed.event, tuple(status.to_status() for status in listed.tasks)
        )

    async def stop(self, ids: tuple[str, ...]) -> None:
        """Stop tasks.

        :param ids: ids of the tasks.
        """
        await self.call('/tasks/stop', {'ids': ids})

    async def throttle(self, ids: tuple[str, ...], share: float) -> None:
        """Limit tasks to a share of their cores.

        :param ids: ids of the tasks.
        :param share: share of the cores, from 0 to 1.
        """
        await self.call('/tasks/throttle', {'ids': ids, 'share': share})

    async def checkpoint(self, ids: tuple[str, ...]) -> None:
        """Suspend tasks and free their memory; full speed resumes them.

        :param ids: ids of the tasks.
        """
        await self.call('/tasks/checkpoint', {'ids': ids})

    async def renew(self, lease: float) -> None:
        """Renew the leases of all running tasks.

        :param lease: duration of the lease in seconds from now.
        """
        await self.call('/tasks/renew', {'all': True, 'lease': lease})

    async def forget(self, event: int) -> None:
        """Forget all tasks that ended up to an event.

        :param event: number of the event.
        """
        await self.call('/tasks/forget', {'through': event})

    def follow(self, event: int, listener: WorkerListener) -> None:
        """Report all events after a number, until `close`.

        :param event: number of the last known event.
        :param listener: receives the events.
        """
        self.event_stream = EventStream(
            self.reactor,
            self.agent,
            self.base,
            event,
            listener,
            self.start_stream,
        )
        self.event_stream.open()

    def close(self) -> None:
        """Stop reporting events and close the connections."""
        if self.event_stream is not None:
            self.event_stream.close()
        self.start_stream.close()
        self.pool.closeCachedConnections()


def _task_document(task: WorkerTask) -> dict[str, object]:
    """Return a task as the worker's JSON has it."""
    document = task._asdict()
    document['payload'] = base64.b64encode(task.payload).decode()
    return document
