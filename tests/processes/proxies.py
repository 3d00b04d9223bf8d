"""The fault proxies of a deployment under test."""

from __future__ import annotations

from typing import Any, NamedTuple

from tests.processes.http import request


class Proxy(NamedTuple):
    """One fault proxy.

    Directions are those of the connection: `up` is from who dialled.
    """

    control: str
    name: str
    #: Where it listens.
    address: str

    @classmethod
    def open(cls, control: str, name: str, target: str) -> Proxy:
        """Open a proxy to a target in the process of a control address."""
        unique = f'{name}:{target}'
        order = {'name': unique, 'target': target}
        reply = request(control, 'POST', '/proxies', order)
        return cls(control, unique, reply.body['address'])

    def set(self, **faults: Any) -> None:
        """Replace all faults; none if there are no arguments."""
        path = f'/proxies/{self.name}/faults'
        assert request(self.control, 'POST', path, faults).status == 200

    def cut(self) -> None:
        """Abort all connections."""
        request(self.control, 'POST', f'/proxies/{self.name}/cut')

    def describe(self) -> Any:
        """Return the state of the proxy."""
        return request(self.control, 'GET', f'/proxies/{self.name}').body
