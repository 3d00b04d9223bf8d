"""Exceptions of the system, each with a category that the user is shown."""

from __future__ import annotations

import enum


class Category(enum.Enum):
    """What the user can do about an error."""

    #: The input is wrong and has to change.
    invalid = 'invalid'
    #: What the input names does not exist.
    missing = 'missing'
    #: The input contradicts the current state.
    conflict = 'conflict'
    #: The system refuses work for now; ask again later.
    overloaded = 'overloaded'
    #: A peer or the platform does not answer; ask again later.
    unavailable = 'unavailable'
    #: Whether the work was done cannot be told.
    unknown = 'unknown'
    #: The system is at fault.
    internal = 'internal'


class JackdawridgeError(Exception):
    """Base of all errors of the system.

    :param message: what is wrong, naming the value and what is allowed.
    :param step: the operation during which the error arose.
    :param peer: the process or service on the other side, if any.
    """

    category = Category.internal

    def __init__(self, message: str, *, step: str = '', peer: str = '') -> None:
        """Keep the message with the step and the peer."""
        super().__init__(message)
        #: What is wrong.
        self.message = message
        #: The operation during which the error arose.
        self.step = step
        #: The process or service on the other side, or an empty string.
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
    """A settings file cannot be used."""

    category = Category.invalid


class WireError(JackdawridgeError):
    """Bytes from a peer are not a valid message."""

    category = Category.invalid


class PeerUnavailableError(JackdawridgeError):
    """A peer does not answer."""

    category = Category.unavailable
