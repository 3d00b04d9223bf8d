"""Entries and sides in memory, each with a clock of its own."""

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

STEP = 0.05
LOG_LATENCY = 0.004
ROOM = Room(1, 1, 0, 0)


class FakePeer:
    """The far end of a link, as one node sees it."""

    def __init__(self, world: World, near: Node, far: Node) -> None:
        self.world = world
        self.near = near
        self.far = far
        self.introduction = far.introduction
        self.name = far.name
        #: What the far node calls this node.
        self.back: FakePeer = self

    def send(self, message: Any) -> bool:
        if not self.world.is_cut(self.near.name, self.far.name):
            self.far.inbox.append((self.back, message))
        return True


class Node:
    """One process."""

    def __init__(self, world: World, name: str, domain: str) -> None:
        role = 'entry' if name.startswith('entry') else 'side'
        self.world = world
        self.name = name
        self.clock = Clock()
        self.clock.rightNow = world.now
        self.paused = False
        self.inbox: deque[tuple[FakePeer, Any]] = deque()
        self.peers: dict[str, FakePeer] = {}
        settings = {
            'node': name,
            'failure_domain': domain,
            'peer_address': name,
            'entries': ['entry-0', 'entry-1', 'entry-2'],
            'freshness': 2.5,
            'log_poll': world.log_poll,
            'snapshot_interval': 20.0,
        }
        clock: Any = self.clock
        self.application = Application(Settings(role, settings), clock, name)
        self.introduction = Introduction(
            role, name, name, domain, '', '', 1, 1, 0, 1
        )
        self.build()

    def build(self) -> None:
        """Make the parts of the role."""

    @property
    def parts(self) -> EntryConfiguration | SideConfiguration:
        """Return the configuration of the role."""
        raise NotImplementedError

    def run(self) -> None:
        """Take messages and let time pass, unless paused."""
        if self.paused:
            return
        while self.inbox:
            peer, message = self.inbox.popleft()
            sender: Any = peer
            if self.peers.get(peer.name) is peer:
                self.application.dispatch(sender, message)
        self.clock.advance(max(0, self.world.now - self.clock.seconds()))


class EntryNode(Node):
    def build(self) -> None:
        self.entry = EntryConfiguration(
            self.application, NodeLog(self.world, self)
        )
        self.application.on_message(Heartbeat, self.heartbeat_received)
        self.entry.start()

    @property
    def parts(self) -> EntryConfiguration:
        return self.entry

    def heartbeat_received(self, peer: Any, heartbeat: Heartbeat) -> None:
        peer.send(
            HeartbeatReply(
                heartbeat.window, 0, self.entry.position, self.entry.age()
            )
        )


class SideNode(Node):
    def build(self) -> None:
        self.side = SideConfiguration(self.application)
        self.window = 0
        self.application.on_message(HeartbeatReply, self.reply_received)
        self.beat()

    @property
    def parts(self) -> SideConfiguration:
        return self.side

    def refusal(self) -> str:
        return self.side.refusal(self.clock.seconds())

    def reply_received(self, _: Any, reply: HeartbeatReply) -> None:
        self.side.heartbeat_answered(reply.window, reply.position, reply.age)

    def beat(self) -> None:
        self.window += 1
        self.side.heartbeat_sent(self.window)
        for peer in self.peers.values():
            peer.send(
                Heartbeat(self.window, 0, ROOM, False, self.side.position)
            )
        self.clock.callLater(1, self.beat)


class Removal(NamedTuple):
    """A record that took a failure domain out, or back in."""

    at: float
    failure_domain: str
    in_service: bool


class NodeLog:
    """The log service as one entry reaches it."""

    def __init__(self, world: World, node: Node) -> None:
        self.world = world
        self.node = node

    async def pause(self, delay: float) -> None:
        done: Deferred[None] = Deferred()
        self.node.clock.callLater(delay, done.callback, None)
        await done

    async def is_away(self, timeout: float) -> bool:
        """Wait as long as the fault makes the caller wait."""
        await self.pause(LOG_LATENCY)
        if self.node.name in self.world.cut_from_log:
            await self.pause(timeout)
            return True
        return self.world.log_down

    async def append(
        self, document: object, timeout: float
    ) -> Result[int, str]:
        if await self.is_away(timeout):
            return Err('no answer')
        offset = self.world.append(document)
        if self.world.lose_answers:
            return Err('answer lost')
        return Ok(offset)

    async def read(
        self, start: int, wait: float, timeout: float
    ) -> Result[Page, str]:
        if await self.is_away(timeout):
            return Err('no answer')
        waited = float(0)
        while waited < wait and self.world.log.head <= start:
            await self.pause(STEP)
            waited += STEP
        if self.world.log_down or self.node.name in self.world.cut_from_log:
            return Err('no answer')
        return Ok(self.world.log.read(start))


class World:
    """All nodes, the log and the faults."""

    def __init__(
        self, entries: int = 3, sides: int = 2, log_poll: float = 0.3
    ) -> None:
        self.log_poll = log_poll
        self.now = 1000.0
        self.log = FakeLog()
        self.truth: State = EMPTY_STATE
        self.removals: list[Removal] = []
        self.log_down = False
        self.lose_answers = False
        self.cut_from_log: set[str] = set()
        self.cut: set[frozenset[str]] = set()
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

    def is_cut(self, one: str, other: str) -> bool:
        return frozenset((one, other)) in self.cut

    def add(self, node: Node) -> None:
        """Start a node, linked to all entries."""
        self.nodes[node.name] = node
        for other in tuple(self.nodes.values()):
            if other is not node and 'entry' in node.name + other.name:
                self.link(node, other)

    def link(self, one: Node, other: Node) -> None:
        if self.is_cut(one.name, other.name):
            return
        near = FakePeer(self, one, other)
        far = FakePeer(self, other, one)
        near.back = far
        far.back = near
        one.peers[other.name] = near
        other.peers[one.name] = far
        one.application.events.emit('peer_joined', near)
        other.application.events.emit('peer_joined', far)

    def unlink(self, one: Node, other: Node) -> None:
        for near, far in ((one, other), (other, one)):
            peer = near.peers.pop(far.name, None)
            if peer is not None:
                near.application.events.emit('peer_left', peer)

    def kill(self, name: str) -> None:
        node = self.nodes.pop(name)
        for other in tuple(self.nodes.values()):
            self.unlink(node, other)

    def cut_link(self, one: str, other: str) -> None:
        """Lose all that is sent between two nodes from now on."""
        self.cut.add(frozenset((one, other)))

    def isolate(self, name: str) -> None:
        """Cut a node off from everything."""
        self.cut_from_log.add(name)
        for other in self.nodes:
            if other != name:
                self.cut_link(name, other)

    def heal(self) -> None:
        """End all faults; nodes whose link was cut link again."""
        self.log_down = False
        self.lose_answers = False
        self.cut_from_log.clear()
        pairs = list(self.cut)
        self.cut.clear()
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
        before = self.truth
        self.truth = fold(before, body)
        for key, versions in self.truth.records.items():
            if versions is not before.records.get(key):
                self.note(key, versions[-1].value)
        return offset

    def note(self, key: Key, value: object) -> None:
        if key.kind == 'failure_domain':
            in_service = read_in_service(value)
            self.removals.append(Removal(self.now, key.name, in_service))

    def run(self, seconds: float) -> None:
        """Let time pass, and check each side at each step."""
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            for node in tuple(self.nodes.values()):
                node.run()
            for side in self.sides:
                self.check(side)

    def check(self, node: SideNode) -> None:
        """Raise if a side would start what it must not."""
        if node.paused or node.refusal():
            return
        own = node.side.failure_domain
        last = [each for each in self.removals if each.failure_domain == own]
        if last and not last[-1].in_service:
            assert self.now - last[-1].at <= 3, (
                f'{node.name} starts {self.now - last[-1].at:.2f} s after'
                ' the log took the removal of its failure domain'
            )

    def publish(
        self, entry: str, key: Key, value: Any, change_id: str = ''
    ) -> Deferred[Any]:
        """Publish a change through an entry that read the last version."""
        node = self.nodes[entry]
        assert isinstance(node, EntryNode)
        expected = node.entry.configuration.state.version(key)
        change_id = change_id or f'{entry}-{self.now:.3f}-{self.log.head}'
        change = Change(key, expected, change_id, value)
        return Deferred.fromCoroutine(node.entry.publisher.publish(change, 5))

    def set_domain(
        self, entry: str, domain: str, in_service: bool
    ) -> Deferred[Any]:
        key = Key('failure_domain', domain)
        return self.publish(entry, key, {'in_service': in_service})

    def fresh(self) -> list[bool]:
        """Return for each side whether it would start work."""
        return [not node.refusal() for node in self.sides]


def encode(document: object) -> bytes:
    return msgspec.json.encode(document)
