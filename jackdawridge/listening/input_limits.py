"""Limits on the input of a process that its listeners share."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from jackdawridge.listening.connection_memory import ConnectionMemory
from jackdawridge.listening.refusals import Refusals
from jackdawridge.listening.turns import InputTurns
from jackdawridge.operations.metrics import add_gauge

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry

    from jackdawridge.config import Settings
    from jackdawridge.util.clock import Clock


class InputLimits(NamedTuple):
    """What all listeners of a process have in common."""

    memory: ConnectionMemory
    refusals: Refusals
    turns: InputTurns

    @classmethod
    def from_config(
        cls, settings: Settings, registry: CollectorRegistry, clock: Clock
    ) -> InputLimits:
        """Return the limits of a process and register their metrics.

        :param settings: settings of the process.
        :param registry: registry for the metrics of the process.
        :param clock: the reactor.
        """
        memory = ConnectionMemory(settings.memory_bytes('connection_memory'))
        add_gauge(
            registry,
            'connection_memory_bytes',
            'Memory that requests and unread answers of connections take',
            lambda: memory.used,
        )
        return cls(memory, Refusals(registry), InputTurns(clock))

    @classmethod
    def default(cls, clock: Clock) -> InputLimits:
        """Return limits that no other listener shares, without metrics.

        :param clock: the reactor.
        """
        return cls(ConnectionMemory(), Refusals(), InputTurns(clock))
