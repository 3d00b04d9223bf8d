"""The HTTP control interface of a process with fault proxies."""

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
    reply,
    reply_bad_request,
)

_CREATED = 201
_NOT_FOUND = 404


class OpenProxyRequest(TypedDict):
    """Body of a request to open a proxy."""

    name: str
    #: Address to forward connections to, as `ip:port`.
    target: str


_OPEN_PROXY = msgspec.json.Decoder(OpenProxyRequest)


class ProxyControl:
    """Opens fault proxies and changes their faults over HTTP.

    :param reactor: the Twisted reactor.
    :param seed: the seed of the random jitter.
    """

    app = Klein()

    def __init__(self, reactor: Any, seed: int = 0) -> None:
        """Initialise without listening."""
        self.reactor = reactor
        self.seed = seed
        self.proxies: dict[str, FaultProxy] = {}
        self.port: Any = None

    def start(self, address: str = '127.0.0.1:0') -> str:
        """Start listening and return the bound address as `ip:port`.

        :param address: the address to listen on; port 0 for any free port.
        """
        host, _, port = address.rpartition(':')
        self.port = self.reactor.listenTCP(
            int(port), QuietSite(self.app.resource()), interface=host
        )
        return '{0}:{1}'.format(host, self.port.getHost().port)

    def stop(self) -> Deferred[None]:
        """Stop the control interface and all proxies."""
        for proxy in self.proxies.values():
            proxy.stop()
        return cast('Deferred[None]', self.port.stopListening())

    @app.handle_errors(msgspec.DecodeError)
    def handle_invalid(self, request: Any, failure: Any) -> bytes:
        """Answer a request that is not valid with status 400."""
        return reply_bad_request(request, failure)

    @app.handle_errors(KeyError)
    def handle_missing(self, request: Any, failure: Any) -> bytes:
        """Answer a request for an unknown proxy with status 404."""
        error = {'error': f'proxy {failure.value} does not exist'}
        return reply(request, error, _NOT_FOUND)

    @app.route('/proxies', methods=['POST'])
    def open(self, request: Any) -> bytes:
        """Open a proxy and return its address."""
        order = read_json(request, _OPEN_PROXY)
        seed = self.seed + len(self.proxies)
        proxy = FaultProxy(self.reactor, order['target'], seed)
        address = proxy.start()
        self.proxies[order['name']] = proxy
        return reply(request, {'address': address}, _CREATED)

    @app.route('/proxies/<name>/faults', methods=['POST'])
    def update_faults(self, request: Any, name: str) -> bytes:
        """Replace all faults of a proxy and return its status."""
        faults = read_faults(read_body(request), ProxyFaults)
        self.proxies[name].change_faults(cast('ProxyFaults', faults))
        return self.status(request, name)

    @app.route('/proxies/<name>/cut', methods=['POST'])
    def cut(self, request: Any, name: str) -> bytes:
        """Abort all connections of a proxy and return its status."""
        self.proxies[name].cut()
        return self.status(request, name)

    @app.route('/proxies/<name>', methods=['GET'])
    def status(self, request: Any, name: str) -> bytes:
        """Return the faults and the connection counts of a proxy."""
        proxy = self.proxies[name]
        status = {
            'faults': proxy.faults,
            'accepted': proxy.accepted,
            'connections': len(proxy.connections),
            'bytes_dropped': proxy.bytes_dropped,
        }
        return reply(request, status)
