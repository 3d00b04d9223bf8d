"""Fault proxies of a deployment under test."""

from __future__ import annotations

from typing import Any, NamedTuple

from tests.processes.http import request


class Proxy(NamedTuple):
    """Fault proxy on one link.

    Directions are relative to the connection: `up` is from the process that
    dialled.
    """

    control: str
    name: str
    #: Address that the proxy listens on.
    address: str

    @classmethod
    def open(cls, control: str, name: str, target: str) -> Proxy:
        """Open a proxy to a target address and return it.

        :param control: control address of the process that runs the proxy.
        :param name: name of the link.
        :param target: address that the proxy connects to.
        """
        unique = f'{name}:{target}'
        body = {'name': unique, 'target': target}
        reply = request(control, 'POST', '/proxies', body)
        return cls(control, unique, reply.body['address'])

    def set_faults(self, **faults: Any) -> None:
        """Replace all faults; without arguments, clear them."""
        path = f'/proxies/{self.name}/faults'
        assert request(self.control, 'POST', path, faults).status == 200

    def cut(self) -> None:
        """Abort all connections."""
        request(self.control, 'POST', f'/proxies/{self.name}/cut')

    def status(self) -> Any:
        """Return the state of the proxy."""
        return request(self.control, 'GET', f'/proxies/{self.name}').body
