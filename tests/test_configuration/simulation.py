"""In-memory simulation of entries and sides, each with its own clock."""

from __future__ import annotations

from collections import deque
from typing import Any, NamedTuple

import msgspec
from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from jackdawridge.application import Application
from jackdawridge.config import Settings
from jackdawridge.configuration.entry import EntryConfiguration
from jackdawridge.configuration.records import Change, Key
from jackdawridge.configuration.replay import Page
from jackdawridge.configuration.side import SideConfiguration
from jackdawridge.configuration.state import EMPTY_STATE, State, fold
from jackdawridge.configuration.values import read_in_service
from jackdawridge.execution.messages import Heartbeat, HeartbeatReply, Room
from jackdawridge.membership.messages import Introduction
from tests.test_configuration.fake_log import FakeLog

STEP_TIME = 0.05
LOG_LATENCY = 0.004
ROOM = Room(1, 1, 0, 0)


class FakePeer:
    """The remote end of a link as seen by one node."""

    def __init__(self, cluster: Cluster, local: Node, remote: Node) -> None:
        self.cluster = cluster
        self.local = local
        self.remote = remote
        self.introduction = remote.introduction
        self.name = remote.name
        #: The end of the same link as seen by the remote node.
        self.reverse: FakePeer = self

    def send(self, message: Any) -> bool:
        if not self.cluster.is_blocked(self.local.name, self.remote.name):
            self.remote.inbox.append((self.reverse, message))
        return True


class Node:
    """A simulated process."""

    def __init__(self, cluster: Cluster, name: str, domain: str) -> None:
        role = 'entry' if name.startswith('entry') else 'side'
        self.cluster = cluster
        self.name = name
        self.clock = Clock()
        self.clock.rightNow = cluster.now
        self.paused = False
        self.inbox: deque[tuple[FakePeer, Any]] = deque()
        self.peers: dict[str, FakePeer] = {}
        settings = {
            'node': name,
            'failure_domain': domain,
            'peer_address': name,
            'entries': ['entry-0', 'entry-1', 'entry-2'],
            'freshness': 2.5,
            'log_poll': cluster.log_poll,
            'snapshot_interval': 20.0,
        }
        clock: Any = self.clock
        self.application = Application(Settings(role, settings), clock, name)
        self.introduction = Introduction(
            role, name, name, domain, '', '', 1, 1, 0, 1
        )
        self.create_component()

    def create_component(self) -> None:
        """Create the configuration component of the role."""

    @property
    def component(self) -> EntryConfiguration | SideConfiguration:
        """Return the configuration component of the role."""
        raise NotImplementedError

    def advance(self) -> None:
        """Handle the received messages and advance the clock, unless paused."""
        if self.paused:
            return
        while self.inbox:
            peer, message = self.inbox.popleft()
            sender: Any = peer
            if self.peers.get(peer.name) is peer:
                self.application.dispatch(sender, message)
        self.clock.advance(max(0, self.cluster.now - self.clock.seconds()))


class EntryNode(Node):
    def create_component(self) -> None:
        self.entry = EntryConfiguration(
            self.application, LogAccess(self.cluster, self)
        )
        self.application.on_message(Heartbeat, self.handle_heartbeat)
        self.entry.start()

    @property
    def component(self) -> EntryConfiguration:
        return self.entry

    def handle_heartbeat(self, peer: Any, heartbeat: Heartbeat) -> None:
        peer.send(
            HeartbeatReply(
                heartbeat.window, 0, self.entry.position, self.entry.age()
            )
        )


class SideNode(Node):
    def create_component(self) -> None:
        self.side = SideConfiguration(self.application)
        self.window = 0
        self.application.on_message(HeartbeatReply, self.handle_heartbeat_reply)
        self.send_heartbeat()

    @property
    def component(self) -> SideConfiguration:
        return self.side

    def refusal(self) -> str:
        return self.side.refusal(self.clock.seconds())

    def handle_heartbeat_reply(self, _: Any, reply: HeartbeatReply) -> None:
        self.side.heartbeat_answered(reply.window, reply.position, reply.age)

    def send_heartbeat(self) -> None:
        self.window += 1
        self.side.heartbeat_sent(self.window)
        for peer in self.peers.values():
            peer.send(
                Heartbeat(self.window, 0, ROOM, False, self.side.position)
            )
        self.clock.callLater(1, self.send_heartbeat)


class ServiceChange(NamedTuple):
    """A committed change of whether a failure domain is in service."""

    committed_at: float
    failure_domain: str
    in_service: bool


class LogAccess:
    """The log service as one entry reaches it."""

    def __init__(self, cluster: Cluster, node: Node) -> None:
        self.cluster = cluster
        self.node = node

    async def sleep(self, delay: float) -> None:
        timer_fired: Deferred[None] = Deferred()
        self.node.clock.callLater(delay, timer_fired.callback, None)
        await timer_fired

    async def is_unreachable(self, timeout: float) -> bool:
        """Return whether the log fails, after the delay caused by the fault."""
        await self.sleep(LOG_LATENCY)
        if self.node.name in self.cluster.nodes_without_log:
            await self.sleep(timeout)
            return True
        return self.cluster.log_down

    async def append(
        self, document: object, timeout: float
    ) -> Result[int, str]:
        if await self.is_unreachable(timeout):
            return Err('no answer')
        offset = self.cluster.append(document)
        if self.cluster.drop_append_replies:
            return Err('answer lost')
        return Ok(offset)

    async def read(
        self, start: int, wait: float, timeout: float
    ) -> Result[Page, str]:
        if await self.is_unreachable(timeout):
            return Err('no answer')
        waited_time = float(0)
        while waited_time < wait and self.cluster.log.head <= start:
            await self.sleep(STEP_TIME)
            waited_time += STEP_TIME
        if (
            self.cluster.log_down
            or self.node.name in self.cluster.nodes_without_log
        ):
            return Err('no answer')
        return Ok(self.cluster.log.read(start))


class Cluster:
    """All nodes, the log and the injected faults."""

    def __init__(
        self, entries: int = 3, sides: int = 2, log_poll: float = 0.3
    ) -> None:
        self.log_poll = log_poll
        self.now = 1000.0
        self.log = FakeLog()
        self.reference_state: State = EMPTY_STATE
        self.service_changes: list[ServiceChange] = []
        self.log_down = False
        self.drop_append_replies = False
        self.nodes_without_log: set[str] = set()
        self.blocked_links: set[frozenset[str]] = set()
        self.nodes: dict[str, Node] = {}
        for number in range(entries):
            self.add(EntryNode(self, f'entry-{number}', f'domain-{number}'))
        for number in range(sides):
            self.add(SideNode(self, f'side-{number}', f'domain-{number}'))

    @property
    def entries(self) -> list[EntryNode]:
        return [
            node for node in self.nodes.values() if isinstance(node, EntryNode)
        ]

    @property
    def sides(self) -> list[SideNode]:
        return [
            node for node in self.nodes.values() if isinstance(node, SideNode)
        ]

    def is_blocked(self, one: str, other: str) -> bool:
        return frozenset((one, other)) in self.blocked_links

    def add(self, node: Node) -> None:
        """Start a node and link it; two sides are never linked."""
        self.nodes[node.name] = node
        for other in tuple(self.nodes.values()):
            if other is not node and 'entry' in node.name + other.name:
                self.link(node, other)

    def link(self, one: Node, other: Node) -> None:
        if self.is_blocked(one.name, other.name):
            return
        local = FakePeer(self, one, other)
        remote = FakePeer(self, other, one)
        local.reverse = remote
        remote.reverse = local
        one.peers[other.name] = local
        other.peers[one.name] = remote
        one.application.events.emit('peer_joined', local)
        other.application.events.emit('peer_joined', remote)

    def unlink(self, one: Node, other: Node) -> None:
        for local, remote in ((one, other), (other, one)):
            peer = local.peers.pop(remote.name, None)
            if peer is not None:
                local.application.events.emit('peer_left', peer)

    def kill(self, name: str) -> None:
        node = self.nodes.pop(name)
        for other in tuple(self.nodes.values()):
            self.unlink(node, other)

    def block_link(self, one: str, other: str) -> None:
        """Drop all messages between two nodes until `heal`."""
        self.blocked_links.add(frozenset((one, other)))

    def isolate(self, name: str) -> None:
        """Block all links of a node and its access to the log."""
        self.nodes_without_log.add(name)
        for other in self.nodes:
            if other != name:
                self.block_link(name, other)

    def heal(self) -> None:
        """End all faults and relink the nodes whose links were blocked."""
        self.log_down = False
        self.drop_append_replies = False
        self.nodes_without_log.clear()
        pairs = list(self.blocked_links)
        self.blocked_links.clear()
        for pair in pairs:
            nodes = [self.nodes[name] for name in pair if name in self.nodes]
            if len(nodes) == 2:
                self.unlink(nodes[0], nodes[1])
                self.link(nodes[0], nodes[1])
        for node in self.nodes.values():
            node.paused = False

    def append(self, document: object) -> int:
        offset = self.log.append(document)
        body = self.log.records[-1]
        before = self.reference_state
        self.reference_state = fold(before, body)
        for key, versions in self.reference_state.records.items():
            if versions is not before.records.get(key):
                self.record_service_change(key, versions[-1].value)
        return offset

    def record_service_change(self, key: Key, value: object) -> None:
        if key.kind == 'failure_domain':
            in_service = read_in_service(value)
            self.service_changes.append(
                ServiceChange(self.now, key.name, in_service)
            )

    def run(self, seconds: float) -> None:
        """Advance the time and check each side after each step."""
        for _ in range(round(seconds / STEP_TIME)):
            self.now += STEP_TIME
            for node in tuple(self.nodes.values()):
                node.advance()
            for side in self.sides:
                self.assert_no_late_start(side)

    def assert_no_late_start(self, node: SideNode) -> None:
        """Fail if a side could start tasks 3 s after its domain was removed."""
        if node.paused or node.refusal():
            return
        failure_domain = node.side.failure_domain
        changes = [
            change
            for change in self.service_changes
            if change.failure_domain == failure_domain
        ]
        if changes and not changes[-1].in_service:
            assert self.now - changes[-1].committed_at <= 3, (
                f'{node.name} could start a task'
                f' {self.now - changes[-1].committed_at:.2f} s after the log'
                ' accepted the removal of its failure domain'
            )

    def publish(
        self, entry: str, key: Key, value: Any, change_id: str = ''
    ) -> Deferred[Any]:
        """Publish a change through an entry, expecting the version it knows."""
        node = self.nodes[entry]
        assert isinstance(node, EntryNode)
        expected = node.entry.configuration.state.version(key)
        change_id = change_id or f'{entry}-{self.now:.3f}-{self.log.head}'
        change = Change(key, expected, change_id, value)
        return Deferred.fromCoroutine(node.entry.publisher.publish(change, 5))

    def set_in_service(
        self, entry: str, domain: str, in_service: bool
    ) -> Deferred[Any]:
        key = Key('failure_domain', domain)
        return self.publish(entry, key, {'in_service': in_service})

    def can_start(self) -> list[bool]:
        """Return for each side whether it could start a task."""
        return [not node.refusal() for node in self.sides]


def encode(document: object) -> bytes:
    return msgspec.json.encode(document)
