"""Pending answers of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from twisted.internet.defer import Deferred

from jackdawridge.forwarding import entry_effects as effects
from jackdawridge.forwarding import messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from jackdawridge.util.clock import Clock


#: Time given to written bytes to be sent before the process stops, in seconds.
FLUSH_TIME = 0.2


class Observer(Protocol):
    """Counts steps and answers for the metrics."""

    def attempted(self, step: str) -> None:
        """Count a step of an attempt, such as `send` or `hedge`."""

    def answered(self, outcome: str, seconds: float) -> None:
        """Observe the end of an answer and the time that it took."""


class Answer(Protocol):
    """Writes the answer to one request."""

    def respond(
        self, response: messages.Response, grant: Callable[[int], None]
    ) -> None:
        """Start the answer; `grant` requests more of its body."""

    def write_body(self, body: bytes, last: bool) -> None:
        """Write a further part of the body."""

    def give_up(self, effect: effects.GiveUp) -> None:
        """Answer with an error in place of a response."""

    def abort(self) -> None:
        """Abort the answer, whose rest will not arrive."""


class PendingAnswer(NamedTuple):
    """Answer that is not complete."""

    answer: Answer
    #: Local time at which the request arrived, in seconds.
    since: float


class PendingAnswers:
    """Matches effects to the answers of their requests, by key.

    :param clock: clock of the reactor.
    :param observer: counts answers for the metrics.
    :param transmit: function that sends a message to a side.
    """

    def __init__(
        self,
        clock: Clock,
        observer: Observer,
        transmit: Callable[[effects.Transmit], None],
    ) -> None:
        """Initialise without answers."""
        self.clock = clock
        self.observer = observer
        self.transmit = transmit
        self.answers: dict[int, PendingAnswer] = {}
        self.drained: Deferred[None] | None = None

    def open(self, key: int, answer: Answer) -> None:
        """Add a pending answer.

        :param key: key of the request.
        :param answer: writer of the answer.
        """
        self.answers[key] = PendingAnswer(answer, self.clock.seconds())

    def drain(self) -> Deferred[None]:
        """Wait until every answer is complete and has had time to be sent."""
        self.drained = Deferred()
        if not self.answers:
            self.finish_drain()
        return self.drained

    def finish_drain(self) -> None:
        """Report the end of the drain after `FLUSH_TIME`."""
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
        """Write the part of an answer that an effect asks for.

        :param effect: start, continuation or end of an answer.
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
        """Start an answer.

        :param answer: writer of the answer.
        :param effect: effect with the response.
        """
        response = effect.response

        def grant(offset: int) -> None:  # noqa: WPS430
            credit = messages.Credit(response.number, offset)
            self.transmit(effects.Transmit(effect.side, credit))

        answer.respond(response, grant)
        if response.last:
            self.close(effect.key, 'answered')

    def close(self, key: int, outcome: str) -> None:
        """Remove a complete answer and count it.

        :param key: key of the request.
        :param outcome: outcome for the metrics.
        """
        pending = self.answers.pop(key, None)
        if pending is None:
            return
        self.observer.answered(outcome, self.clock.seconds() - pending.since)
        if self.drained is not None and not self.answers:
            self.finish_drain()
