"""The core object that holds the components of one process together."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Any, Protocol

from twisted.internet.defer import Deferred, maybeDeferred

from jackdawridge.logs import get_logger
from jackdawridge.wire.codec import Codec

if TYPE_CHECKING:
    from collections.abc import Callable

    from jackdawridge.config import Settings
    from jackdawridge.util.clock import Clock
    from jackdawridge.wire.peers import Peer

logger = get_logger('application')


class Component(Protocol):
    """A part of a process with a beginning and an end.

    Components are started in the order in which they were added and stopped
    in reverse. A component that has to drain returns a `Deferred` from
    `stop`, which holds up the components before it.
    """

    def start(self) -> None:
        """Begin to work."""

    def stop(self) -> Deferred[None] | None:
        """Stop working, if need be later."""


class Events:
    """Named events by which components hear of each other."""

    def __init__(self) -> None:
        """Start without listeners."""
        self.listeners: dict[str, list[Callable[..., object]]] = defaultdict(
            list
        )

    def connect(self, name: str, listener: Callable[..., object]) -> None:
        """Call a listener at each event of a name.

        :param name: such as `peer_joined`.
        :param listener: called with the arguments of the event.
        """
        self.listeners[name].append(listener)

    def emit(self, name: str, *args: object) -> None:
        """Tell the listeners of an event; an error of one stops no other.

        :param name: the event.
        :param args: what the listeners are called with.
        """
        for listener in tuple(self.listeners[name]):
            try:
                listener(*args)
            except Exception:
                logger.exception(f'listener of event {name!r} failed')


class Application:
    """One process of the system.

    :param settings: of this process.
    :param clock: the reactor.
    :param incarnation: random id of this run of the process.
    """

    def __init__(
        self, settings: Settings, clock: Clock, incarnation: str
    ) -> None:
        """Make an application without components."""
        self.settings = settings
        self.clock = clock
        self.incarnation = incarnation
        self.events = Events()
        self.codec = Codec()
        self.components: list[Component] = []
        self.handlers: dict[type[Any], Callable[[Peer, Any], None]] = {}
        #: Messages from peers by the name of their type.
        self.received: Counter[str] = Counter()
        #: Whether the process is leaving and takes no new work.
        self.draining = False

    def add(self, component: Component) -> None:
        """Register a component.

        :param component: started and stopped with the application.
        """
        self.components.append(component)

    def on_message(
        self,
        message_type: type[Any],
        handler: Callable[[Peer, Any], None],
    ) -> None:
        """Choose who handles the messages of a type.

        :param message_type: a registered message type.
        :param handler: called with the peer and the message.
        """
        self.handlers[message_type] = handler

    def dispatch(self, peer: Peer, message: Any) -> None:
        """Hand a message to its handler.

        :param peer: who sent it.
        :param message: an instance of a registered type.
        """
        self.received[type(message).__name__] += 1
        handler = self.handlers.get(type(message))
        if handler is None:
            name = type(message).__name__
            logger.warning(
                f'no handler for message {name}',
                step='dispatch',
                peer=peer.name,
            )
            return
        try:
            handler(peer, message)
        except Exception:
            name = type(message).__name__
            logger.exception(
                f'handler of message {name} failed',
                step='dispatch',
                peer=peer.name,
            )

    def start(self) -> None:
        """Start all components."""
        for component in self.components:
            component.start()

    async def stop(self) -> None:
        """Drain and stop all components, the last one first."""
        self.draining = True
        self.events.emit('draining')
        for component in reversed(self.components):
            try:
                await maybeDeferred(component.stop)
            except Exception:
                logger.exception('component failed to stop')
