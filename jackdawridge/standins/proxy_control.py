"""The HTTP control of a fault proxy."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

import msgspec
from klein import Klein

from jackdawridge.standins.faults import ProxyFaults
from jackdawridge.standins.web import (
    QuietSite,
    read_body,
    read_faults,
    refuse,
    reply,
)

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from jackdawridge.standins.proxy import FaultProxy


class ProxyControl:
    """Serves the control of a proxy over HTTP.

    :param reactor: Twisted's reactor.
    :param proxy: that is controlled.
    """

    app = Klein()

    def __init__(self, reactor: Any, proxy: FaultProxy) -> None:
        """Prepare without listening."""
        self.reactor = reactor
        self.proxy = proxy
        self.port: Any = None

    def start(self, address: str = '127.0.0.1:0') -> str:
        """Listen and return the address as `ip:port`.

        :param address: port 0 for any free one.
        """
        host, _, port = address.rpartition(':')
        self.port = self.reactor.listenTCP(
            int(port), QuietSite(self.app.resource()), interface=host
        )
        return '{0}:{1}'.format(host, self.port.getHost().port)

    def stop(self) -> Deferred[None]:
        """Stop listening."""
        return cast('Deferred[None]', self.port.stopListening())

    @app.handle_errors(msgspec.DecodeError)
    def invalid(self, request: Any, failure: Any) -> bytes:
        """Answer a request that is not valid."""
        return refuse(request, failure)

    @app.route('/faults', methods=['POST'])
    def take_faults(self, request: Any) -> bytes:
        """Replace all faults."""
        faults = read_faults(read_body(request), ProxyFaults)
        self.proxy.change_faults(cast('ProxyFaults', faults))
        return self.describe(request)

    @app.route('/cut', methods=['POST'])
    def cut(self, request: Any) -> bytes:
        """Cut all connections."""
        self.proxy.cut()
        return self.describe(request)

    @app.route('/state', methods=['GET'])
    def describe(self, request: Any) -> bytes:
        """Tell the faults and the number of connections."""
        state = {
            'faults': self.proxy.faults,
            'accepted': self.proxy.accepted,
            'connections': len(self.proxy.connections),
            'bytes_dropped': self.proxy.bytes_dropped,
        }
        return reply(request, state)
