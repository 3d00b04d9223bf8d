"""Reloading of the settings of a running process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.errors import SettingsError
from jackdawridge.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from jackdawridge.application import Application
    from jackdawridge.config import Settings

logger = get_logger('daemon')

#: Shortest time between two reloads that no signal requests, in seconds.
POLL_INTERVAL = 1.0
#: Settings that a running process applies; the others need a restart.
RELOADABLE = frozenset(('entries',))


class SettingsReloader:
    """Reads the settings again at SIGHUP and while no entry is found.

    The settings may change without a signal. Emits `settings_changed` with the
    new `Settings` if they differ from the previous ones.

    :param application: the process, whose events are emitted.
    :param load: reads and validates the settings; raises `SettingsError`.
    """

    def __init__(
        self, application: Application, load: Callable[[], Settings]
    ) -> None:
        """Register for the events; the settings of the start are current."""
        self.application = application
        self.load = load
        self.current = application.settings
        self.loaded_at = application.clock.seconds()
        #: Time of the last reload without a signal, in seconds.
        self.polled_at = float('-inf')
        #: Fault of the last reload, empty if it succeeded.
        self.fault = ''
        application.events.connect('entries_unreachable', self.poll)

    def poll(self) -> None:
        """Reload the settings unless they were reloaded a moment ago."""
        now = self.application.clock.seconds()
        if now - self.loaded_at < POLL_INTERVAL:
            return
        if now - self.polled_at > 2 * POLL_INTERVAL:
            logger.warning(
                'no entry is reachable; reading the settings again',
                seeds=list(self.current.texts('entries')),
                step='reload settings',
            )
        self.polled_at = now
        self.reload()

    def reload(self) -> None:
        """Reload the settings; keep the current ones if they have faults."""
        self.loaded_at = self.application.clock.seconds()
        try:
            settings = self.load()
        except SettingsError as error:
            if error.message != self.fault:
                logger.error(error.message, step='reload settings')
            self.fault = error.message
            return
        self.fault = ''
        changed = find_changes(self.current, settings)
        if not changed:
            return
        self.current = settings
        logger.notice(
            'settings have changed',
            applied=sorted(changed & RELOADABLE),
            at_next_start=sorted(changed - RELOADABLE),
            step='reload settings',
        )
        self.application.events.emit('settings_changed', settings)


def find_changes(before: Settings, after: Settings) -> set[str]:
    """Return the names of the settings whose values differ.

    :param before: the previous settings.
    :param after: the new settings.
    """
    names = before.values.keys() | after.values.keys()
    return {
        name
        for name in names
        if before.values.get(name) != after.values.get(name)
    }
