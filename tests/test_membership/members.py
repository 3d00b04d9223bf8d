"""Member records for tests."""

from __future__ import annotations

from typing import Any

from jackdawridge.membership.messages import Member, State


def make_member(node: str, incarnation: str = 'a', **changes: Any) -> Member:
    member = Member(
        node=node,
        generation=1,
        incarnation=incarnation,
        version=0,
        state=int(State.alive),
        leaving=False,
        role='entry',
        failure_domain='soweto',
        address=f'127.0.0.1:{node[1:]}',
        service='',
    )
    return member._replace(**changes)


def make_entries(count: int, domains: int = 4) -> list[Member]:
    return [
        make_member(f'e{number}', failure_domain=f'd{number % domains}')
        for number in range(count)
    ]
