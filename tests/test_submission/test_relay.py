"""Tests of tickets that other runs have issued."""

from __future__ import annotations

from typing import Any

import pytest

from jackdawridge.submission.interface import Reply
from jackdawridge.submission.relay import Question
from tests.test_submission.world import World

GONE = 410
UNAVAILABLE = 503


class FakeEntries:
    """Knows that some incarnations have ended."""

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
    asked = component.relay.ask(Question('GET', text, 0, b''))
    asked.addCallback(replies.append)
    return replies[0]


class TestIssuer:
    @pytest.mark.parametrize(
        ('address', 'incarnation', 'status'),
        [
            ('127.0.0.1:2', 'run-gone', GONE),
            ('127.0.0.1:2', 'run-cut-off', UNAVAILABLE),
            # The address of the entry that is asked: it is the successor.
            ('127.0.0.1:1', 'run-before', GONE),
        ],
    )
    def test_absent_issuer_is_gone_or_asked_again(
        self, address: str, incarnation: str, status: int
    ) -> None:
        reply = ask(World(), address, incarnation)
        assert (reply.status, reply.outcome) == (status, 'unknown')
        assert bool(reply.retry_after) is (status == UNAVAILABLE)
