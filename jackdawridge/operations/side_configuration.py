"""HTTP interface for operators: the configuration in force at a side."""

from __future__ import annotations

from typing import TYPE_CHECKING

from klein import Klein

from jackdawridge.operations.configuration import reply

if TYPE_CHECKING:
    from jackdawridge.configuration.side import SideConfiguration
    from jackdawridge.util.web import WebRequest

_OK = 200


class SideConfigurationResource:
    """Serves the status of the configuration at a side.

    :param side: configuration component, which follows the entries.
    """

    app = Klein()

    def __init__(self, side: SideConfiguration) -> None:
        """Create the resource; Klein binds the routes."""
        self.side = side

    @app.route('/v1/configuration', methods=['GET'])
    def status(self, request: WebRequest) -> bytes:
        """Return the position in force and whether tasks may start.

        :param request: the request of an operator.
        """
        return reply(request, _OK, self.side.status_document())
