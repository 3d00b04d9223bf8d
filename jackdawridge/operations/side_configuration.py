"""HTTP for operators about the configuration in force at a side."""

from __future__ import annotations

from typing import TYPE_CHECKING

from klein import Klein

from jackdawridge.operations.configuration import reply

if TYPE_CHECKING:
    from jackdawridge.configuration.side import SideConfiguration
    from jackdawridge.util.web import WebRequest

_OK = 200


class SideConfigurationResource:
    """Routes for operators, at a side.

    :param side: takes the configuration from entries.
    """

    app = Klein()

    def __init__(self, side: SideConfiguration) -> None:
        """Keep the configuration."""
        self.side = side

    @app.route('/v1/configuration', methods=['GET'])
    def describe(self, request: WebRequest) -> bytes:
        """Tell what is in force and whether tasks may start.

        :param request: of an operator.
        """
        return reply(request, _OK, self.side.status_document())
