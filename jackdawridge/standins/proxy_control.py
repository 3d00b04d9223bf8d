"""The HTTP control of a process with fault proxies."""

from __future__ import annotations

from typing import Any, TypedDict, cast

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred

from jackdawridge.standins.faults import ProxyFaults
from jackdawridge.standins.proxy import FaultProxy
from jackdawridge.standins.web import (
    QuietSite,
    read_body,
    read_faults,
    read_json,
    refuse,
    reply,
)

_CREATED = 201
_NOT_FOUND = 404


class ProxyOrder(TypedDict):
    """Body of a request to open a proxy."""

    name: str
    #: `ip:port` that connections are passed to.
    target: str


_ORDER = msgspec.json.Decoder(ProxyOrder)


class ProxyControl:
    """Opens fault proxies and changes their faults over HTTP.

    :param reactor: Twisted's reactor.
    :param seed: makes jitter repeatable.
    """

    app = Klein()

    def __init__(self, reactor: Any, seed: int = 0) -> None:
        """Prepare without listening."""
        self.reactor = reactor
        self.seed = seed
        self.proxies: dict[str, FaultProxy] = {}
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
        """Stop listening, also of all proxies."""
        for proxy in self.proxies.values():
            proxy.stop()
        return cast('Deferred[None]', self.port.stopListening())

    @app.handle_errors(msgspec.DecodeError)
    def invalid(self, request: Any, failure: Any) -> bytes:
        """Answer a request that is not valid."""
        return refuse(request, failure)

    @app.handle_errors(KeyError)
    def missing(self, request: Any, failure: Any) -> bytes:
        """Answer a request about a proxy that does not exist."""
        error = {'error': f'proxy {failure.value} does not exist'}
        return reply(request, error, _NOT_FOUND)

    @app.route('/proxies', methods=['POST'])
    def open(self, request: Any) -> bytes:
        """Open a proxy and tell its address."""
        order = read_json(request, _ORDER)
        seed = self.seed + len(self.proxies)
        proxy = FaultProxy(self.reactor, order['target'], seed)
        address = proxy.start()
        self.proxies[order['name']] = proxy
        return reply(request, {'address': address}, _CREATED)

    @app.route('/proxies/<name>/faults', methods=['POST'])
    def take_faults(self, request: Any, name: str) -> bytes:
        """Replace all faults of a proxy."""
        faults = read_faults(read_body(request), ProxyFaults)
        self.proxies[name].change_faults(cast('ProxyFaults', faults))
        return self.describe(request, name)

    @app.route('/proxies/<name>/cut', methods=['POST'])
    def cut(self, request: Any, name: str) -> bytes:
        """Cut all connections of a proxy."""
        self.proxies[name].cut()
        return self.describe(request, name)

    @app.route('/proxies/<name>', methods=['GET'])
    def describe(self, request: Any, name: str) -> bytes:
        """Tell the faults and the number of connections of a proxy."""
        proxy = self.proxies[name]
        state = {
            'faults': proxy.faults,
            'accepted': proxy.accepted,
            'connections': len(proxy.connections),
            'bytes_dropped': proxy.bytes_dropped,
        }
        return reply(request, state)
