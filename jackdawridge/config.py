"""The table of settings, with their loading and validation."""

from __future__ import annotations

import difflib
import ipaddress
from typing import TYPE_CHECKING, NamedTuple, cast

import jsonc

from jackdawridge.errors import SettingsError
from jackdawridge.logs import get_logger, level_names

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping
    from pathlib import Path

logger = get_logger('config')

_ENTRY = frozenset(('entry',))
_SIDE = frozenset(('side',))
_BOTH = _ENTRY | _SIDE
_MAX_PORT = 65535
_MIN_KEY_LENGTH = 16
_ZERO_SECONDS = float(0)
_UNKNOWN = float(0)
_SECONDS = 'seconds'
_BYTES_PER_MB = 1048576


class Setting(NamedTuple):
    """One row of the table of settings."""

    name: str
    #: Value if the setting is absent; None if the setting is required.
    default: object
    #: Python types of the accepted JSON values.
    types: tuple[type, ...]
    #: Description of the accepted values for the user.
    allowed: str
    #: Returns whether a value of one of the types is accepted.
    accepts: Callable[[object], bool]
    #: Roles that read the setting.
    roles: frozenset[str]


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
    has_role = role in _BOTH
    roles = frozenset((cast('str', role),)) if has_role else _BOTH
    rows = {row.name: row for row in SETTINGS if row.roles & roles}
    invalid_settings = [
        _unknown_setting(key, document[key], rows)
        for key in document
        if key not in rows
    ]
    for name, row in rows.items():
        if not has_role and name not in document and row.roles != _BOTH:
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


def is_address(value: object) -> bool:
    """Return whether a value is a string `ip:port`.

    :param value: any JSON value.
    """
    if not isinstance(value, str):
        return False
    host, _, port = value.rpartition(':')
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return port.isdecimal() and int(port) <= _MAX_PORT


def _is_address_list(value: object) -> bool:
    """Return whether a value is a non-empty list of `ip:port`."""
    return (
        isinstance(value, list)
        and bool(value)
        and all(is_address(address) for address in value)
    )


def _is_name(value: object) -> bool:
    """Return whether a value is a non-empty string without separators."""
    return (
        isinstance(value, str) and bool(value) and not set(value) & set('/~|\n')
    )


def _in_range(low: float, high: float) -> Callable[[object], bool]:
    """Return a predicate for numbers from low to high, both included."""
    return lambda value: low <= cast('float', value) <= high


def text_row(
    name: str,
    roles: frozenset[str],
    *,
    default: str | None = None,
    choices: tuple[str, ...] = (),
) -> Setting:
    """Return the row of a setting that is a string.

    :param name: name of the setting.
    :param roles: roles that read the setting.
    :param default: default value; None if the setting is required.
    :param choices: accepted strings; any name is accepted if empty.
    """
    if choices:
        allowed = ', '.join(choices)
        return Setting(
            name,
            default,
            (str,),
            allowed,
            lambda value: value in choices,
            roles,
        )
    return Setting(
        name,
        default,
        (str,),
        "a text without '/', '~' and '|'",
        _is_name,
        roles,
    )


def number_row(
    name: str,
    roles: frozenset[str],
    default: float,
    bounds: tuple[float, float],
    unit: str,
) -> Setting:
    """Return the row of a setting that is a number.

    Only whole numbers are accepted if the default is an int.

    :param name: name of the setting.
    :param roles: roles that read the setting.
    :param default: default value.
    :param bounds: lowest and highest accepted value.
    :param unit: unit of the value, for the user.
    """
    is_whole = isinstance(default, int)
    low, high = bounds
    noun = 'a whole number' if is_whole else 'a number'
    return Setting(
        name,
        default,
        (int,) if is_whole else (int, float),
        f'{noun} from {low} to {high} {unit}',
        _in_range(low, high),
        roles,
    )


def address_row(
    name: str, roles: frozenset[str], default: str | None = None
) -> Setting:
    """Return the row of a setting that is an `ip:port`.

    :param name: name of the setting.
    :param roles: roles that read the setting.
    :param default: default value; None if the setting is required.
    """
    return Setting(name, default, (str,), 'ip:port', is_address, roles)


def _is_shared_key(value: object) -> bool:
    """Return whether a value is a string that is long enough for a key."""
    return isinstance(value, str) and len(value) >= _MIN_KEY_LENGTH


#: Settings of all roles.
SETTINGS: tuple[Setting, ...] = (
    text_row('role', _BOTH, choices=('entry', 'side')),
    text_row('node', _BOTH),
    text_row('deployment', _BOTH),
    text_row('failure_domain', _BOTH),
    Setting(
        'shared_key',
        None,
        (str,),
        f'a secret text of at least {_MIN_KEY_LENGTH} characters',
        _is_shared_key,
        _BOTH,
    ),
    text_row('log_level', _BOTH, default='info', choices=level_names()),
    number_row(
        'decision_sampling', _BOTH, 1, (1, 1000000), 'lines a line kept'
    ),
    address_row('caller_address', _ENTRY),
    address_row('peer_address', _ENTRY),
    address_row('operator_address', _BOTH),
    address_row('log_service', _ENTRY),
    Setting(
        'entries', None, (list,), 'a list of ip:port', _is_address_list, _BOTH
    ),
    address_row('worker', _SIDE),
    Setting(
        'minion',
        '',
        (str,),
        'ip:port, or an empty text for none',
        lambda value: value == '' or is_address(value),
        _SIDE,
    ),
    text_row('service', _SIDE, default='none'),
    number_row('cores', _SIDE, 16, (1, 4096), 'cores'),
    # Cores are idle between the end of a task and the start of the next. A
    # slight oversubscription of cores, unlike one of memory, only slows all
    # tasks a little.
    number_row('core_oversubscription', _SIDE, 1.3, (1, 4), 'times the cores'),
    number_row('memory', _SIDE, 32768, (1, 67108864), 'MB'),
    number_row('accelerators', _SIDE, 0, (0, 64), 'accelerators'),
    number_row('minion_slots', _SIDE, 8, (1, 4096), 'slots'),
    number_row('minion_connections', _SIDE, 64, (1, 4096), 'connections'),
    number_row('heartbeat', _BOTH, 1.0, (0.05, 10), _SECONDS),
    number_row('send_window', _BOTH, 3.0, (0.2, 60), _SECONDS),
    number_row('task_lease', _BOTH, 6.0, (0.5, 120), _SECONDS),
    # Added to the time after which the tasks of a silent side run again: the
    # worker may continue to run them for this time after its side has died.
    number_row('orphan_time', _ENTRY, _ZERO_SECONDS, (0, 120), _SECONDS),
    text_row(
        'policy',
        _ENTRY,
        default='room',
        choices=('room', 'random', 'round-robin', 'least-load'),
    ),
    text_row(
        'worker_kinds',
        _ENTRY,
        default='ignored',
        choices=('ignored', 'announced'),
    ),
    text_row('interference', _ENTRY, default='off', choices=('off', 'avoid')),
    number_row('ramp_time', _ENTRY, 2.0, (0, 60), _SECONDS),
    number_row('answer_retention', _ENTRY, 600.0, (1, 86400), _SECONDS),
    number_row('answer_limit', _ENTRY, 20000, (1, 10000000), 'answers'),
    number_row('answer_memory', _ENTRY, 16, (1, 1048576), 'MB'),
    number_row('request_answer_memory', _ENTRY, 4, (2, 1048576), 'MB'),
    number_row('payload_memory', _ENTRY, 8, (4, 1048576), 'MB'),
    number_row('body_memory', _ENTRY, 8, (4, 1048576), 'MB'),
    number_row('connection_memory', _BOTH, 24, (4, 1048576), 'MB'),
    number_row('job_limit', _ENTRY, 20000, (1, 10000000), 'open jobs'),
    number_row('job_tasks', _ENTRY, 710, (1, 100000), 'tasks a job'),
    number_row('ticket_limit', _ENTRY, 20000, (1, 10000000), 'unused tickets'),
    number_row('request_limit', _ENTRY, 4096, (1, 1000000), 'open requests'),
    number_row('request_queue', _ENTRY, 1024, (1, 1000000), 'waiting requests'),
    number_row('queue_limit', _ENTRY, 30000, (1, 10000000), 'queued tasks'),
    number_row(
        'link_delay', _BOTH, _ZERO_SECONDS, (0, 1), 'seconds, for trials'
    ),
    number_row('freshness', _SIDE, 2.5, (0.2, 60), _SECONDS),
    text_row('log_stream', _ENTRY, default='configuration'),
    number_row('log_poll', _ENTRY, 0.3, (0.05, 10), _SECONDS),
    number_row('snapshot_interval', _ENTRY, 600.0, (1, 86400), _SECONDS),
    number_row('drain', _BOTH, 20.0, (0.1, 3600), _SECONDS),
    number_row('entries_per_side', _BOTH, 5, (1, 64), 'entries'),
    number_row('lead_links', _BOTH, 0, (0, 8), 'entries'),
    number_row('entry_capacity', _ENTRY, _UNKNOWN, (0, 4096), 'cores'),
    number_row('seed_discovery', _BOTH, 1.5, (0, 60), _SECONDS),
)
