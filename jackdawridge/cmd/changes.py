"""Outcomes of configuration changes and their confirmation by the sides."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from jackdawridge.cmd.exits import Exit
from jackdawridge.cmd.process_client import ProcessClient, pause

if TYPE_CHECKING:
    from collections.abc import Mapping

CHANGES_PATH = '/v1/configuration/changes'
CONFIRMATIONS_PATH = '/v1/configuration/confirmations'

#: Interval at which an entry is polled, in seconds.
POLL_INTERVAL = 0.2

_EXIT_CODES = {  # noqa: WPS407
    'accepted': Exit.ok,
    'valid': Exit.ok,
    'conflict': Exit.conflict,
    'invalid': Exit.invalid,
    'unknown': Exit.unknown,
    'refused': Exit.unknown,
}


def exit_code(outcome: Mapping[str, Any]) -> Exit:
    """Return the exit code for the outcome of a change.

    :param outcome: the answer of the entry, with the status of the change.
    """
    return _EXIT_CODES.get(str(outcome.get('status')), Exit.failed)


def format_outcome(subject: str, outcome: Mapping[str, Any]) -> str:
    """Return the outcome of a change as one line of text.

    :param subject: names the changed record or the action.
    :param outcome: the answer of the entry, with the status of the change.
    """
    line = f'{subject}: {outcome.get("status")}'
    if outcome.get('version'):
        line = f'{line}, version {outcome["version"]}'
    if outcome.get('change_id'):
        line = f'{line}, change id {outcome["change_id"]}'
    reason = outcome.get('reason')
    return f'{line}: {reason}' if reason else line


async def await_verdict(
    client: ProcessClient, change_id: str, timeout: float
) -> Any:
    """Poll an entry until the verdict on a change is known.

    Return the last answer, whose status is still `unknown` if the timeout has
    expired.

    :param client: the client of the entry.
    :param change_id: the id of the change.
    :param timeout: the longest time to wait, in seconds.
    """
    deadline = time.monotonic() + timeout
    while True:
        answer = await client.request('GET', f'{CHANGES_PATH}/{change_id}')
        document = answer.document
        if document.get('status') != 'unknown':
            return document
        if time.monotonic() > deadline:
            return document
        await pause(POLL_INTERVAL)


async def await_confirmations(
    client: ProcessClient, failure_domain: str, position: int, timeout: float
) -> Any:
    """Poll an entry until all sides have confirmed a configuration.

    Return the last answer, which still names the missing sides if the timeout
    has expired.

    :param client: the client of the entry.
    :param failure_domain: the failure domain of the sides, empty for all.
    :param position: the position in the log that the sides must confirm.
    :param timeout: the longest time to wait, in seconds.
    """
    deadline = time.monotonic() + timeout
    query = {'failure_domain': failure_domain, 'position': position}
    while True:
        answer = await client.request('GET', CONFIRMATIONS_PATH, query)
        document = answer.document
        if not document['missing'] or time.monotonic() > deadline:
            return document
        await pause(POLL_INTERVAL)


def print_confirmations(confirmations: Mapping[str, Any]) -> Exit:
    """Print which sides have confirmed and return the exit code.

    :param confirmations: the answer that `await_confirmations` returned.
    """
    count = len(confirmations['confirmed'])
    if not confirmations['missing']:
        print(f'in force at all {count} known sides')
        return Exit.ok
    names = ', '.join(confirmations['missing'])
    print(f'in force at {count} sides; not confirmed by: {names}')
    return Exit.unknown
