"""Tests of entries and sides together under loss, delay and restarts."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from jackdawridge.forwarding import entry_effects, messages, side_effects
from jackdawridge.forwarding.budget import INITIAL_REPEATS, REPEAT_FRACTION
from jackdawridge.forwarding.exchange import Call
from jackdawridge.forwarding.gate import RETENTION_TIME, Gate
from jackdawridge.forwarding.identity import EntryId, RequestKey, SideId
from jackdawridge.forwarding.links import Links, SideInfo
from jackdawridge.forwarding.replies import Replies
from jackdawridge.forwarding.router import Router
from jackdawridge.forwarding.table import Limits, RequestTable

SIDES = 3
ENTRY = EntryId('entry', 'first')


class Side:
    """A side with its minion and its link to the entry."""

    def __init__(self, node: int, generation: int) -> None:
        self.id = SideId(f'side-{node}', str(generation))
        self.gate = Gate(2, 1)
        self.linked = False
        self.inward: list[Any] = []
        self.outward: list[Any] = []
        #: Everything that was ever sent to the side.
        self.sent: list[Any] = []
        self.working: dict[RequestKey, messages.Request] = {}


class World:
    """One entry and some sides, with messages that wait to be delivered."""

    def __init__(self) -> None:
        self.now: float = 0
        self.table = RequestTable('zone', Limits(waiting=4))
        self.router = Router(self.table)
        self.replies = Replies(self.router)
        self.links = Links(self.replies)
        self.generations = 0
        self.sides = [self.make_side(node) for node in range(SIDES)]
        self.calls: dict[int, Call] = {}
        self.runs: Counter[str] = Counter()
        self.answers: dict[int, list[Any]] = defaultdict(list)
        for side in self.sides:
            self.join(side)

    def make_side(self, node: int) -> Side:
        self.generations += 1
        return Side(node, self.generations)

    def submit(self, method: str) -> None:
        number = len(self.calls) + 1
        call = Call(
            request_id=f'request-{number}',
            service='ledger',
            team=f'team-{number % 2}',
            method=method,
            path=f'/{number}',
            headers=(),
            body=b'',
            repeatable=method == 'GET',
            hedging=True,
            deadline=self.now + 5,
        )
        self.calls[number] = call
        assert self.router.admit(call, self.now) == number
        self.perform()

    def join(self, side: Side) -> None:
        if not side.linked:
            side.linked = True
            info = SideInfo(side.id, 'ledger', 'zone', 2)
            self.links.side_joined(info, self.now)
            self.perform()

    def cut(self, side: Side) -> None:
        side.inward.clear()
        side.outward.clear()
        if side.linked:
            side.linked = False
            self.links.side_left(side.id, self.now)
            self.perform()

    def replace(self, node: int) -> None:
        self.cut(self.sides[node])
        self.sides[node] = self.make_side(node)
        self.join(self.sides[node])

    def perform(self) -> None:
        while self.table.outbox:
            self.perform_effect(self.table.outbox.pop(0))

    def perform_effect(self, effect: entry_effects.EntryEffect) -> None:
        if isinstance(effect, entry_effects.Transmit):
            self.transmit(effect)
        elif isinstance(effect, entry_effects.GiveUp):
            self.answers[effect.key].append(effect)
            if effect.outcome is entry_effects.Outcome.not_run:
                assert not self.runs[self.calls[effect.key].request_id]
        elif isinstance(effect, entry_effects.Respond):
            self.answers[effect.key].append(effect)
            request_id = self.calls[effect.key].request_id
            assert effect.response.body == request_id.encode()

    def transmit(self, effect: entry_effects.Transmit) -> None:
        for side in self.sides:
            if side.id == effect.side and side.linked:
                side.inward.append(effect.message)
                side.sent.append(effect.message)
                return
        if effect.number:
            self.replies.handle_unsent(effect.number, self.now)

    def deliver_inward(self, side: Side, place: int) -> None:
        if side.inward:
            message = side.inward.pop(place % len(side.inward))
            self.receive(side, message)

    def deliver_late(self, side: Side, place: int) -> None:
        if side.sent:
            self.receive(side, side.sent[-1 - place % len(side.sent)])

    def receive(self, side: Side, message: Any) -> None:
        if isinstance(message, messages.Request):
            side.gate.receive(ENTRY, message, self.now)
        elif isinstance(message, messages.CancelRequests):
            side.gate.cancel(ENTRY, message.numbers, self.now)
        else:
            side.gate.resolve(ENTRY, message.numbers, self.now)
        self.perform_side(side)

    def perform_side(self, side: Side) -> None:
        load = side.gate.load()
        while side.gate.outbox:
            effect = side.gate.outbox.pop(0)
            if isinstance(effect, side_effects.Run):
                self.runs[effect.request.path.replace('/', 'request-')] += 1
                side.working[effect.key] = effect.request
            elif isinstance(effect, side_effects.Stop):
                self.finish(side, effect.key, answered=False)
            else:
                self.reply(side, _reply_of(effect, load))

    def reply(self, side: Side, message: Any) -> None:
        if side.linked:
            side.outward.append(message)

    def finish(self, side: Side, key: RequestKey, *, answered: bool) -> None:
        request = side.working.pop(key)
        load = side.gate.load()
        body = request.path.replace('/', 'request-').encode()
        response = messages.Response(key.number, 200, (), body, True, load)
        side.gate.request_finished(
            key, response if answered else None, self.now
        )
        lost = messages.RequestLost(key.number, 'lost', load)
        self.reply(side, response if answered else lost)
        self.perform_side(side)

    def work(self, side: Side, place: int, *, answered: bool) -> None:
        keys = list(side.working)
        if keys:
            self.finish(side, keys[place % len(keys)], answered=answered)

    def refuse_connection(self, side: Side, place: int) -> None:
        keys = list(side.working)
        if keys:
            key = keys[place % len(keys)]
            request = side.working.pop(key)
            self.runs[request.path.replace('/', 'request-')] -= 1
            side.gate.request_not_sent(key, 'connection refused', self.now)
            self.perform_side(side)

    def deliver_outward(self, side: Side, place: int) -> None:
        if side.outward:
            message = side.outward.pop(place % len(side.outward))
            self.receive_reply(side, message)

    def receive_reply(self, side: Side, message: Any) -> None:
        if isinstance(message, messages.Response):
            self.replies.handle_response(message, self.now)
        elif isinstance(message, messages.RequestRefused):
            self.replies.handle_refused(message, self.now)
        elif isinstance(message, messages.RequestLost):
            self.replies.handle_lost(message, self.now)
        else:
            self.links.handle_resolved(side.id, message, self.now)
        self.perform()

    def advance(self, seconds: float) -> None:
        self.now += seconds
        if self.router.tick(self.now):
            self.links.expire_unresolved(self.now)
        self.perform()
        for side in self.sides:
            side.gate.tick(self.now)
            self.perform_side(side)

    def settle(self) -> None:
        for _ in range(200):
            self.advance(0.1)
            for side in self.sides:
                self.join(side)
                self.deliver_inward(side, 0)
                self.work(side, 0, answered=True)
                self.deliver_outward(side, 0)

    def act(self, action: str, node: int, place: int) -> None:
        side = self.sides[node]
        actions: dict[str, Any] = {
            'get': lambda: self.submit('GET'),
            'post': lambda: self.submit('POST'),
            'in': lambda: self.deliver_inward(side, 0),
            'out': lambda: self.deliver_outward(side, 0),
            'answer': lambda: self.work(side, place, answered=True),
            'lose': lambda: self.work(side, place, answered=False),
            'unsent': lambda: self.refuse_connection(side, place),
            'cut': lambda: self.cut(side),
            'join': lambda: self.join(side),
            'replace': lambda: self.replace(node),
            'wait': lambda: self.advance(place / 4),
            'drain': lambda: self.update_availability(side, 'draining'),
            'resume': lambda: self.update_availability(side, ''),
            'swap in': lambda: self.deliver_inward(side, place),
            'swap out': lambda: self.deliver_outward(side, place),
            'double in': lambda: side.inward.extend(side.inward[:1]),
            'late in': lambda: self.deliver_late(side, place),
            'sleep': lambda: self.advance(RETENTION_TIME),
            'double out': lambda: side.outward.extend(side.outward[:1]),
        }
        actions[action]()

    def update_availability(self, side: Side, reason: str) -> None:
        side.gate.update_availability(reason, self.now)
        self.perform_side(side)


def _reply_of(effect: Any, load: messages.Load) -> Any:
    if isinstance(effect, side_effects.Refuse):
        return messages.RequestRefused(
            effect.key.number, effect.reason, effect.retry_after, load
        )
    if isinstance(effect, side_effects.ReportLost):
        return messages.RequestLost(effect.key.number, effect.reason, load)
    if isinstance(effect, side_effects.ResendResponse):
        return effect.response
    return messages.RequestsResolved(effect.running, effect.fenced, effect.lost)


ORDERLY = (
    *('get', 'post', 'in', 'out', 'answer') * 3,
    *('lose', 'unsent', 'cut', 'join', 'replace', 'wait', 'drain', 'resume'),
    'sleep',
)
DISORDERLY = ('swap in', 'swap out', 'double in', 'double out', 'late in')


def steps(actions: tuple[str, ...]) -> st.SearchStrategy[Any]:
    step = st.tuples(
        st.sampled_from(actions),
        st.integers(0, SIDES - 1),
        st.integers(0, 7),
    )
    return st.lists(step, max_size=80)


def run(plan: list[tuple[str, int, int]]) -> World:
    world = World()
    for action, node, place in plan:
        world.act(action, node, place)
    world.settle()
    return world


def check(world: World) -> None:
    for key, call in world.calls.items():
        answers = world.answers[key]
        assert len(answers) == 1, (call, answers)
        runs = world.runs[call.request_id]
        answer = answers[0]
        if not call.repeatable:
            assert runs <= 1
        if isinstance(answer, entry_effects.GiveUp):
            if answer.outcome is entry_effects.Outcome.not_run:
                assert runs == 0
        else:
            assert runs >= 1
    repeats = sum(max(runs - 1, 0) for runs in world.runs.values())
    assert repeats <= INITIAL_REPEATS + REPEAT_FRACTION * len(world.calls)
    assert not world.table.exchanges
    assert not world.table.attempts
    assert not world.table.teams


class TestInterleavings:
    @settings(max_examples=300)
    @given(steps(ORDERLY))
    def test_promises_hold_under_cuts_and_restarts(self, plan: Any) -> None:
        check(run(plan))

    @settings(max_examples=300)
    @given(steps(ORDERLY + DISORDERLY))
    def test_promises_hold_under_duplicates_and_reordering(
        self, plan: Any
    ) -> None:
        check(run(plan))
