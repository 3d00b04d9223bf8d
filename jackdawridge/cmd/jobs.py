"""The commands `submit`, `cancel` and `status`."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import jsonc
import msgspec

from jackdawridge.cmd.exits import Exit
from jackdawridge.cmd.operator import Operator, pause, run_command
from jackdawridge.errors import PeerUnavailableError

if TYPE_CHECKING:
    import argparse
    from collections.abc import Mapping

    from jackdawridge.cmd.operator import Reply

#: Time that an entry is asked to wait for an answer, in seconds.
WAIT = 5.0
#: Wait before a question is repeated, in seconds.
REPEAT = 0.5

_OK = 200
_CREATED = 201
_ACCEPTED = 202
_BAD_REQUEST = 400
_CONFLICT = 409
_GONE = 410
_FAILED = 502
_UNAVAILABLE = 503

_EXITS = {  # noqa: WPS407
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

    :param subparsers: of the main parser.
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
    submit.add_argument('--ticket', default='', help='of an earlier attempt')
    add_caller_address(submit)
    submit.set_defaults(run=run_submit)
    cancel = subparsers.add_parser(
        'cancel', help='cancel a job', description='Cancel a job.'
    )
    cancel.add_argument('ticket')
    add_caller_address(cancel)
    cancel.set_defaults(run=run_cancel)
    status = subparsers.add_parser(
        'status',
        help='show a job, or what a process is doing',
        description=(
            'With a ticket, show a job (--entry is its address for callers).'
            ' Without, show a process (--entry is its address for operators).'
        ),
    )
    status.add_argument('ticket', nargs='?', default='')
    add_caller_address(status)
    status.set_defaults(run=run_status)


def add_caller_address(parser: argparse.ArgumentParser) -> None:
    """Add the options that say whom to ask, and for how long.

    :param parser: of a command.
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
    """Submit a job.

    :param arguments: of the command line.
    """
    try:
        arguments.job = jsonc.loads(arguments.file.read_text())
    except (OSError, ValueError) as error:
        print(f'{arguments.file}: {error}', file=sys.stderr)
        return Exit.invalid
    return run_command(submit_job, arguments)


def run_cancel(arguments: argparse.Namespace) -> int:
    """Cancel a job.

    :param arguments: of the command line.
    """
    return run_command(cancel_job, arguments)


def run_status(arguments: argparse.Namespace) -> int:
    """Show a job or a process.

    :param arguments: of the command line.
    """
    return run_command(show_status, arguments)


class Questioner:
    """Repeats a question until it has a final answer.

    :param address: of an entry, for callers.
    :param timeout: for the final answer, in seconds.
    """

    def __init__(self, address: str, timeout: float) -> None:
        """Start the time."""
        self.operator = Operator(address)
        self.until = time.monotonic() + timeout

    async def ask(
        self, method: str, path: str, body: Mapping[str, object] | None = None
    ) -> Reply:
        """Return the final answer, or the last one before the timeout.

        :param method: of HTTP; the question must be safe to repeat.
        :param path: of the question.
        :param body: sent as JSON.
        :raises PeerUnavailableError: if there was no answer at all.
        """
        while True:
            reply = await self.attempt(method, path, body)
            over = time.monotonic() + REPEAT >= self.until
            if reply is not None and (over or is_final(reply)):
                return reply
            await pause(REPEAT)

    async def attempt(
        self, method: str, path: str, body: Mapping[str, object] | None
    ) -> Reply | None:
        """Return an answer, None if there was none and time is left.

        :param method: of HTTP.
        :param path: of the question.
        :param body: sent as JSON.
        """
        left = max(min(WAIT, self.until - time.monotonic()), 0)
        try:
            return await self.operator.ask(method, path, {'wait': left}, body)
        except PeerUnavailableError:
            if time.monotonic() + REPEAT >= self.until:
                raise
            return None


def is_final(reply: Reply) -> bool:
    """Return whether asking again would bring nothing new.

    :param reply: of an entry.
    """
    return reply.code not in {_ACCEPTED, _UNAVAILABLE}


async def submit_job(arguments: argparse.Namespace) -> int:
    """Get a ticket, put the job under it and print the answer.

    :param arguments: of the command line.
    """
    questioner = Questioner(arguments.entry, arguments.timeout)
    ticket = arguments.ticket
    if not ticket:
        issued = await questioner.ask('POST', '/v1/tickets')
        if issued.code != _CREATED:
            return show(issued)
        ticket = issued.document['ticket']
    print(f'ticket {ticket}', file=sys.stderr)
    return show(
        await questioner.ask('PUT', f'/v1/jobs/{ticket}', arguments.job)
    )


async def cancel_job(arguments: argparse.Namespace) -> int:
    """Cancel a job and print what became of it.

    :param arguments: of the command line.
    """
    questioner = Questioner(arguments.entry, arguments.timeout)
    reply = await questioner.ask('DELETE', f'/v1/jobs/{arguments.ticket}')
    show(reply)
    was_cancelled = reply.code in {_OK, _FAILED}
    return Exit.ok if was_cancelled else exit_of(reply)


async def show_status(arguments: argparse.Namespace) -> int:
    """Print a job or what a process is doing.

    :param arguments: of the command line.
    """
    operator = Operator(arguments.entry)
    path = '/v1/status'
    if arguments.ticket:
        path = f'/v1/jobs/{arguments.ticket}'
    return show(await operator.ask('GET', path))


def show(reply: Reply) -> int:
    """Print an answer and return the exit code.

    :param reply: of an entry.
    """
    text = msgspec.json.format(msgspec.json.encode(reply.document))
    print(text.decode())
    return exit_of(reply)


def exit_of(reply: Reply) -> int:
    """Return the exit code for an answer.

    :param reply: of an entry.
    """
    return _EXITS.get(reply.code, Exit.failed)
