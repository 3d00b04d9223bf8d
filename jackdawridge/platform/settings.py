"""The settings file that the platform writes for a process."""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from jackdawridge.config import Settings
from jackdawridge.errors import SettingsError

if TYPE_CHECKING:
    from pathlib import Path

#: Names the file in the environment of a process.
FILE_VARIABLE = 'JACKDAWRIDGE_NODE_FILE'

#: The platform gives its processes no secret; its network is theirs alone.
SHARED_KEY = 'shared-by-all-processes'
DEPLOYMENT = 'jackdawridge'

#: Interval of the heartbeats between entries and sides, in seconds; the lease
#: of an entry's tasks outlasts two that are lost.
HEARTBEAT = 0.25
#: Part of the wait of a caller that sends a job again in which a side stops
#: the tasks of an entry that it has lost. The rest of the wait is for looking
#: at the leases (0.25 s), for stopping, and for delays of the network.
LEASE_PART = 0.54
#: Longest time for which a minion may run on without its side, in seconds.
#: It outlasts two renewals in a row that are lost: one takes `RENEWAL` and
#: the 0.1 s after which it is given up.
WORKER_LEASE = 0.7
#: Interval at which the lease at the minion is renewed, in seconds.
RENEWAL = 0.15
#: Part by which the clock of a minion may be slow.
CLOCK_DRIFT = 0.02
#: Time within the platform's grace that is left for ending, in seconds.
GRACE_MARGIN = 0.75

_MILLISECONDS = 1000


class _Listen(msgspec.Struct):
    """Addresses that the process serves, empty where it serves none."""

    front: str = ''
    ready: str = ''
    control: str = ''


class _Bounds(msgspec.Struct, rename='camel'):
    """Bounds that the platform holds the system to."""

    grace_s: float = 6
    hold_max_ms: float = 1000
    stop_timeout_ms: float = 50
    resend_ms: float = 1300


class _Store(msgspec.Struct):
    """Where the metadata store is."""

    address: str


class _BootFile(msgspec.Struct, rename='camel'):
    """The parts of the platform's file that are used."""

    node_name: str
    role: str
    ip: str
    zone: str
    #: First and last of the ports that are free for the system's own use.
    internal_ports: tuple[int, int]
    #: Control addresses of up to three machines.
    seeds: tuple[str, ...]
    platform: _Store
    listen: _Listen = msgspec.field(default_factory=_Listen)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    #: Address of the minion on a side's machine.
    app: str = ''
    service: str = ''


class NodeSettings(NamedTuple):
    """What a process on the platform knows from its file."""

    #: Those of the product.
    settings: Settings
    #: Where callers connect, empty at a side.
    caller_address: str
    #: Where the platform asks whether an entry takes connections.
    readiness_address: str
    #: Where the minion sends its heartbeats.
    heartbeat_address: str
    #: Address of the minion beside a side.
    minion_address: str
    store_address: str
    #: Time for which the minion runs on without its side, in seconds.
    worker_lease: float
    #: Longest time that a minion takes to stop a task, in seconds.
    stop_time: float


def load_node_settings(path: Path) -> NodeSettings:
    """Return what the platform's file says.

    :param path: of the file.
    :raises SettingsError: naming all that is wrong.
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
    """Return everything that is wrong with a file of the platform.

    Fields that are not known are passed over: new ones may come.

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
    """Return the product's settings for a file of the platform.

    :param boot: the parsed file.
    """
    worker_lease = min(boot.bounds.hold_max_ms / _MILLISECONDS, WORKER_LEASE)
    stop_time = boot.bounds.stop_timeout_ms / _MILLISECONDS
    document = common_document(boot)
    if boot.role == 'entry':
        document.update(
            caller_address=boot.listen.front,
            peer_address=f'{boot.ip}:{boot.internal_ports[0]}',
            log_service=boot.platform.address,
            # Minions that start are not slow at first on these deployments.
            ramp_time=0,
            orphan_time=worker_lease * (1 + CLOCK_DRIFT) + stop_time,
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
        stop_time,
    )


def common_document(boot: _BootFile) -> dict[str, object]:
    """Return the settings that both roles have.

    :param boot: the parsed file.
    """
    peer_port, last_port = boot.internal_ports
    hosts = [seed.rpartition(':')[0] for seed in boot.seeds]
    lease = boot.bounds.resend_ms / _MILLISECONDS * LEASE_PART
    return {
        'role': boot.role,
        'node': boot.node_name,
        'deployment': DEPLOYMENT,
        'failure_domain': boot.zone,
        'shared_key': SHARED_KEY,
        'operator_address': f'{boot.ip}:{last_port}',
        'entries': [f'{host}:{peer_port}' for host in hosts],
        'heartbeat': HEARTBEAT,
        'send_window': lease,
        'task_lease': lease,
        'drain': max(boot.bounds.grace_s - GRACE_MARGIN, GRACE_MARGIN),
    }
