"""Exceptions of the system, each with a category for the user."""

from __future__ import annotations

import enum


class Category(enum.Enum):
    """Kind of an error, which tells the user how to react to it."""

    #: The input is invalid and has to be corrected.
    invalid = 'invalid'
    #: An object named in the input does not exist.
    missing = 'missing'
    #: The input conflicts with the current state.
    conflict = 'conflict'
    #: The system refuses work because of overload; retry later.
    overloaded = 'overloaded'
    #: A peer or the platform does not answer; retry later.
    unavailable = 'unavailable'
    #: It is unknown whether the work was carried out.
    unknown = 'unknown'
    #: An error in the system itself.
    internal = 'internal'


class JackdawridgeError(Exception):
    """Base class of all exceptions of the system.

    :param message: description of the error, with the invalid value and the
        allowed ones.
    :param step: operation that has failed.
    :param peer: process or service at the other end, or an empty string.
    """

    category = Category.internal

    def __init__(self, message: str, *, step: str = '', peer: str = '') -> None:
        """Create an error."""
        super().__init__(message)
        #: Description of the error.
        self.message = message
        #: Operation that has failed, or an empty string.
        self.step = step
        #: Process or service at the other end, or an empty string.
        self.peer = peer

    def __str__(self) -> str:
        """Return the message, followed by the step and the peer if known."""
        details = [
            f'{name} {value}'
            for name, value in (('step', self.step), ('peer', self.peer))
            if value
        ]
        if not details:
            return self.message
        return '{0} ({1})'.format(self.message, ', '.join(details))


class SettingsError(JackdawridgeError):
    """A settings file is unreadable or has invalid settings."""

    category = Category.invalid


class WireError(JackdawridgeError):
    """A peer has sent bytes that are not a valid frame or message."""

    category = Category.invalid


class PeerUnavailableError(JackdawridgeError):
    """A peer cannot be reached or does not answer."""

    category = Category.unavailable
