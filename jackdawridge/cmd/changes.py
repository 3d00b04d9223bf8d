"""Publishing of changes and waiting for sides, from the command line."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from jackdawridge.cmd.exits import Exit
from jackdawridge.cmd.operator import Operator, pause

if TYPE_CHECKING:
    from collections.abc import Mapping

CHANGES = '/v1/configuration/changes'
CONFIRMATIONS = '/v1/configuration/confirmations'

#: Time between two questions about sides, in seconds.
POLL = 0.2

_EXITS = {  # noqa: WPS407
    'accepted': Exit.ok,
    'valid': Exit.ok,
    'conflict': Exit.conflict,
    'invalid': Exit.invalid,
    'unknown': Exit.unknown,
    'refused': Exit.unknown,
}


def exit_of(answer: Mapping[str, Any]) -> Exit:
    """Return the exit code for what became of a change.

    :param answer: of an entry.
    """
    return _EXITS.get(str(answer.get('status')), Exit.failed)


def describe(subject: str, answer: Mapping[str, Any]) -> str:
    """Return what became of a change as one line.

    :param subject: what was changed.
    :param answer: of an entry.
    """
    line = f'{subject}: {answer.get("status")}'
    if answer.get('version'):
        line = f'{line}, version {answer["version"]}'
    if answer.get('change_id'):
        line = f'{line}, change id {answer["change_id"]}'
    reason = answer.get('reason')
    return f'{line}: {reason}' if reason else line


async def await_verdict(
    operator: Operator, change_id: str, timeout: float
) -> Any:
    """Ask what became of a change until it is known or time is up.

    :param operator: asks an entry.
    :param change_id: of the change.
    :param timeout: in seconds.
    """
    deadline = time.monotonic() + timeout
    while True:
        answer = await operator.ask('GET', f'{CHANGES}/{change_id}')
        document = answer.document
        if document.get('status') != 'unknown':
            return document
        if time.monotonic() > deadline:
            return document
        await pause(POLL)


async def await_sides(
    operator: Operator, failure_domain: str, position: int, timeout: float
) -> Any:
    """Ask which sides have confirmed until all have or time is up.

    :param operator: asks an entry.
    :param failure_domain: whose sides are meant, empty for all.
    :param position: to confirm.
    :param timeout: in seconds.
    """
    deadline = time.monotonic() + timeout
    query = {'failure_domain': failure_domain, 'position': position}
    while True:
        answer = await operator.ask('GET', CONFIRMATIONS, query)
        document = answer.document
        if not document['missing'] or time.monotonic() > deadline:
            return document
        await pause(POLL)


def report_sides(known: Mapping[str, Any]) -> Exit:
    """Print which sides have confirmed and return the exit code.

    :param known: the answer of `await_sides`.
    """
    count = len(known['confirmed'])
    if not known['missing']:
        print(f'in force at all {count} known sides')
        return Exit.ok
    names = ', '.join(known['missing'])
    print(f'in force at {count} sides; not confirmed by: {names}')
    return Exit.unknown
