"""Tests of requests about tickets that other runs have issued."""

from __future__ import annotations

from typing import Any

import pytest

from jackdawridge.submission.interface import Reply
from jackdawridge.submission.relay import TicketRequest
from jackdawridge.wire.open_calls import RELINK_TIME
from tests.test_submission.world import FakeLink, World

OK = 200
GONE = 410
UNAVAILABLE = 503


class FakeEntries:
    """Knows of one incarnation that has ended."""

    def __init__(self, gone: str = '') -> None:
        self.gone = gone

    def is_gone(self, address: str, incarnation: str) -> bool:
        return incarnation == self.gone


def ask(world: World, address: str, incarnation: str) -> Reply:
    component: Any = world.entries[0].application.components[0]
    component.relay.entries = FakeEntries('run-gone')
    tickets = component.interface.register.format
    text = tickets.write(address, incarnation, 1)
    replies: list[Reply] = []
    asked = component.relay.ask(TicketRequest('GET', text, 0, b''))
    asked.addCallback(replies.append)
    return replies[0]


class TestIssuer:
    @pytest.mark.parametrize(
        ('address', 'incarnation', 'status'),
        [
            ('127.0.0.1:2', 'run-gone', GONE),
            ('127.0.0.1:2', 'run-cut-off', UNAVAILABLE),
            # The address of the entry that gets the request, so that it is the
            # successor of the issuer.
            ('127.0.0.1:1', 'run-before', GONE),
        ],
    )
    def test_reply_for_an_unlinked_issuer(
        self, address: str, incarnation: str, status: int
    ) -> None:
        reply = ask(World(), address, incarnation)
        assert (reply.status, reply.outcome) == (status, 'unknown')
        assert bool(reply.retry_after) is (status == UNAVAILABLE)


class TestReplacedLink:
    """Requests that are open while the link to the issuer is replaced.

    Two entries that dial each other at the same time keep one of two links.
    """

    def link(self, world: World) -> FakeLink:
        link = FakeLink(*world.entries)
        world.links.append(link)
        return link

    def ask(self, world: World) -> list[Reply]:
        issuer, other = world.entries
        ticket = world.register(0).issue()
        body = b'{"team": "payroll", "tasks": [{"payload": "{}"}]}'
        relay: Any = other.application.components[0]
        replies: list[Reply] = []
        asked = relay.relay.ask(TicketRequest('PUT', ticket, 30, body))
        asked.addCallback(replies.append)
        return replies

    def test_replaced_link_loses_no_reply(self) -> None:
        world = World()
        first = self.link(world)
        replies = self.ask(world)
        world.settle()
        assert not replies
        first.cut(0)
        self.link(world)
        world.settle()
        for worker in world.workers:
            for identifier in tuple(worker.tasks):
                worker.end(identifier, 'succeeded')
        world.settle()
        assert [reply.status for reply in replies] == [OK]

    def test_issuer_that_does_not_link_again_is_unreachable(self) -> None:
        world = World()
        first = self.link(world)
        replies = self.ask(world)
        first.cut(0)
        world.settle()
        assert not replies
        world.advance(RELINK_TIME)
        assert [reply.status for reply in replies] == [UNAVAILABLE]
