"""The settings file that the platform writes for a process."""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from jackdawridge.config import Settings
from jackdawridge.errors import SettingsError

if TYPE_CHECKING:
    from pathlib import Path

#: Environment variable with the path of the settings file.
FILE_VARIABLE = 'JACKDAWRIDGE_NODE_FILE'

#: Not a secret: the platform hands out none, and no one else has access to the
#: network of the processes.
SHARED_KEY = 'shared-by-all-processes'
DEPLOYMENT = 'jackdawridge'

#: Interval of the heartbeats between entries and sides, in seconds. The lease
#: of an entry's tasks outlasts the loss of two heartbeats.
HEARTBEAT_INTERVAL = 0.25
#: Lease of an entry's tasks at a side, as a fraction of the time after which a
#: caller resends its job. The rest of that time is for the check of the leases
#: (every 0.25 s), for stopping the tasks, and for network delays.
TASK_LEASE_FRACTION = 0.54
#: Longest lease at the minion, in seconds, after which it stops its runs if the
#: side is silent. It outlasts two lost renewals in a row: each takes
#: `LEASE_RENEWAL_INTERVAL` and a timeout of 0.1 s.
MAX_WORKER_LEASE_TIME = 0.7
#: Interval of the renewals of the lease at the minion, in seconds.
LEASE_RENEWAL_INTERVAL = 0.15
#: Fraction by which the clock of a minion may run slow.
CLOCK_DRIFT_FRACTION = 0.02
#: Time before a caller resends its job by which the earlier runs must have
#: ended, in seconds. It covers the delays of the network and of processes.
RESEND_MARGIN_TIME = 0.1
#: Time of the platform's grace period that is kept for the shutdown after the
#: drain, in seconds.
GRACE_MARGIN_TIME = 0.75

_MILLISECONDS = 1000


class _Listen(msgspec.Struct):
    """Listening addresses as `ip:port`, empty if the role has none."""

    front: str = ''
    ready: str = ''
    control: str = ''


class _Bounds(msgspec.Struct, rename='camel'):
    """Time limits that the platform imposes."""

    grace_s: float = 6
    hold_max_ms: float = 1000
    stop_timeout_ms: float = 50
    resend_ms: float = 1300


class _Limits(msgspec.Struct, rename='camel'):
    """Resources of the machine."""

    #: Part of each processor core that the process gets.
    cpu_share: float = 0
    cores: float = 0


class _Store(msgspec.Struct):
    """Address of the metadata store."""

    address: str


class _BootFile(msgspec.Struct, rename='camel'):
    """Fields of the platform's settings file that are used."""

    node_name: str
    role: str
    ip: str
    zone: str
    #: First and last port of the range for internal use.
    internal_ports: tuple[int, int]
    #: Control addresses of up to three machines.
    seeds: tuple[str, ...]
    platform: _Store
    listen: _Listen = msgspec.field(default_factory=_Listen)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    #: Address of the minion on a side's machine.
    app: str = ''
    service: str = ''


class NodeSettings(NamedTuple):
    """Settings of a process on the platform."""

    #: The settings of the process other than those below.
    settings: Settings
    #: Address for callers as `ip:port`, empty at a side.
    caller_address: str
    #: Address for the platform's readiness checks of an entry.
    readiness_address: str
    #: Address at which a side receives the heartbeats of its minion.
    heartbeat_address: str
    #: Address of the minion beside a side.
    minion_address: str
    store_address: str
    #: Lease at the minion, in seconds: it stops its runs if its side is silent
    #: for that long.
    worker_lease: float
    #: Longest lease that the minion grants, in seconds.
    max_worker_lease: float
    #: Longest time that a minion needs to stop a task, in seconds.
    stop_time: float
    #: Time after the last sign of life of an entry, or after a stop was
    #: requested, by which the runs concerned must have ended, in seconds.
    run_end_time: float


def load_node_settings(path: Path) -> NodeSettings:
    """Return the settings from the file of the platform.

    :param path: path of the file.
    :raises SettingsError: if the file cannot be read or has faults; the message
        names every fault.
    """
    try:
        document = tomllib.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise SettingsError(f'{path}: {error}', step='load settings') from error
    faults = find_boot_faults(document)
    if faults:
        lines = '; '.join(faults)
        raise SettingsError(f'{path}: {lines}', step='load settings')
    return convert(msgspec.convert(document, _BootFile))


def find_boot_faults(document: dict[str, Any]) -> list[str]:
    """Return the faults of a settings file of the platform, one text each.

    Unknown fields are ignored, since later versions of the platform may add
    some.

    :param document: the parsed file.
    """
    faults: list[str] = []
    for field in msgspec.structs.fields(_BootFile):
        name = field.encode_name
        if name not in document:
            if field.required:
                faults.append(f'{name}: is missing')
            continue
        try:
            msgspec.convert(document[name], field.type)
        except msgspec.ValidationError as error:
            faults.append(f'{name}: {error}')
    return faults


def convert(boot: _BootFile) -> NodeSettings:
    """Convert a file of the platform to the settings of the process.

    :param boot: the parsed file.
    """
    max_worker_lease = boot.bounds.hold_max_ms / _MILLISECONDS
    worker_lease = min(max_worker_lease, MAX_WORKER_LEASE_TIME)
    stop_time = boot.bounds.stop_timeout_ms / _MILLISECONDS
    document = common_document(boot)
    if boot.role == 'entry':
        document.update(
            caller_address=boot.listen.front,
            peer_address=f'{boot.ip}:{boot.internal_ports[0]}',
            log_service=boot.platform.address,
            entry_capacity=boot.limits.cpu_share * boot.limits.cores,
            # Newly started minions run at full speed on this platform.
            ramp_time=0,
            worker_kinds='announced',
            orphan_time=worker_lease * (1 + CLOCK_DRIFT_FRACTION) + stop_time,
        )
    else:
        document.update(
            worker=boot.app,
            service=boot.service or 'none',
            core_oversubscription=1,
        )
    return NodeSettings(
        Settings.from_config(document),
        boot.listen.front,
        boot.listen.ready,
        boot.listen.control,
        boot.app,
        boot.platform.address,
        worker_lease,
        max_worker_lease,
        stop_time,
        boot.bounds.resend_ms / _MILLISECONDS - RESEND_MARGIN_TIME,
    )


def common_document(boot: _BootFile) -> dict[str, object]:
    """Return the settings that are common to both roles.

    :param boot: the parsed file.
    """
    peer_port, last_port = boot.internal_ports
    hosts = [seed.rpartition(':')[0] for seed in boot.seeds]
    lease = boot.bounds.resend_ms / _MILLISECONDS * TASK_LEASE_FRACTION
    return {
        'role': boot.role,
        'node': boot.node_name,
        'deployment': DEPLOYMENT,
        'failure_domain': boot.zone,
        'shared_key': SHARED_KEY,
        'operator_address': f'{boot.ip}:{last_port}',
        'entries': [f'{host}:{peer_port}' for host in hosts],
        # Seeds are the addresses that their entries announce.
        'seed_discovery': 0,
        'heartbeat': HEARTBEAT_INTERVAL,
        'send_window': lease,
        'task_lease': lease,
        'drain': max(
            boot.bounds.grace_s - GRACE_MARGIN_TIME, GRACE_MARGIN_TIME
        ),
    }
