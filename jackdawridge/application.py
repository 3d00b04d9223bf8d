"""The components, events and message handlers of one process."""

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
    """A part of a process that is started and stopped with it.

    Components are started in the order in which they were added and stopped
    in reverse. A component that has to drain returns a `Deferred` from
    `stop`; components added before it are stopped once that has fired.
    """

    def start(self) -> None:
        """Start the component."""

    def stop(self) -> Deferred[None] | None:
        """Stop the component.

        Returns a `Deferred` that fires once it has stopped, or None if it
        stops at once.
        """


class Events:
    """Named events with which components notify each other."""

    def __init__(self) -> None:
        """Create an event bus without listeners."""
        self.listeners: dict[str, list[Callable[..., object]]] = defaultdict(
            list
        )

    def connect(self, name: str, listener: Callable[..., object]) -> None:
        """Add a listener to an event.

        :param name: name of the event, such as `peer_joined`.
        :param listener: called with the arguments of the event.
        """
        self.listeners[name].append(listener)

    def emit(self, name: str, *args: object) -> None:
        """Call the listeners of an event.

        An exception in a listener is logged; the others are still called.

        :param name: name of the event.
        :param args: arguments passed to the listeners.
        """
        for listener in tuple(self.listeners[name]):
            try:
                listener(*args)
            except Exception:
                logger.exception(f'listener of event {name!r} failed')


class Application:
    """One process of the system.

    :param settings: settings of the process.
    :param clock: the reactor.
    :param incarnation: random id of this run of the process.
    """

    def __init__(
        self, settings: Settings, clock: Clock, incarnation: str
    ) -> None:
        """Create an application without components."""
        self.settings = settings
        self.clock = clock
        self.incarnation = incarnation
        self.events = Events()
        self.codec = Codec()
        self.components: list[Component] = []
        self.handlers: dict[type[Any], Callable[[Peer, Any], None]] = {}
        #: Number of messages received from peers, by the name of their type.
        self.received: Counter[str] = Counter()
        #: Whether the process is stopping and accepts no new work.
        self.draining = False

    def add(self, component: Component) -> None:
        """Add a component.

        :param component: component to start and stop with the application.
        """
        self.components.append(component)

    def on_message(
        self,
        message_type: type[Any],
        handler: Callable[[Peer, Any], None],
    ) -> None:
        """Set the handler of a message type.

        :param message_type: a registered message type.
        :param handler: called with the peer and the message.
        """
        self.handlers[message_type] = handler

    def dispatch(self, peer: Peer, message: Any) -> None:
        """Pass a message to the handler of its type.

        A message without a handler is ignored and an exception in a handler
        is caught; both are logged.

        :param peer: peer that has sent the message.
        :param message: an instance of a registered message type.
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
        """Start all components in the order in which they were added."""
        for component in self.components:
            component.start()

    async def stop(self) -> None:
        """Drain and stop all components in reverse order.

        A component that fails to stop is logged; the others are still
        stopped.
        """
        self.draining = True
        self.events.emit('draining')
        for component in reversed(self.components):
            try:
                await maybeDeferred(component.stop)
            except Exception:
                logger.exception('component failed to stop')
