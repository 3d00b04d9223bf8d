"""The actions of the command `config`."""

from __future__ import annotations

import difflib
import sys
import uuid
from typing import TYPE_CHECKING, Any, NotRequired, TypedDict

import msgspec

from jackdawridge.cmd.changes import (
    CHANGES_PATH,
    POLL_INTERVAL,
    await_confirmations,
    await_verdict,
    exit_code,
    format_outcome,
    print_confirmations,
)
from jackdawridge.cmd.exits import Exit
from jackdawridge.cmd.process_client import ProcessClient, pause
from jackdawridge.config import load_document
from jackdawridge.errors import SettingsError

if TYPE_CHECKING:
    import argparse
    from pathlib import Path

RECORDS_PATH = '/v1/configuration/records'
HISTORY_PATH = '/v1/configuration/history'
SETTLEMENTS_PATH = '/v1/configuration/settlements'

_INDENT = 2


class DesiredRecord(TypedDict):
    """A record in a file, with its desired value."""

    kind: str
    name: str
    #: The desired value; null to remove the record.
    value: object
    #: Version that the record must have; if absent, its current version.
    expected: NotRequired[int]


class RecordFile(TypedDict):
    """The content of a file of records."""

    records: list[DesiredRecord]


def read_records(path: Path) -> list[DesiredRecord] | None:
    """Return the records of a file, None if the file is invalid.

    The reason is printed on standard error.

    :param path: the file, JSON with comments.
    """
    try:
        document = msgspec.convert(load_document(path), RecordFile)
    except (SettingsError, msgspec.ValidationError) as error:
        print(f'{path}: {error}', file=sys.stderr)
        return None
    return document['records']


async def apply(arguments: argparse.Namespace) -> int:
    """Publish the records of a file that differ from those in force.

    Return the highest exit code. Stop at the first unknown outcome.

    :param arguments: the parsed command line.
    """
    desired = read_records(arguments.file)
    if desired is None:
        return Exit.invalid
    client = ProcessClient(arguments.entry)
    prefix = arguments.change_id or uuid.uuid4().hex
    worst_code = Exit.ok
    for number, record in enumerate(desired):
        change = {
            **record,
            'change_id': f'{prefix}-{number}',
            'dry_run': arguments.dry_run,
            'wait': arguments.timeout,
        }
        code = await apply_record(
            client, change, has_expected_version='expected' in record
        )
        worst_code = max(worst_code, code)
        if code == Exit.unknown:
            return code
    return worst_code


async def apply_record(
    client: ProcessClient,
    change: dict[str, object],
    *,
    has_expected_version: bool,
) -> Exit:
    """Publish a record unless its value is already in force.

    :param client: the client of an entry.
    :param change: the body of the request, with the desired record.
    :param has_expected_version: whether the file names the version that the
        record must have; the change is then always published.
    """
    subject = f'{change["kind"]}/{change["name"]}'
    current = await fetch_current_value(client, change)
    if not has_expected_version and current == change['value']:
        print(f'{subject}: unchanged')
        return Exit.ok
    answer = await client.request('POST', CHANGES_PATH, body=change)
    print(format_outcome(subject, answer.document))
    return exit_code(answer.document)


async def fetch_current_value(client: ProcessClient, record: Any) -> Any:
    """Return the value of a record that is in force, None if there is none.

    :param client: the client of an entry.
    :param record: a record or change, with kind and name.
    """
    query = {'kind': record['kind'], 'name': record['name']}
    answer = await client.request('GET', RECORDS_PATH, query)
    found = answer.document['records']
    return found[0]['value'] if found else None


async def diff(arguments: argparse.Namespace) -> int:
    """Print how the records of a file differ from those in force.

    :param arguments: the parsed command line.
    """
    desired = read_records(arguments.file)
    if desired is None:
        return Exit.invalid
    client = ProcessClient(arguments.entry)
    for record in desired:
        subject = f'{record["kind"]}/{record["name"]}'
        current = await fetch_current_value(client, record)
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

    :param arguments: the parsed command line.
    """
    kind, _, name = arguments.record.partition('/')
    return await print_records(
        arguments.entry, RECORDS_PATH, {'kind': kind, 'name': name}
    )


async def history(arguments: argparse.Namespace) -> int:
    """Print the kept versions of a record.

    :param arguments: the parsed command line.
    """
    kind, _, name = arguments.record.partition('/')
    return await print_records(
        arguments.entry, HISTORY_PATH, {'kind': kind, 'name': name}
    )


async def print_records(address: str, path: str, query: dict[str, str]) -> int:
    """Print records as JSON and return the exit code.

    :param address: the operators' address of an entry.
    :param path: the path of the request.
    :param query: the kind and the name of the records; empty for all.
    """
    answer = await ProcessClient(address).request('GET', path, query)
    found = answer.document['records']
    print('\n'.join(format_value(found)))
    return Exit.ok if found or not query['name'] else Exit.failed


async def settle(arguments: argparse.Namespace) -> int:
    """Close a version of an agreement to new work and print its open work.

    :param arguments: the parsed command line.
    """
    client = ProcessClient(arguments.entry)
    request = {
        'agreement': arguments.agreement,
        'version': arguments.version,
        'wait': arguments.timeout,
        'change_id': arguments.change_id,
    }
    answer = await client.request('POST', SETTLEMENTS_PATH, body=request)
    subject = f'settle {arguments.agreement} version {arguments.version}'
    print(format_outcome(subject, answer.document))
    code = exit_code(answer.document)
    if code != Exit.ok:
        return code
    return await await_retirement(client, arguments)


async def await_retirement(
    client: ProcessClient, arguments: argparse.Namespace
) -> int:
    """Poll an entry until a settled version is retired.

    Print the open work under the version if the timeout expires first.

    :param client: the client of an entry.
    :param arguments: the parsed command line.
    """
    query = {'agreement': arguments.agreement, 'version': arguments.version}
    for _ in range(max(1, int(arguments.timeout / POLL_INTERVAL))):
        answer = await client.request('GET', SETTLEMENTS_PATH, query)
        settlement = answer.document
        if settlement['retired']:
            print('retired: no work is left under this version')
            return Exit.ok
        await pause(POLL_INTERVAL)
    print(f'still under this version: {settlement["open_work"]} jobs')
    if settlement['silent_entries']:
        names = ', '.join(settlement['silent_entries'])
        print(f'entries that have not reported: {names}')
    return Exit.unknown


async def wait(arguments: argparse.Namespace) -> int:
    """Wait until a change is in force at all sides.

    :param arguments: the parsed command line.
    """
    client = ProcessClient(arguments.entry)
    outcome = await await_verdict(
        client, arguments.change_id, arguments.timeout
    )
    print(format_outcome('change', outcome))
    code = exit_code(outcome)
    if code != Exit.ok:
        return code
    position = int(outcome['offset']) + 1
    return print_confirmations(
        await await_confirmations(client, '', position, arguments.timeout)
    )


def format_value(value: object) -> list[str]:
    """Return a JSON value as indented lines.

    :param value: the value of a record, or records.
    """
    text = msgspec.json.format(msgspec.json.encode(value), indent=_INDENT)
    return text.decode().splitlines()
