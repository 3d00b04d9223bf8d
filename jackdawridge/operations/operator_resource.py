"""HTTP interface of every daemon for operators: health, metrics and status."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from jackdawridge.listening.routes import GET, Route, Routes

if TYPE_CHECKING:
    from collections.abc import Callable

    from prometheus_client import CollectorRegistry

    from jackdawridge.application import Application
    from jackdawridge.util.web import WebRequest

_UNAVAILABLE = 503


class OperatorResource:
    """Serves the health, the metrics and the status of the process.

    Components add their sections to the status.

    :param application: the process.
    :param registry: registry with the metrics of the process.
    """

    def __init__(
        self, application: Application, registry: CollectorRegistry
    ) -> None:
        """Register the routes; the status has no sections yet."""
        self.application = application
        self.registry = registry
        #: Functions by section of the status, which return it as a NamedTuple.
        self.sections: dict[str, Callable[[], Any]] = {}
        #: Returns whether the process has started up and can accept work.
        self.is_ready: Callable[[], bool] = lambda: True
        self.routes = Routes(
            Route('/healthz', GET, self.health),
            Route('/metrics', GET, self.metrics),
            Route('/v1/status', GET, self.status),
        )

    def health(self, request: WebRequest, _: str) -> bytes:
        """Return the health for the load balancer; 503 unless it is `ok`.

        :param request: the request of the load balancer.
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

        :param request: the request of the metrics collector.
        """
        request.setHeader('Content-Type', CONTENT_TYPE_LATEST)
        return generate_latest(self.registry)

    def status(self, request: WebRequest, _: str) -> bytes:
        """Return the status of the process with its sections as JSON.

        :param request: the request of an operator.
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
