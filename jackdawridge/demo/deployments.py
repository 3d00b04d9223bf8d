"""The deployments that the demo can build in small."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping


class Deployment(NamedTuple):
    """What a deployment consists of."""

    name: str
    failure_domains: tuple[str, ...]
    #: Failure domain that the demo takes out of service.
    removed: str
    sides: int
    #: Cores of each worker.
    cores: int
    #: Memory of each worker in MB.
    memory: int
    #: Service of the minions.
    service: str
    #: Path of the requests to the service.
    path: str
    #: Kind of the tasks.
    task_kind: str
    teams: tuple[str, ...]


CONSORTIUM = Deployment(
    'consortium',
    ('Germiston', 'Soweto', 'Tembisa', 'Pretoria West'),
    'Soweto',
    sides=11,
    cores=64,
    memory=262144,
    service='dispense-ledger',
    path='pump-ticks',
    task_kind='tank-reconciliation',
    teams=('north-buses', 'south-buses', 'west-buses'),
)
FISCALIA = Deployment(
    'fiscalia',
    ('Centro A', 'Centro B', 'Centro C'),
    'Centro B',
    sides=11,
    cores=16,
    memory=32768,
    service='tax-calculation',
    path='benefit-queries',
    task_kind='vehicle-benefit',
    teams=('franchisees', 'payroll', 'fleets'),
)

#: Deployments by name.
DEPLOYMENTS: Mapping[str, Deployment] = MappingProxyType(
    {each.name: each for each in (CONSORTIUM, FISCALIA)}
)
