"""Tests of entries and sides under link loss, reordering and restarts.

They check that each request gets one answer, that a request that is not
idempotent runs at most once, that one reported as not run did not run, and
that repeats stay within their budget.
"""

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
from jackdawridge.forwarding.replies import Replies
from jackdawridge.forwarding.router import Router
from jackdawridge.forwarding.side_links import SideInfo, SideLinks
from jackdawridge.forwarding.table import Limits, RequestTable

SIDES = 3
ENTRY = EntryId('entry', 'first')


class Side:
    """Side with its minion and its link to the entry."""

    def __init__(self, node: int, generation: int) -> None:
        self.id = SideId(f'side-{node}', str(generation))
        self.gate = Gate(2, 1)
        self.linked = False
        self.to_side: list[Any] = []
        self.to_entry: list[Any] = []
        #: All messages ever sent to the side, for late duplicates.
        self.sent: list[Any] = []
        self.running: dict[RequestKey, messages.Request] = {}


class Cluster:
    """One entry and its sides, with the messages in transit between them."""

    def __init__(self) -> None:
        self.now: float = 0
        self.table = RequestTable('zone', Limits(waiting=4))
        self.router = Router(self.table)
        self.replies = Replies(self.router)
        self.links = SideLinks(self.replies)
        self.generations = 0
        self.sides = [self.make_side(node) for node in range(SIDES)]
        self.calls: dict[int, Call] = {}
        self.runs: Counter[str] = Counter()
        self.answers: dict[int, list[Any]] = defaultdict(list)
        for side in self.sides:
            self.link(side)

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

    def link(self, side: Side) -> None:
        if not side.linked:
            side.linked = True
            info = SideInfo(side.id, 'ledger', 'zone', 2)
            self.links.side_linked(info, self.now)
            self.perform()

    def unlink(self, side: Side) -> None:
        side.to_side.clear()
        side.to_entry.clear()
        if side.linked:
            side.linked = False
            self.links.side_unlinked(side.id, self.now)
            self.perform()

    def replace(self, node: int) -> None:
        self.unlink(self.sides[node])
        self.sides[node] = self.make_side(node)
        self.link(self.sides[node])

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
                side.to_side.append(effect.message)
                side.sent.append(effect.message)
                return
        if effect.number:
            self.replies.handle_unsent(effect.number, self.now)

    def deliver_to_side(self, side: Side, index: int) -> None:
        if side.to_side:
            message = side.to_side.pop(index % len(side.to_side))
            self.receive(side, message)

    def deliver_stale(self, side: Side, index: int) -> None:
        if side.sent:
            self.receive(side, side.sent[-1 - index % len(side.sent)])

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
                side.running[effect.key] = effect.request
            elif isinstance(effect, side_effects.Stop):
                self.finish(side, effect.key, answered=False)
            else:
                self.reply(side, _make_reply(effect, load))

    def reply(self, side: Side, message: Any) -> None:
        if side.linked:
            side.to_entry.append(message)

    def finish(self, side: Side, key: RequestKey, *, answered: bool) -> None:
        request = side.running.pop(key)
        load = side.gate.load()
        body = request.path.replace('/', 'request-').encode()
        response = messages.Response(key.number, 200, (), body, True, load)
        side.gate.request_finished(
            key, response if answered else None, self.now
        )
        lost = messages.RequestLost(key.number, 'lost', load)
        self.reply(side, response if answered else lost)
        self.perform_side(side)

    def finish_one(self, side: Side, index: int, *, answered: bool) -> None:
        keys = list(side.running)
        if keys:
            self.finish(side, keys[index % len(keys)], answered=answered)

    def refuse_connection(self, side: Side, index: int) -> None:
        keys = list(side.running)
        if keys:
            key = keys[index % len(keys)]
            request = side.running.pop(key)
            self.runs[request.path.replace('/', 'request-')] -= 1
            side.gate.request_not_sent(key, 'connection refused', self.now)
            self.perform_side(side)

    def deliver_to_entry(self, side: Side, index: int) -> None:
        if side.to_entry:
            message = side.to_entry.pop(index % len(side.to_entry))
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

    def run_to_completion(self) -> None:
        for _ in range(200):
            self.advance(0.1)
            for side in self.sides:
                self.link(side)
                self.deliver_to_side(side, 0)
                self.finish_one(side, 0, answered=True)
                self.deliver_to_entry(side, 0)

    def apply(self, action: str, node: int, index: int) -> None:
        side = self.sides[node]
        actions: dict[str, Any] = {
            'get': lambda: self.submit('GET'),
            'post': lambda: self.submit('POST'),
            'in': lambda: self.deliver_to_side(side, 0),
            'out': lambda: self.deliver_to_entry(side, 0),
            'answer': lambda: self.finish_one(side, index, answered=True),
            'lose': lambda: self.finish_one(side, index, answered=False),
            'unsent': lambda: self.refuse_connection(side, index),
            'cut': lambda: self.unlink(side),
            'join': lambda: self.link(side),
            'replace': lambda: self.replace(node),
            'wait': lambda: self.advance(index / 4),
            'drain': lambda: self.update_availability(side, 'draining'),
            'resume': lambda: self.update_availability(side, ''),
            'swap in': lambda: self.deliver_to_side(side, index),
            'swap out': lambda: self.deliver_to_entry(side, index),
            'double in': lambda: side.to_side.extend(side.to_side[:1]),
            'late in': lambda: self.deliver_stale(side, index),
            'sleep': lambda: self.advance(RETENTION_TIME),
            'double out': lambda: side.to_entry.extend(side.to_entry[:1]),
        }
        actions[action]()

    def update_availability(self, side: Side, reason: str) -> None:
        side.gate.update_availability(reason, self.now)
        self.perform_side(side)


def _make_reply(effect: Any, load: messages.Load) -> Any:
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


def plans(actions: tuple[str, ...]) -> st.SearchStrategy[Any]:
    step = st.tuples(
        st.sampled_from(actions),
        st.integers(0, SIDES - 1),
        st.integers(0, 7),
    )
    return st.lists(step, max_size=80)


def run_plan(plan: list[tuple[str, int, int]]) -> Cluster:
    cluster = Cluster()
    for action, node, index in plan:
        cluster.apply(action, node, index)
    cluster.run_to_completion()
    return cluster


def check_guarantees(cluster: Cluster) -> None:
    for key, call in cluster.calls.items():
        answers = cluster.answers[key]
        assert len(answers) == 1, (call, answers)
        runs = cluster.runs[call.request_id]
        answer = answers[0]
        if not call.repeatable:
            assert runs <= 1
        if isinstance(answer, entry_effects.GiveUp):
            if answer.outcome is entry_effects.Outcome.not_run:
                assert runs == 0
        else:
            assert runs >= 1
    repeats = sum(max(runs - 1, 0) for runs in cluster.runs.values())
    assert repeats <= INITIAL_REPEATS + REPEAT_FRACTION * len(cluster.calls)
    assert not cluster.table.exchanges
    assert not cluster.table.attempts
    assert not cluster.table.teams


class TestInterleavings:
    @settings(max_examples=300)
    @given(plans(ORDERLY))
    def test_guarantees_hold_under_link_loss_and_restarts(
        self, plan: Any
    ) -> None:
        check_guarantees(run_plan(plan))

    @settings(max_examples=300)
    @given(plans(ORDERLY + DISORDERLY))
    def test_guarantees_hold_under_duplicates_and_reordering(
        self, plan: Any
    ) -> None:
        check_guarantees(run_plan(plan))
