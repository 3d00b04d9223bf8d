"""The declared table of settings, and their loading and checking."""

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
_NO_DELAY = float(0)
_SECONDS = 'seconds'
_BYTES_IN_MB = 1048576


class Setting(NamedTuple):
    """One row of the table of settings."""

    name: str
    #: Used where the file does not name the setting; None if it must.
    default: object
    #: Accepted Python types of the JSON value.
    types: tuple[type, ...]
    #: Text for the user about what is accepted.
    allowed: str
    accepts: Callable[[object], bool]
    #: Roles that read the setting.
    roles: frozenset[str]


class Fault(NamedTuple):
    """One thing that is wrong with a settings file."""

    key: str
    value: object
    allowed: str

    def __str__(self) -> str:
        """Return the fault as one line for the user."""
        return (
            f'{self.key}: {self.value!r} is not valid; allowed: {self.allowed}'
        )


class Settings:
    """Checked settings of one process.

    :param role: `entry` or `side`.
    :param values: the value of each setting of the role.
    """

    def __init__(self, role: str, values: Mapping[str, object]) -> None:
        """Keep checked values; use `from_config` for unchecked ones."""
        self.role = role
        self.values = values

    @classmethod
    def from_config(cls, document: Mapping[str, object]) -> Settings:
        """Check a document and return its settings.

        :param document: the parsed settings file.
        :raises SettingsError: naming every fault.
        """
        faults = find_faults(document)
        if faults:
            lines = '; '.join(str(fault) for fault in faults)
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
        """Load and check a settings file.

        :param path: a file of JSON with comments.
        :raises SettingsError: if it cannot be read or has faults.
        """
        return cls.from_config(load_document(path))

    def text(self, name: str) -> str:
        """Return a setting that is a text.

        :param name: the setting.
        """
        return cast('str', self.values[name])

    def integer(self, name: str) -> int:
        """Return a setting that is a whole number.

        :param name: the setting.
        """
        return cast('int', self.values[name])

    def memory_bytes(self, name: str) -> int:
        """Return a setting that is given in MB, in bytes.

        :param name: the setting.
        """
        return self.integer(name) * _BYTES_IN_MB

    def number(self, name: str) -> float:
        """Return a setting that is a number.

        :param name: the setting.
        """
        return float(cast('float', self.values[name]))

    def texts(self, name: str) -> tuple[str, ...]:
        """Return a setting that is a list of texts.

        :param name: the setting.
        """
        return tuple(cast('list[str]', self.values[name]))


def load_document(path: Path) -> Mapping[str, object]:
    """Parse a file of JSON with comments.

    :param path: the file.
    :raises SettingsError: if it cannot be read or is no JSON object.
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


def find_faults(document: Mapping[str, object]) -> list[Fault]:
    """Return everything that is wrong with a settings document.

    :param document: the parsed settings file.
    """
    role = document.get('role')
    # Without a role it is not known which settings must be there, but what is
    # there can be checked.
    has_role = role in _BOTH
    roles = frozenset((cast('str', role),)) if has_role else _BOTH
    rows = {row.name: row for row in SETTINGS if row.roles & roles}
    faults = [
        _unknown(key, document[key], rows)
        for key in document
        if key not in rows
    ]
    for name, row in rows.items():
        if not has_role and name not in document and row.roles != _BOTH:
            continue
        value = document.get(name, row.default)
        if not _is_valid(row, value):
            faults.append(Fault(name, value, row.allowed))
    return faults


def _unknown(key: str, value: object, names: Iterable[str]) -> Fault:
    """Return the fault of a key that is not in the table."""
    close = difflib.get_close_matches(key, list(names), n=1)
    hint = (
        f'a known key; did you mean {close[0]!r}?' if close else 'a known key'
    )
    logger.warning(f'setting {key!r} is not known')
    return Fault(key, value, hint)


def _is_valid(row: Setting, value: object) -> bool:
    """Return whether a value fits its row."""
    if isinstance(value, bool) and bool not in row.types:
        return False
    return isinstance(value, row.types) and row.accepts(value)


def is_address(value: object) -> bool:
    """Return whether a value is `ip:port`.

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


def _addresses(value: object) -> bool:
    """Return whether a value is a list of one or more `ip:port`."""
    return (
        isinstance(value, list)
        and bool(value)
        and all(is_address(address) for address in value)
    )


def _name(value: object) -> bool:
    """Return whether a value is a name without separators."""
    return (
        isinstance(value, str) and bool(value) and not set(value) & set('/~|\n')
    )


def _between(low: float, high: float) -> Callable[[object], bool]:
    """Return a check for a number in a closed range."""
    return lambda value: low <= cast('float', value) <= high


def text_row(
    name: str,
    roles: frozenset[str],
    *,
    default: str | None = None,
    choices: tuple[str, ...] = (),
) -> Setting:
    """Return the row of a text.

    :param name: the setting.
    :param roles: the roles that read it.
    :param default: its default, None if it must be given.
    :param choices: the accepted texts; any name if empty.
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
        name, default, (str,), "a text without '/', '~' and '|'", _name, roles
    )


def number_row(
    name: str,
    roles: frozenset[str],
    default: float,
    bounds: tuple[float, float],
    unit: str,
) -> Setting:
    """Return the row of a number; whole if its default is whole.

    :param name: the setting.
    :param roles: the roles that read it.
    :param default: its default.
    :param bounds: the lowest and the highest accepted value.
    :param unit: shown to the user.
    """
    whole = isinstance(default, int)
    low, high = bounds
    noun = 'a whole number' if whole else 'a number'
    return Setting(
        name,
        default,
        (int,) if whole else (int, float),
        f'{noun} from {low} to {high} {unit}',
        _between(low, high),
        roles,
    )


def address_row(
    name: str, roles: frozenset[str], default: str | None = None
) -> Setting:
    """Return the row of an `ip:port`.

    :param name: the setting.
    :param roles: the roles that read it.
    :param default: its default, None if it must be given.
    """
    return Setting(name, default, (str,), 'ip:port', is_address, roles)


def _key(value: object) -> bool:
    """Return whether a value is long enough for a shared key."""
    return isinstance(value, str) and len(value) >= _MIN_KEY_LENGTH


#: Every setting of every role.
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
        _key,
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
    Setting('entries', None, (list,), 'a list of ip:port', _addresses, _BOTH),
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
    # Cores stand idle between the end of a task and the start of the next;
    # a little too much work only slows all tasks a little, unlike memory.
    number_row('core_oversubscription', _SIDE, 1.3, (1, 4), 'times the cores'),
    number_row('memory', _SIDE, 32768, (1, 67108864), 'MB'),
    number_row('accelerators', _SIDE, 0, (0, 64), 'accelerators'),
    number_row('minion_slots', _SIDE, 8, (1, 4096), 'slots'),
    number_row('minion_connections', _SIDE, 64, (1, 4096), 'connections'),
    number_row('heartbeat', _BOTH, 1.0, (0.05, 10), _SECONDS),
    number_row('send_window', _BOTH, 3.0, (0.2, 60), _SECONDS),
    number_row('task_lease', _BOTH, 6.0, (0.5, 120), _SECONDS),
    # Added to the wait for a silent side where its tasks may run again: the
    # worker may go on for this time after its side has died.
    number_row('orphan_time', _ENTRY, _NO_DELAY, (0, 120), _SECONDS),
    text_row(
        'policy',
        _ENTRY,
        default='room',
        choices=('room', 'random', 'round-robin', 'least-load'),
    ),
    number_row('ramp_time', _ENTRY, 2.0, (0, 60), _SECONDS),
    number_row('answer_retention', _ENTRY, 600.0, (1, 86400), _SECONDS),
    number_row('answer_limit', _ENTRY, 20000, (1, 10000000), 'answers'),
    number_row('answer_memory', _ENTRY, 16, (1, 1048576), 'MB'),
    number_row('request_answer_memory', _ENTRY, 4, (2, 1048576), 'MB'),
    number_row('payload_memory', _ENTRY, 8, (4, 1048576), 'MB'),
    number_row('body_memory', _ENTRY, 8, (4, 1048576), 'MB'),
    number_row('job_limit', _ENTRY, 20000, (1, 10000000), 'open jobs'),
    number_row('job_tasks', _ENTRY, 710, (1, 100000), 'tasks a job'),
    number_row('ticket_limit', _ENTRY, 20000, (1, 10000000), 'unused tickets'),
    number_row('request_limit', _ENTRY, 4096, (1, 1000000), 'open requests'),
    number_row('request_queue', _ENTRY, 1024, (1, 1000000), 'waiting requests'),
    number_row('queue_limit', _ENTRY, 30000, (1, 10000000), 'queued tasks'),
    number_row('link_delay', _BOTH, _NO_DELAY, (0, 1), 'seconds, for trials'),
    number_row('freshness', _SIDE, 2.5, (0.2, 60), _SECONDS),
    text_row('log_stream', _ENTRY, default='configuration'),
    number_row('log_poll', _ENTRY, 0.3, (0.05, 10), _SECONDS),
    number_row('snapshot_interval', _ENTRY, 600.0, (1, 86400), _SECONDS),
    number_row('drain', _BOTH, 20.0, (0.1, 3600), _SECONDS),
    number_row('entries_per_side', _BOTH, 5, (1, 64), 'entries'),
)
