"""What the actions of the command `config` do."""

from __future__ import annotations

import difflib
import sys
import uuid
from typing import TYPE_CHECKING, Any, NotRequired, TypedDict

import msgspec

from jackdawridge.cmd.changes import (
    CHANGES,
    POLL,
    await_sides,
    await_verdict,
    describe,
    exit_of,
    report_sides,
)
from jackdawridge.cmd.exits import Exit
from jackdawridge.cmd.operator import Operator, pause
from jackdawridge.config import load_document
from jackdawridge.errors import SettingsError

if TYPE_CHECKING:
    import argparse
    from pathlib import Path

RECORDS = '/v1/configuration/records'
HISTORY = '/v1/configuration/history'
SETTLEMENTS = '/v1/configuration/settlements'

_INDENT = 2


class WantedRecord(TypedDict):
    """One record in a file."""

    kind: str
    name: str
    #: The wanted value; null to remove the record.
    value: object
    #: Version that the record must have; the current one if absent.
    expected: NotRequired[int]


class RecordFile(TypedDict):
    """A file of records."""

    records: list[WantedRecord]


def read_file(path: Path) -> list[WantedRecord] | None:
    """Return the records of a file; print what is wrong with it.

    :param path: JSON with comments.
    """
    try:
        document = msgspec.convert(load_document(path), RecordFile)
    except (SettingsError, msgspec.ValidationError) as error:
        print(f'{path}: {error}', file=sys.stderr)
        return None
    return document['records']


async def apply(arguments: argparse.Namespace) -> int:
    """Publish the records of a file that differ from what is in force.

    :param arguments: of the command line.
    """
    wanted = read_file(arguments.file)
    if wanted is None:
        return Exit.invalid
    operator = Operator(arguments.entry)
    prefix = arguments.change_id or uuid.uuid4().hex
    worst = Exit.ok
    for number, record in enumerate(wanted):
        order = {
            **record,
            'change_id': f'{prefix}-{number}',
            'dry_run': arguments.dry_run,
            'wait': arguments.timeout,
        }
        code = await apply_one(operator, order, is_given='expected' in record)
        worst = max(worst, code)
        if code == Exit.unknown:
            return code
    return worst


async def apply_one(
    operator: Operator, order: dict[str, object], *, is_given: bool
) -> Exit:
    """Publish one record, unless it is in force already.

    :param operator: asks an entry.
    :param order: the change.
    :param is_given: whether the file names the expected version.
    """
    subject = f'{order["kind"]}/{order["name"]}'
    current = await current_value(operator, order)
    if not is_given and current == order['value']:
        print(f'{subject}: unchanged')
        return Exit.ok
    answer = await operator.ask('POST', CHANGES, body=order)
    print(describe(subject, answer.document))
    return exit_of(answer.document)


async def current_value(operator: Operator, record: Any) -> Any:
    """Return the value of a record that is in force, None without one.

    :param operator: asks an entry.
    :param record: with kind and name.
    """
    query = {'kind': record['kind'], 'name': record['name']}
    answer = await operator.ask('GET', RECORDS, query)
    found = answer.document['records']
    return found[0]['value'] if found else None


async def diff(arguments: argparse.Namespace) -> int:
    """Print how a file differs from what is in force.

    :param arguments: of the command line.
    """
    wanted = read_file(arguments.file)
    if wanted is None:
        return Exit.invalid
    operator = Operator(arguments.entry)
    for record in wanted:
        subject = f'{record["kind"]}/{record["name"]}'
        current = await current_value(operator, record)
        lines = difflib.unified_diff(
            format_value(current),
            format_value(record['value']),
            f'{subject} in force',
            f'{subject} in the file',
            lineterm='',
        )
        for line in lines:
            print(line)
    return Exit.ok


async def get(arguments: argparse.Namespace) -> int:
    """Print current records.

    :param arguments: of the command line.
    """
    kind, _, name = arguments.record.partition('/')
    return await show(arguments.entry, RECORDS, {'kind': kind, 'name': name})


async def history(arguments: argparse.Namespace) -> int:
    """Print the kept versions of a record.

    :param arguments: of the command line.
    """
    kind, _, name = arguments.record.partition('/')
    return await show(arguments.entry, HISTORY, {'kind': kind, 'name': name})


async def show(address: str, path: str, query: dict[str, str]) -> int:
    """Print records as JSON.

    :param address: of an entry.
    :param path: of the request.
    :param query: kind and name.
    """
    answer = await Operator(address).ask('GET', path, query)
    found = answer.document['records']
    print('\n'.join(format_value(found)))
    return Exit.ok if found or not query['name'] else Exit.failed


async def settle(arguments: argparse.Namespace) -> int:
    """Close a version to new work and report what is still under it.

    :param arguments: of the command line.
    """
    operator = Operator(arguments.entry)
    order = {
        'agreement': arguments.agreement,
        'version': arguments.version,
        'wait': arguments.timeout,
        'change_id': arguments.change_id,
    }
    answer = await operator.ask('POST', SETTLEMENTS, body=order)
    subject = f'settle {arguments.agreement} version {arguments.version}'
    print(describe(subject, answer.document))
    code = exit_of(answer.document)
    if code != Exit.ok:
        return code
    return await await_retirement(operator, arguments)


async def await_retirement(
    operator: Operator, arguments: argparse.Namespace
) -> int:
    """Report the work under a settled version until it is retired.

    :param operator: asks an entry.
    :param arguments: of the command line.
    """
    query = {'agreement': arguments.agreement, 'version': arguments.version}
    for _ in range(max(1, int(arguments.timeout / POLL))):
        answer = await operator.ask('GET', SETTLEMENTS, query)
        left = answer.document
        if left['retired']:
            print('retired: no work is left under this version')
            return Exit.ok
        await pause(POLL)
    print(f'still under this version: {left["open_work"]} jobs')
    if left['silent_entries']:
        names = ', '.join(left['silent_entries'])
        print(f'entries that have not said: {names}')
    return Exit.unknown


async def wait(arguments: argparse.Namespace) -> int:
    """Wait until a change is in force at all sides.

    :param arguments: of the command line.
    """
    operator = Operator(arguments.entry)
    outcome = await await_verdict(
        operator, arguments.change_id, arguments.timeout
    )
    print(describe('change', outcome))
    code = exit_of(outcome)
    if code != Exit.ok:
        return code
    position = int(outcome['offset']) + 1
    return report_sides(
        await await_sides(operator, '', position, arguments.timeout)
    )


def format_value(value: object) -> list[str]:
    """Return a JSON value as indented lines.

    :param value: of a record.
    """
    text = msgspec.json.format(msgspec.json.encode(value), indent=_INDENT)
    return text.decode().splitlines()
