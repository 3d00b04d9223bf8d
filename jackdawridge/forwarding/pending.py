"""The answers that an entry still owes."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from twisted.internet.defer import Deferred

from jackdawridge.forwarding import entry_effects as effects
from jackdawridge.forwarding import messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from jackdawridge.util.clock import Clock


#: Time for written bytes to leave a process that stops, in seconds.
FLUSH_TIME = 0.2


class Observer(Protocol):
    """Counts what happens to requests."""

    def attempted(self, step: str) -> None:
        """Count a step of an attempt, such as `send` or `hedge`."""

    def answered(self, outcome: str, seconds: float) -> None:
        """Count a final answer and the time that it took."""


class Answer(Protocol):
    """Takes the answer to one request."""

    def respond(
        self, response: messages.Response, grant: Callable[[int], None]
    ) -> None:
        """Begin the answer, and have more of its body sent by `grant`."""

    def write_body(self, body: bytes, last: bool) -> None:
        """Take a further part of the body."""

    def give_up(self, effect: effects.GiveUp) -> None:
        """Learn that there will be no answer."""

    def abort(self) -> None:
        """Learn that the rest of the answer will not come."""


class PendingAnswer(NamedTuple):
    """An answer that is still to be written."""

    answer: Answer
    #: When the request arrived, in seconds.
    since: float


class PendingAnswers:
    """Writes answers by the key of their request, never by order.

    :param clock: clock of the reactor.
    :param observer: counts answers.
    :param transmit: sends a message to a side.
    """

    def __init__(
        self,
        clock: Clock,
        observer: Observer,
        transmit: Callable[[effects.Transmit], None],
    ) -> None:
        """Start without answers."""
        self.clock = clock
        self.observer = observer
        self.transmit = transmit
        self.answers: dict[int, PendingAnswer] = {}
        self.drained: Deferred[None] | None = None

    def open(self, key: int, answer: Answer) -> None:
        """Expect an answer.

        :param key: key of the request.
        :param answer: writes it.
        """
        self.answers[key] = PendingAnswer(answer, self.clock.seconds())

    def drain(self) -> Deferred[None]:
        """Wait until every answer is written and has had time to leave."""
        self.drained = Deferred()
        if not self.answers:
            self.finish_drain()
        return self.drained

    def finish_drain(self) -> None:
        """Let what was written leave the process, then report the end."""
        drained = self.drained
        self.drained = None
        if drained is not None:
            self.clock.callLater(FLUSH_TIME, drained.callback, None)

    def answer(
        self,
        effect: effects.Respond
        | effects.ContinueAnswer
        | effects.Abort
        | effects.GiveUp,
    ) -> None:
        """Tell a caller.

        :param effect: part of its answer.
        """
        pending = self.answers.get(effect.key)
        if pending is None:
            return
        answer = pending.answer
        if isinstance(effect, effects.Respond):
            self.respond(answer, effect)
        elif isinstance(effect, effects.ContinueAnswer):
            answer.write_body(effect.body, effect.last)
            if effect.last:
                self.close(effect.key, 'answered')
        elif isinstance(effect, effects.Abort):
            answer.abort()
            self.close(effect.key, 'aborted')
        else:
            answer.give_up(effect)
            self.close(effect.key, effect.outcome.value)

    def respond(self, answer: Answer, effect: effects.Respond) -> None:
        """Begin an answer.

        :param answer: to the caller.
        :param effect: with the response.
        """
        response = effect.response

        def grant(offset: int) -> None:  # noqa: WPS430
            credit = messages.Credit(response.number, offset)
            self.transmit(effects.Transmit(effect.side, credit))

        answer.respond(response, grant)
        if response.last:
            self.close(effect.key, 'answered')

    def close(self, key: int, outcome: str) -> None:
        """Forget an answer that is complete.

        :param key: key of the request.
        :param outcome: for the metrics.
        """
        pending = self.answers.pop(key, None)
        if pending is None:
            return
        self.observer.answered(outcome, self.clock.seconds() - pending.since)
        if self.drained is not None and not self.answers:
            self.finish_drain()
