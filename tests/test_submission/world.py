"""Simulated entries, sides and workers joined by fake links."""

from __future__ import annotations

import logging
from collections import defaultdict, deque
from collections.abc import Mapping
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, NamedTuple

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from jackdawridge.application import Application
from jackdawridge.config import Settings
from jackdawridge.execution.component import SideExecution
from jackdawridge.execution.worker import (
    AnswerLostError,
    NotSentError,
    StartAnswer,
    TaskList,
    TaskStatus,
)
from jackdawridge.membership.messages import Introduction
from jackdawridge.submission.component import EntrySubmission

if TYPE_CHECKING:
    from jackdawridge.execution.worker import WorkerListener, WorkerTask
    from jackdawridge.submission.jobs import JobAnswer

logging.getLogger('twisted').setLevel(logging.CRITICAL)

KEY = 'a key that is long enough'
NO_CHANGES: Mapping[str, object] = MappingProxyType({})
CORES = 4


def make_settings(
    role: str, node: str, changes: Mapping[str, object]
) -> Settings:
    document: dict[str, Any] = {
        'role': role,
        'node': node,
        'deployment': 'test',
        'failure_domain': 'Soweto',
        'shared_key': KEY,
        'operator_address': '127.0.0.1:0',
        'entries': ['127.0.0.1:1'],
    }
    if role == 'entry':
        for name in ('caller_address', 'peer_address', 'log_service'):
            document[name] = '127.0.0.1:1'
    else:
        document |= {'worker': '127.0.0.1:1', 'cores': CORES, 'memory': 4096}
    document.update(changes)
    return Settings.from_config(document)


class FakeWorker:
    """Runs tasks until a test ends them; keeps running without its side."""

    def __init__(self) -> None:
        #: Ids of the starts that a side has requested, and of those that were
        #: carried out.
        self.requested: list[str] = []
        self.starts: list[str] = []
        self.tasks: dict[str, TaskStatus] = {}
        self.event = 0
        self.listener: WorkerListener | None = None
        #: How the next calls of `start` end: ok, refused, lost (after it took
        #: effect), vanished (before it took effect) or held (delayed).
        self.start_results: deque[str] = deque()
        self.held_calls: list[Deferred[None]] = []

    async def connect(self) -> None:
        """Return at once; `start` can still fail."""

    async def start(
        self, tasks: tuple[WorkerTask, ...]
    ) -> tuple[StartAnswer, ...]:
        self.requested.extend(task.id for task in tasks)
        result = self.start_results.popleft() if self.start_results else 'ok'
        if result == 'refused':
            raise NotSentError('refused')
        if result == 'vanished':
            raise AnswerLostError('lost before it took effect')
        if result == 'held':
            hold: Deferred[None] = Deferred()
            self.held_calls.append(hold)
            await hold
        self.run(tasks)
        if result == 'lost':
            raise AnswerLostError('lost after it took effect')
        return tuple(StartAnswer(task.id, True, '') for task in tasks)

    def release_calls(self) -> None:
        """Let the held calls take effect."""
        self.start_results.clear()
        while self.held_calls:
            self.held_calls.pop().callback(None)

    def run(self, tasks: tuple[WorkerTask, ...]) -> None:
        for task in tasks:
            self.starts.append(task.id)
            self.tasks[task.id] = TaskStatus(
                task.id, 'running', '', b'', 1, 1, 0, 0
            )

    def end(self, identifier: str, state: str) -> None:
        status = self.tasks[identifier]
        if status.state != 'running':
            return
        self.event += 1
        answer = identifier.rpartition('|')[0].encode()
        status = status._replace(
            state=state, answer=answer, event=self.event, run_time=0.1
        )
        self.tasks[identifier] = status
        if self.listener is not None:
            self.listener.task_ended(status)

    async def list(self) -> TaskList:
        return TaskList(self.event, tuple(self.tasks.values()))

    async def stop(self, ids: tuple[str, ...]) -> None:
        for identifier in ids:
            if identifier in self.tasks:
                self.end(identifier, 'stopped')

    async def throttle(self, ids: tuple[str, ...], share: float) -> None:
        """Do nothing."""

    async def checkpoint(self, ids: tuple[str, ...]) -> None:
        """Do nothing."""

    async def renew(self, lease: float) -> None:
        """Do nothing."""

    async def forget(self, event: int) -> None:
        for identifier, status in tuple(self.tasks.items()):
            if 0 < status.event <= event:
                self.tasks.pop(identifier)

    def follow(self, event: int, listener: WorkerListener) -> None:
        self.listener = listener
        for status in tuple(self.tasks.values()):
            if status.event > event:
                listener.task_ended(status)

    def close(self) -> None:
        self.listener = None


class LinkClosed(NamedTuple):
    """Marks the end of the messages on a closed link."""


class FakePeer:
    """One end of a link, as the process at that end sees the other process."""

    def __init__(self, link: FakeLink, introduction: Introduction) -> None:
        self.link = link
        self.introduction = introduction
        self.name = introduction.node
        self.identity = (introduction.node, introduction.incarnation)
        self.outgoing: deque[Any] = deque()
        #: Whether the process has joined the link and not left it.
        self.joined = True

    def send(self, message: Any) -> bool:
        if not self.joined:
            return False
        if self.link.is_open:
            self.outgoing.append(message)
        return True


class FakeLink:
    """Carries messages between an entry and a side, in order."""

    def __init__(self, entry: FakeProcess, side: FakeProcess) -> None:
        self.is_open = True
        self.processes = {'entry': entry, 'side': side}
        self.peers = {
            'entry': FakePeer(self, side.introduction),
            'side': FakePeer(self, entry.introduction),
        }
        for role, process in self.processes.items():
            process.join(self.peers[role])

    def deliver(self, sender: str) -> None:
        """Deliver the sender's oldest message if the receiver isn't paused."""
        receiver = 'side' if sender == 'entry' else 'entry'
        outgoing = self.peers[sender].outgoing
        process, peer = self.processes[receiver], self.peers[receiver]
        if not outgoing or process.paused:
            return
        message = outgoing.popleft()
        if isinstance(message, LinkClosed):
            process.leave(peer)
        elif peer.joined:
            receiving: Any = peer
            process.application.dispatch(receiving, message)

    def carries_messages(self) -> bool:
        return any(peer.outgoing for peer in self.peers.values())

    def close(self, reason: str) -> None:
        """Close the link; messages already sent still arrive, as with TCP."""
        if self.is_open:
            self.is_open = False
            for peer in self.peers.values():
                peer.outgoing.append(LinkClosed())

    def cut(self, arriving: int) -> None:
        """Close the link and lose all but the first messages of each end."""
        for peer in self.peers.values():
            while len(peer.outgoing) > arriving:
                peer.outgoing.pop()
        self.close('cut')


class FakePeers:
    """The peers of one process."""

    def __init__(self, introduction: Introduction) -> None:
        self.introduction = introduction
        self.peers: list[FakePeer] = []

    def update_introduction(self, introduction: Introduction) -> None:
        """Store the introduction, which the fake links don't send again."""
        self.introduction = introduction

    def of_role(self, role: str) -> list[FakePeer]:
        return [peer for peer in self.peers if peer.introduction.role == role]


class PendingBacklog:
    """Input of a pause that counts as unread until a test says otherwise."""

    is_over = False

    def is_pending(self) -> bool:
        return not self.is_over


class FakeProcess:
    """A run of an entry or a side with its own clock."""

    def __init__(
        self,
        role: str,
        node: str,
        incarnation: str,
        changes: Mapping[str, object] = NO_CHANGES,
    ) -> None:
        self.clock = Clock()
        self.lag: float = 0
        self.paused = False
        settings = make_settings(role, node, changes)
        self.application = Application(settings, self.clock, incarnation)
        self.introduction = Introduction(
            role, node, incarnation, 'Soweto', '127.0.0.1:1', '', 4, 4096, 0, 0
        )
        peers: Any = FakePeers(self.introduction)
        self.peers = peers

    def join(self, peer: FakePeer) -> None:
        for older in tuple(self.peers.peers):
            if older.identity == peer.identity:
                self.leave(older)
        self.peers.peers.append(peer)
        self.application.events.emit('peer_joined', peer)

    def leave(self, peer: FakePeer) -> None:
        if not peer.joined:
            return
        peer.joined = False
        self.peers.peers.remove(peer)
        self.application.events.emit('peer_left', peer)

    def advance(self, seconds: float) -> None:
        if self.paused:
            self.lag += seconds
        else:
            self.clock.advance(seconds)

    def resume(self) -> None:
        self.paused = False
        lag = self.lag
        self.lag = 0
        # A resumed process reads its sockets before most of its timers fire.
        self.clock.advance(lag)


class World:
    """Two entries and two sides, each of which can be killed and replaced."""

    #: Settings of the sides besides those of `make_settings`.
    side_changes = NO_CHANGES
    #: The same for the entries.
    entry_changes = NO_CHANGES

    def __init__(self) -> None:
        self.runs = 0
        self.workers = [FakeWorker(), FakeWorker()]
        self.links: list[FakeLink] = []
        self.answers: dict[str, list[JobAnswer]] = defaultdict(list)
        #: Number of starts that had been requested when a job was answered.
        self.requested_at_answer: dict[str, int] = {}
        self.entries = [self.make_entry(0), self.make_entry(1)]
        self.sides = [self.make_side(0), self.make_side(1)]
        self.link_all()

    def next_incarnation(self) -> str:
        self.runs += 1
        return f'run{self.runs}'

    def make_entry(self, number: int) -> FakeProcess:
        process = FakeProcess(
            'entry',
            f'entry-{number}',
            self.next_incarnation(),
            self.entry_changes,
        )
        submission = EntrySubmission.from_application(
            process.application, process.peers
        )
        process.application.add(submission)
        process.application.events.connect('job_finished', self.finished)
        process.application.start()
        return process

    def make_side(self, number: int) -> FakeProcess:
        process = FakeProcess(
            'side', f'side-{number}', self.next_incarnation(), self.side_changes
        )
        self.workers[number].listener = None
        worker: Any = self.workers[number]
        execution = SideExecution.from_application(
            process.application, process.peers, worker
        )
        process.application.add(execution)
        process.application.start()
        return process

    def finished(self, answer: JobAnswer) -> None:
        self.answers[answer.ticket].append(answer)
        self.requested_at_answer[answer.ticket] = self.requested(answer.ticket)

    def requested(self, ticket: str) -> int:
        """Return how many starts of a job the sides have requested."""
        return sum(
            identifier.startswith(f'{ticket}|')
            for worker in self.workers
            for identifier in worker.requested
        )

    def link_all(self) -> None:
        """Link each entry with each side unless they are linked or paused."""
        linked = {
            tuple(link.processes.values())
            for link in self.links
            if link.is_open
        }
        for entry in self.entries:
            for side in self.sides:
                awake = not (entry.paused or side.paused)
                if awake and (entry, side) not in linked:
                    self.links.append(FakeLink(entry, side))

    def processes(self) -> list[FakeProcess]:
        return [*self.entries, *self.sides]

    def advance(self, seconds: float) -> None:
        for process in self.processes():
            process.advance(seconds)

    def kill(self, process: FakeProcess) -> None:
        """End a run: it stays paused, and its links are closed."""
        process.paused = True
        for link in self.links:
            if process in link.processes.values():
                link.close('killed')

    def settle(self) -> None:
        """Deliver all messages and run the timers that are due at once."""
        for _ in range(12):
            for link in self.links:
                self.deliver_all(link, 'entry')
                self.deliver_all(link, 'side')
            self.advance(0.001)
        self.links = [
            link
            for link in self.links
            if link.is_open or link.carries_messages()
        ]

    def deliver_all(self, link: FakeLink, sender: str) -> None:
        waiting = len(link.peers[sender].outgoing)
        for _ in range(waiting):
            link.deliver(sender)

    def release_calls(self) -> None:
        for worker in self.workers:
            worker.release_calls()

    def engine(self, number: int) -> Any:
        component: Any = self.entries[number].application.components[0]
        return component.engine

    def register(self, number: int) -> Any:
        component: Any = self.entries[number].application.components[0]
        return component.interface.register

    def started(self) -> list[tuple[str, int]]:
        """Return ticket and task of each start that a worker carried out."""
        starts = [
            identifier.split('|')
            for worker in self.workers
            for identifier in worker.starts
        ]
        return [(start[0], int(start[1])) for start in starts]
