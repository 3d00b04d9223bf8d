"""HTTP for operators that every daemon serves: health, metrics, status."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from jackdawridge.operations.routes import GET, Route, Routes

if TYPE_CHECKING:
    from collections.abc import Callable

    from prometheus_client import CollectorRegistry

    from jackdawridge.application import Application
    from jackdawridge.util.web import WebRequest

_UNAVAILABLE = 503


class OperatorResource:
    """Routes that need no slice.

    :param application: the process.
    :param registry: of the process's metrics.
    """

    def __init__(
        self, application: Application, registry: CollectorRegistry
    ) -> None:
        """Start without sections in the status."""
        self.application = application
        self.registry = registry
        #: Functions that return a NamedTuple as a section of the status.
        self.sections: dict[str, Callable[[], Any]] = {}
        #: Returns whether the process can take work at all.
        self.is_ready: Callable[[], bool] = lambda: True
        self.routes = Routes(
            Route('/healthz', GET, self.health),
            Route('/metrics', GET, self.metrics),
            Route('/v1/status', GET, self.status),
        )

    def health(self, request: WebRequest, _: str) -> bytes:
        """Tell the balancer whether to send callers here.

        :param request: of the balancer.
        """
        request.setHeader('Content-Type', 'application/json')
        status = 'leaving' if self.application.draining else 'ok'
        if not self.is_ready():
            status = 'starting'
        if status != 'ok':
            request.setResponseCode(_UNAVAILABLE)
        return msgspec.json.encode({'status': status})

    def metrics(self, request: WebRequest, _: str) -> bytes:
        """Return the metrics in the text format of Prometheus.

        :param request: of the collector.
        """
        request.setHeader('Content-Type', CONTENT_TYPE_LATEST)
        return generate_latest(self.registry)

    def status(self, request: WebRequest, _: str) -> bytes:
        """Return what the process is doing.

        :param request: of an operator.
        """
        request.setHeader('Content-Type', 'application/json')
        settings = self.application.settings
        document = {
            'role': settings.role,
            'node': settings.text('node'),
            'incarnation': self.application.incarnation,
            'failure_domain': settings.text('failure_domain'),
            'draining': self.application.draining,
        }
        for name, section in self.sections.items():
            document[name] = section()._asdict()
        return msgspec.json.encode(document)
