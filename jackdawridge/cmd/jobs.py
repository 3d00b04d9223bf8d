"""The commands `submit`, `cancel` and `status`."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import jsonc
import msgspec

from jackdawridge.cmd.exits import Exit
from jackdawridge.cmd.process_client import ProcessClient, pause, run_command
from jackdawridge.errors import PeerUnavailableError

if TYPE_CHECKING:
    import argparse
    from collections.abc import Mapping

    from jackdawridge.cmd.process_client import Reply

#: Longest time that a request lets the entry wait for the job, in seconds.
MAX_WAIT_TIME = 5.0
#: Delay before a request is retried, in seconds.
RETRY_DELAY = 0.5

_OK = 200
_CREATED = 201
_ACCEPTED = 202
_BAD_REQUEST = 400
_CONFLICT = 409
_GONE = 410
_FAILED = 502
_UNAVAILABLE = 503

_EXIT_CODES = {  # noqa: WPS407
    _OK: Exit.ok,
    _BAD_REQUEST: Exit.invalid,
    _CONFLICT: Exit.conflict,
    _GONE: Exit.unknown,
    _FAILED: Exit.failed,
    _UNAVAILABLE: Exit.unknown,
    _ACCEPTED: Exit.unknown,
}


def add_parsers(subparsers: Any) -> None:
    """Add the commands for jobs.

    :param subparsers: the subparsers of the main parser.
    """
    submit = subparsers.add_parser(
        'submit',
        help='submit a job and print its answer',
        description=(
            'Submit the job in a file of JSON with comments and print its'
            ' answer. The ticket is printed first, on standard error: with'
            ' --ticket the same command may be repeated safely.'
        ),
    )
    submit.add_argument('file', type=Path)
    submit.add_argument(
        '--ticket', default='', help='ticket of an earlier attempt'
    )
    add_caller_options(submit)
    submit.set_defaults(run=run_submit)
    cancel = subparsers.add_parser(
        'cancel', help='cancel a job', description='Cancel a job.'
    )
    cancel.add_argument('ticket')
    add_caller_options(cancel)
    cancel.set_defaults(run=run_cancel)
    status = subparsers.add_parser(
        'status',
        help='show a job or the status of a process',
        description=(
            'With a ticket, show a job (--entry is its address for callers).'
            ' Without, show a process (--entry is its address for operators).'
        ),
    )
    status.add_argument('ticket', nargs='?', default='')
    add_caller_options(status)
    status.set_defaults(run=run_status)


def add_caller_options(parser: argparse.ArgumentParser) -> None:
    """Add the options for the address of an entry and for the timeout.

    :param parser: the parser of a command.
    """
    parser.add_argument(
        '--entry',
        required=True,
        metavar='IP:PORT',
        help="callers' address of any entry, or of the balancer",
    )
    parser.add_argument(
        '--timeout', type=float, default=60, help='in seconds (default 60)'
    )


def run_submit(arguments: argparse.Namespace) -> int:
    """Run the command `submit` and return its exit code.

    :param arguments: the parsed command line.
    """
    try:
        arguments.job = jsonc.loads(arguments.file.read_text())
    except (OSError, ValueError) as error:
        print(f'{arguments.file}: {error}', file=sys.stderr)
        return Exit.invalid
    return run_command(submit_job, arguments)


def run_cancel(arguments: argparse.Namespace) -> int:
    """Run the command `cancel` and return its exit code.

    :param arguments: the parsed command line.
    """
    return run_command(cancel_job, arguments)


def run_status(arguments: argparse.Namespace) -> int:
    """Run the command `status` and return its exit code.

    :param arguments: the parsed command line.
    """
    return run_command(print_status, arguments)


class RetryingClient:
    """Retries a request until it has a final answer.

    :param address: the callers' address of an entry.
    :param timeout: the time allowed for the final answer, in seconds.
    """

    def __init__(self, address: str, timeout: float) -> None:
        """Start the timeout."""
        self.client = ProcessClient(address)
        self.deadline = time.monotonic() + timeout

    async def request(
        self, method: str, path: str, body: Mapping[str, object] | None = None
    ) -> Reply:
        """Return the final answer, or the last one before the timeout.

        The request must be safe to repeat.

        :param method: the HTTP method.
        :param path: the path of the request.
        :param body: the document to send as JSON.
        :raises PeerUnavailableError: if the last attempt gets no answer.
        """
        while True:
            reply = await self.try_request(method, path, body)
            is_out_of_time = time.monotonic() + RETRY_DELAY >= self.deadline
            if reply is not None and (is_out_of_time or is_final(reply)):
                return reply
            await pause(RETRY_DELAY)

    async def try_request(
        self, method: str, path: str, body: Mapping[str, object] | None
    ) -> Reply | None:
        """Return the answer to one attempt, None to retry without an answer.

        :param method: the HTTP method.
        :param path: the path of the request.
        :param body: the document to send as JSON.
        :raises PeerUnavailableError: if there is neither an answer nor time
            for a retry.
        """
        wait = max(min(MAX_WAIT_TIME, self.deadline - time.monotonic()), 0)
        try:
            return await self.client.request(method, path, {'wait': wait}, body)
        except PeerUnavailableError:
            if time.monotonic() + RETRY_DELAY >= self.deadline:
                raise
            return None


def is_final(reply: Reply) -> bool:
    """Return whether a retry could not change the answer.

    :param reply: the answer of the entry.
    """
    return reply.code not in {_ACCEPTED, _UNAVAILABLE}


async def submit_job(arguments: argparse.Namespace) -> int:
    """Submit a job under a ticket, get one if none is given, print the answer.

    :param arguments: the parsed command line.
    """
    client = RetryingClient(arguments.entry, arguments.timeout)
    ticket = arguments.ticket
    if not ticket:
        issued = await client.request('POST', '/v1/tickets')
        if issued.code != _CREATED:
            return print_reply(issued)
        ticket = issued.document['ticket']
    print(f'ticket {ticket}', file=sys.stderr)
    return print_reply(
        await client.request('PUT', f'/v1/jobs/{ticket}', arguments.job)
    )


async def cancel_job(arguments: argparse.Namespace) -> int:
    """Cancel a job and print its answer.

    :param arguments: the parsed command line.
    """
    client = RetryingClient(arguments.entry, arguments.timeout)
    reply = await client.request('DELETE', f'/v1/jobs/{arguments.ticket}')
    print_reply(reply)
    was_cancelled = reply.code in {_OK, _FAILED}
    return Exit.ok if was_cancelled else exit_code(reply)


async def print_status(arguments: argparse.Namespace) -> int:
    """Print the state of a job or the status of a process.

    :param arguments: the parsed command line.
    """
    client = ProcessClient(arguments.entry)
    path = '/v1/status'
    if arguments.ticket:
        path = f'/v1/jobs/{arguments.ticket}'
    return print_reply(await client.request('GET', path))


def print_reply(reply: Reply) -> int:
    """Print an answer and return the exit code.

    :param reply: the answer of the entry.
    """
    text = msgspec.json.format(msgspec.json.encode(reply.document))
    print(text.decode())
    return exit_code(reply)


def exit_code(reply: Reply) -> int:
    """Return the exit code for an answer.

    :param reply: the answer of the entry.
    """
    return _EXIT_CODES.get(reply.code, Exit.failed)
