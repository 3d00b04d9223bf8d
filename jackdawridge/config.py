"""Settings of a process: loading and validation."""

from __future__ import annotations

import difflib
from typing import TYPE_CHECKING, NamedTuple, cast

import jsonc

from jackdawridge.errors import SettingsError
from jackdawridge.logs import get_logger
from jackdawridge.settings_table import BOTH_ROLES, SETTINGS

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping
    from pathlib import Path

    from jackdawridge.settings_table import Setting

logger = get_logger('config')

_BYTES_PER_MB = 1048576


class InvalidSetting(NamedTuple):
    """A key of a settings file that is unknown, missing or has a bad value."""

    key: str
    #: Value in the file; the default, mostly None, if the key is missing.
    value: object
    #: Description of the accepted keys or values for the user.
    allowed: str

    def __str__(self) -> str:
        """Return a one-line description for the user."""
        return (
            f'{self.key}: {self.value!r} is not valid; allowed: {self.allowed}'
        )


class Settings:
    """Validated settings of one process.

    :param role: `entry` or `side`.
    :param values: values of all settings of the role by name.
    """

    def __init__(self, role: str, values: Mapping[str, object]) -> None:
        """Create settings of valid values; `from_config` validates them."""
        self.role = role
        self.values = values

    @classmethod
    def from_config(cls, document: Mapping[str, object]) -> Settings:
        """Validate a settings document and return its settings.

        :param document: parsed settings file.
        :raises SettingsError: if settings are invalid; names all of them.
        """
        invalid_settings = find_invalid_settings(document)
        if invalid_settings:
            lines = '; '.join(str(invalid) for invalid in invalid_settings)
            raise SettingsError(lines, step='check settings')
        role = str(document['role'])
        values = {
            row.name: document.get(row.name, row.default)
            for row in SETTINGS
            if role in row.roles
        }
        return cls(role, values)

    @classmethod
    def from_file(cls, path: Path) -> Settings:
        """Load and validate a settings file.

        :param path: path of a file of JSON with comments.
        :raises SettingsError: if the file cannot be read or settings are
            invalid.
        """
        return cls.from_config(load_document(path))

    def text(self, name: str) -> str:
        """Return the value of a setting that is a string.

        :param name: name of the setting.
        """
        return cast('str', self.values[name])

    def integer(self, name: str) -> int:
        """Return the value of a setting that is a whole number.

        :param name: name of the setting.
        """
        return cast('int', self.values[name])

    def memory_bytes(self, name: str) -> int:
        """Return the value, in bytes, of a setting that is given in MB.

        :param name: name of the setting.
        """
        return self.integer(name) * _BYTES_PER_MB

    def number(self, name: str) -> float:
        """Return the value of a setting that is a number.

        :param name: name of the setting.
        """
        return float(cast('float', self.values[name]))

    def texts(self, name: str) -> tuple[str, ...]:
        """Return the value of a setting that is a list of strings.

        :param name: name of the setting.
        """
        return tuple(cast('list[str]', self.values[name]))


def load_document(path: Path) -> Mapping[str, object]:
    """Parse a file of JSON with comments.

    :param path: path of the file.
    :raises SettingsError: if the file cannot be read or is not a JSON object.
    """
    try:
        document = jsonc.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise SettingsError(f'{path}: {error}', step='load settings') from error
    if not isinstance(document, dict):
        raise SettingsError(
            f'{path}: the settings must be one JSON object',
            step='load settings',
        )
    return document


def find_invalid_settings(
    document: Mapping[str, object],
) -> list[InvalidSetting]:
    """Return the unknown, missing and invalid settings of a document.

    :param document: parsed settings file.
    """
    role = document.get('role')
    # Without a valid role the required settings are unknown, but those that
    # are present can still be validated.
    has_role = role in BOTH_ROLES
    roles = frozenset((cast('str', role),)) if has_role else BOTH_ROLES
    rows = {row.name: row for row in SETTINGS if row.roles & roles}
    invalid_settings = [
        _unknown_setting(key, document[key], rows)
        for key in document
        if key not in rows
    ]
    for name, row in rows.items():
        if not has_role and name not in document and row.roles != BOTH_ROLES:
            continue
        value = document.get(name, row.default)
        if not _is_valid(row, value):
            invalid_settings.append(InvalidSetting(name, value, row.allowed))
    return invalid_settings


def _unknown_setting(
    key: str, value: object, names: Iterable[str]
) -> InvalidSetting:
    """Log a key that is not in the table and suggest a similar one."""
    matches = difflib.get_close_matches(key, list(names), n=1)
    allowed = (
        f'a known key; did you mean {matches[0]!r}?'
        if matches
        else 'a known key'
    )
    logger.warning(f'setting {key!r} is not known')
    return InvalidSetting(key, value, allowed)


def _is_valid(row: Setting, value: object) -> bool:
    """Return whether a value has an accepted type and is accepted.

    Python's bool is an int, but JSON's true and false are not numbers.
    """
    if isinstance(value, bool) and bool not in row.types:
        return False
    return isinstance(value, row.types) and row.accepts(value)
