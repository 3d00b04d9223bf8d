"""The table of settings: names, defaults, accepted values and roles."""

from __future__ import annotations

import ipaddress
from typing import TYPE_CHECKING, NamedTuple, cast

from jackdawridge.logs import level_names

if TYPE_CHECKING:
    from collections.abc import Callable

_ENTRY = frozenset(('entry',))
_SIDE = frozenset(('side',))
#: Roles of a process.
BOTH_ROLES = _ENTRY | _SIDE
_MAX_PORT = 65535
_MIN_KEY_LENGTH = 16
_ZERO_SECONDS = float(0)
_UNKNOWN = float(0)
_SECONDS = 'seconds'


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
    text_row('role', BOTH_ROLES, choices=('entry', 'side')),
    text_row('node', BOTH_ROLES),
    text_row('deployment', BOTH_ROLES),
    text_row('failure_domain', BOTH_ROLES),
    Setting(
        'shared_key',
        None,
        (str,),
        f'a secret text of at least {_MIN_KEY_LENGTH} characters',
        _is_shared_key,
        BOTH_ROLES,
    ),
    text_row('log_level', BOTH_ROLES, default='info', choices=level_names()),
    number_row(
        'decision_sampling', BOTH_ROLES, 1, (1, 1000000), 'lines a line kept'
    ),
    address_row('caller_address', _ENTRY),
    address_row('peer_address', _ENTRY),
    address_row('operator_address', BOTH_ROLES),
    address_row('log_service', _ENTRY),
    Setting(
        'entries',
        None,
        (list,),
        'a list of ip:port',
        _is_address_list,
        BOTH_ROLES,
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
    number_row('heartbeat', BOTH_ROLES, 1.0, (0.05, 10), _SECONDS),
    number_row('send_window', BOTH_ROLES, 3.0, (0.2, 60), _SECONDS),
    number_row('task_lease', BOTH_ROLES, 6.0, (0.5, 120), _SECONDS),
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
    number_row('connection_memory', BOTH_ROLES, 24, (4, 1048576), 'MB'),
    number_row('job_limit', _ENTRY, 20000, (1, 10000000), 'open jobs'),
    number_row('job_tasks', _ENTRY, 710, (1, 100000), 'tasks a job'),
    number_row('ticket_limit', _ENTRY, 20000, (1, 10000000), 'unused tickets'),
    number_row('request_limit', _ENTRY, 4096, (1, 1000000), 'open requests'),
    number_row('request_queue', _ENTRY, 1024, (1, 1000000), 'waiting requests'),
    number_row('queue_limit', _ENTRY, 30000, (1, 10000000), 'queued tasks'),
    number_row(
        'link_delay', BOTH_ROLES, _ZERO_SECONDS, (0, 1), 'seconds, for trials'
    ),
    number_row('freshness', _SIDE, 2.5, (0.2, 60), _SECONDS),
    text_row('log_stream', _ENTRY, default='configuration'),
    number_row('log_poll', _ENTRY, 0.3, (0.05, 10), _SECONDS),
    number_row('snapshot_interval', _ENTRY, 600.0, (1, 86400), _SECONDS),
    number_row('drain', BOTH_ROLES, 20.0, (0.1, 3600), _SECONDS),
    number_row('entries_per_side', BOTH_ROLES, 5, (1, 64), 'entries'),
    number_row('lead_links', BOTH_ROLES, 0, (0, 8), 'entries'),
    number_row('entry_capacity', _ENTRY, _UNKNOWN, (0, 4096), 'cores'),
    number_row('seed_discovery', BOTH_ROLES, 1.5, (0, 60), _SECONDS),
)
