"""The deployments that the demo can build."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping


class Deployment(NamedTuple):
    """The size and the workload of a deployment."""

    name: str
    failure_domains: tuple[str, ...]
    #: Failure domain that the demo takes out of service and back in.
    removed_domain: str
    #: Number of sides, each with a worker and a minion.
    side_count: int
    #: Cores of each worker.
    cores: int
    #: Memory of each worker, in MB.
    memory: int
    #: Name of the service that the minions offer.
    service: str
    #: Path of the requests within the service.
    request_path: str
    #: Kind of the tasks.
    task_kind: str
    teams: tuple[str, ...]


CONSORTIUM = Deployment(
    'consortium',
    ('Germiston', 'Soweto', 'Tembisa', 'Pretoria West'),
    'Soweto',
    side_count=11,
    cores=64,
    memory=262144,
    service='dispense-ledger',
    request_path='pump-ticks',
    task_kind='tank-reconciliation',
    teams=('north-buses', 'south-buses', 'west-buses'),
)
FISCALIA = Deployment(
    'fiscalia',
    ('Centro A', 'Centro B', 'Centro C'),
    'Centro B',
    side_count=11,
    cores=16,
    memory=32768,
    service='tax-calculation',
    request_path='benefit-queries',
    task_kind='vehicle-benefit',
    teams=('franchisees', 'payroll', 'fleets'),
)

#: Deployments by name.
DEPLOYMENTS: Mapping[str, Deployment] = MappingProxyType(
    {deployment.name: deployment for deployment in (CONSORTIUM, FISCALIA)}
)
