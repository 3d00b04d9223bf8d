"""Questions among entries while the log does not answer one of them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.task import LoopingCall

from jackdawridge.configuration.freshness import Answer
from jackdawridge.configuration.holds import Hold
from jackdawridge.configuration.messages import (
    ConfigurationRequest,
    KnownEntries,
    LogAnswer,
    LogQuestion,
)

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.config import Settings
    from jackdawridge.configuration.configuration import Configuration
    from jackdawridge.configuration.exchange import Exchange
    from jackdawridge.configuration.freshness import EntryFreshness
    from jackdawridge.wire.peers import Peer

#: Time between two rounds of questions, in seconds.
ROUND_INTERVAL = 0.3
#: The other entries are asked once the log's word is older than two reads and
#: this allowance, in seconds. The word is that old at the end of each read.
ASK_ALLOWANCE = 0.6
#: Time for which an entry that ended without notice still counts among those
#: of which a majority has to be heard, in seconds.
MEMORY = 120.0


class KnownNames:
    """Names of the other entries, among them some that are silent.

    :param unmet: name that stands for the entries of the settings until
        there was a link to any of them; empty if the settings name none.
    """

    def __init__(self, unmet: str = '') -> None:
        """Start without entries."""
        self.unmet = unmet
        #: Names of linked entries.
        self.linked: set[str] = set()
        #: Time of the last word, by the name of a silent entry.
        self.silent: dict[str, float] = {}

    def joined(self, name: str) -> None:
        """Take note of a link.

        :param name: of the entry.
        """
        self.unmet = ''
        self.linked.add(name)
        self.silent.pop(name, None)

    def left(self, name: str, now: float) -> None:
        """Take note that an entry is silent.

        :param name: of the entry.
        :param now: in seconds.
        """
        self.linked.discard(name)
        self.silent[name] = now

    def heard_of(self, name: str, now: float) -> None:
        """Take note of an entry that another entry knows.

        :param name: of the entry.
        :param now: in seconds.
        """
        if name not in self.linked:
            self.silent.setdefault(name, now)

    def forget(self, name: str) -> None:
        """Drop an entry that said that it ends.

        :param name: of the entry.
        """
        self.linked.discard(name)
        self.silent.pop(name, None)

    def names(self, now: float) -> frozenset[str]:
        """Return the entries of which a majority has to be heard.

        :param now: in seconds.
        """
        for name, since in tuple(self.silent.items()):
            if now - since > MEMORY:
                self.silent.pop(name)
        unmet = {self.unmet} if self.unmet else set()
        return frozenset(self.linked | set(self.silent) | unmet)


class LogSurvey:
    """Asks the other entries about the log, and answers them; a component.

    :param application: the process.
    :param configuration: what is in force here.
    :param freshness: of this entry.
    :param exchange: spreads holds.
    """

    def __init__(
        self,
        application: Application,
        configuration: Configuration,
        freshness: EntryFreshness,
        exchange: Exchange,
    ) -> None:
        """Listen to messages and peers."""
        clock: Any = application.clock
        self.application = application
        self.configuration = configuration
        self.freshness = freshness
        self.exchange = exchange
        self.known = KnownNames(_unmet(application.settings))
        self.entries: dict[str, Peer] = {}
        poll = application.settings.number('log_poll')
        #: Age of the log's word from which on the other entries are asked.
        self.ask_age = 2 * poll + ASK_ALLOWANCE
        self.loop = LoopingCall(self.check)
        self.loop.clock = clock
        application.on_message(LogQuestion, self.asked)
        application.on_message(LogAnswer, self.answered)
        application.on_message(KnownEntries, self.introduced)
        application.events.connect('peer_joined', self.peer_joined)
        application.events.connect('peer_left', self.peer_left)
        application.events.connect('draining', self.say_goodbye)

    def start(self) -> None:
        """Begin to watch the age of the log's word."""
        self.loop.start(ROUND_INTERVAL)

    def stop(self) -> None:
        """Ask no more."""
        if self.loop.running:
            self.loop.stop()

    def now(self) -> float:
        """Return the time in seconds."""
        return self.application.clock.seconds()

    def peer_joined(self, peer: Peer) -> None:
        """Tell an entry which others are known.

        :param peer: at the other end of a new link.
        """
        if peer.introduction.role != 'entry':
            return
        self.entries[peer.name] = peer
        self.known.joined(peer.name)
        names = sorted(self.known.names(self.now()))
        peer.send(KnownEntries(tuple(names), self.application.draining))

    def peer_left(self, peer: Peer) -> None:
        """Take note that an entry is silent.

        :param peer: whose link has ended.
        """
        if self.entries.get(peer.name) is peer:
            self.entries.pop(peer.name)
            self.known.left(peer.name, self.now())

    def introduced(self, peer: Peer, message: KnownEntries) -> None:
        """Take the names of further entries.

        :param peer: an entry.
        :param message: the names that it knows.
        """
        if message.leaving:
            self.entries.pop(peer.name, None)
            self.known.forget(peer.name)
            return
        own = self.application.settings.text('node')
        for name in message.names:
            if name != own:
                self.known.heard_of(name, self.now())

    def say_goodbye(self) -> None:
        """Tell the other entries not to count on this one."""
        for peer in self.entries.values():
            peer.send(KnownEntries((), leaving=True))

    def check(self) -> None:
        """Ask the other entries if the log's word grows old."""
        now = self.now()
        log_age = self.freshness.log_age(now)
        if not self.freshness.failing and log_age < self.ask_age:
            return
        current = self.freshness.begin_round(now)
        question = LogQuestion(current.number, self.configuration.position)
        for peer in tuple(self.entries.values()):
            peer.send(question)
        self.conclude()
        if not self.freshness.is_ready:
            self.exchange.ask_sides()

    def asked(self, peer: Peer, question: LogQuestion) -> None:
        """Answer an entry, and catch up with it if it knows more.

        :param peer: that asks.
        :param question: with its position.
        """
        peer.send(
            LogAnswer(
                question.number,
                self.configuration.position,
                self.freshness.log_age(self.now()),
                self.freshness.failing,
                self.freshness.is_ready,
                self.exchange.held(),
            )
        )
        self.catch_up(peer, question.position)

    def answered(self, peer: Peer, answer: LogAnswer) -> None:
        """Take an answer, after the holds that came with it.

        :param peer: that answers.
        :param answer: what it knows.
        """
        self.exchange.add_holds((Hold(*held) for held in answer.held), peer)
        self.catch_up(peer, answer.position)
        self.freshness.take_answer(
            answer.number,
            peer.name,
            Answer(
                answer.position, answer.log_age, answer.failing, answer.ready
            ),
        )
        self.conclude()

    def catch_up(self, peer: Peer, position: int) -> None:
        """Ask a peer for what is newer, if it knows more.

        :param peer: an entry.
        :param position: up to which it knows the configuration.
        """
        if position > self.configuration.position:
            peer.send(ConfigurationRequest(self.configuration.position))

    def conclude(self) -> None:
        """Draw what follows from the answers so far."""
        self.freshness.conclude(
            self.configuration.position, self.known.names(self.now())
        )


def _unmet(settings: Settings) -> str:
    """Return the addresses of other entries in the settings as one name."""
    own = settings.text('peer_address')
    others = [each for each in settings.texts('entries') if each != own]
    return ' '.join(others)
