"""HTTP requests of the command line to a process."""

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

#: Timeout of a request in addition to the time that its body allows the entry
#: to wait, in seconds.
ANSWER_TIMEOUT = 10.0


class Reply(NamedTuple):
    """The answer to a request."""

    #: The HTTP status code.
    code: int
    #: The decoded JSON body.
    document: Any


class ProcessClient:
    """Sends HTTP requests to one process.

    :param address: `ip:port` of the process, for operators or callers.
    """

    def __init__(self, address: str) -> None:
        """Create the client without connecting."""
        self.address = address
        self.client = JsonClient(_reactor())

    async def request(
        self,
        method: str,
        path: str,
        query: Mapping[str, object] | None = None,
        body: Mapping[str, object] | None = None,
    ) -> Reply:
        """Send a request and return the answer.

        :param method: the HTTP method.
        :param path: the path, such as `/v1/configuration`.
        :param query: the parameters of the query string.
        :param body: the document to send as JSON.
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


def add_entry_option(parser: argparse.ArgumentParser) -> None:
    """Add the option for the operators' address of an entry.

    :param parser: the parser of a command.
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
    """Run a command on the reactor until it ends and return its exit code.

    :param command: the coroutine function of the command.
    :param arguments: the parsed command line.
    """
    reactor = _reactor()
    codes: list[int] = []

    def start() -> None:  # noqa: WPS430
        running = ensureDeferred(command(arguments))
        running.addErrback(_print_error)
        running.addCallback(codes.append)
        running.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    return codes[0]


def _print_error(failure: Any) -> int:
    """Print the error of a command and return the exit code.

    An unexpected exception is printed with its traceback.
    """
    error = failure.value
    if not isinstance(error, JackdawridgeError):
        print(failure.getTraceback(), file=sys.stderr)
        return Exit.failed
    print(error, file=sys.stderr)
    return Exit.unknown


def pause(seconds: float) -> Deferred[None]:
    """Return a `Deferred` that fires after a delay.

    :param seconds: the delay.
    """
    return deferLater(_reactor(), seconds)


def _reactor() -> Any:
    """Return the reactor.

    The import installs it, so that commands that need no reactor must not
    import it at the top of a module.
    """
    from twisted.internet import reactor  # noqa: WPS433

    return reactor
