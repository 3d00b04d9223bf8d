"""Requests of the command line to the operators' address of a process."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any, NamedTuple
from urllib.parse import urlencode

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.task import deferLater

from jackdawridge.cmd.exits import Exit
from jackdawridge.errors import JackdawridgeError, PeerUnavailableError
from jackdawridge.util.client import JsonClient

if TYPE_CHECKING:
    import argparse
    from collections.abc import Callable, Coroutine, Mapping

#: Time for an answer beyond what the entry may wait itself, in seconds.
ANSWER_TIMEOUT = 10.0


class Reply(NamedTuple):
    """The answer to a request."""

    code: int
    document: Any


class Operator:
    """Asks one process.

    :param address: `ip:port` of its operators' address.
    """

    def __init__(self, address: str) -> None:
        """Keep the address."""
        self.address = address
        self.client = JsonClient(_reactor())

    async def ask(
        self,
        method: str,
        path: str,
        query: Mapping[str, object] | None = None,
        body: Mapping[str, object] | None = None,
    ) -> Reply:
        """Send a request and return the answer.

        :param method: of HTTP.
        :param path: such as `/v1/configuration`.
        :param query: appended to the path.
        :param body: sent as JSON.
        :raises PeerUnavailableError: if there is no answer.
        """
        url = f'http://{self.address}{path}?{urlencode(query or {})}'
        wait = float(str((body or {}).get('wait', 0)))
        try:
            answer = await self.client.ask(
                method, url, body, wait + ANSWER_TIMEOUT
            )
            return Reply(answer.status, answer.document())
        except Exception as error:
            raise PeerUnavailableError(
                f'no answer: {type(error).__name__}: {error}',
                step=f'{method} {path}',
                peer=self.address,
            ) from error


def add_address(parser: argparse.ArgumentParser) -> None:
    """Add the option that names the entry.

    :param parser: of a command.
    """
    parser.add_argument(
        '--entry',
        required=True,
        metavar='IP:PORT',
        help="operators' address of any entry",
    )


def run_command(
    command: Callable[[argparse.Namespace], Coroutine[Any, Any, int]],
    arguments: argparse.Namespace,
) -> int:
    """Run a command on a reactor of its own and return its exit code.

    :param command: asks processes.
    :param arguments: of the command line.
    """
    clock = _reactor()
    codes: list[int] = []

    def begin() -> None:  # noqa: WPS430
        running = ensureDeferred(command(arguments))
        running.addErrback(_report)
        running.addCallback(codes.append)
        running.addBoth(lambda _: clock.stop())

    clock.callWhenRunning(begin)
    clock.run()
    return codes[0]


def _report(failure: Any) -> int:
    """Print an error and return the exit code."""
    error = failure.value
    if not isinstance(error, JackdawridgeError):
        print(failure.getTraceback(), file=sys.stderr)
        return Exit.failed
    print(error, file=sys.stderr)
    return Exit.unknown


def pause(seconds: float) -> Deferred[None]:
    """Return a `Deferred` that fires after a time.

    :param seconds: to wait.
    """
    return deferLater(_reactor(), seconds)


def _reactor() -> Any:
    """Return the reactor, which commands without one do not install."""
    from twisted.internet import reactor  # noqa: WPS433

    return reactor
