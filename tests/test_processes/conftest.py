"""Fixtures of the tests with real processes."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import pytest

from tests.processes.deployment import SHORT_LEASES, Deployment
from tests.processes.nodes import StandInNode

Deploy = Callable[..., Deployment]


@pytest.fixture(scope='session')
def proxies(tmp_path_factory: pytest.TempPathFactory) -> Iterator[str]:
    """Return the control address of a process with fault proxies."""
    node = StandInNode(tmp_path_factory.mktemp('proxy'), 'proxy', ['proxy'])
    yield node.wait_ready()
    node.close()


def plan(
    tmp_path_factory: pytest.TempPathFactory,
    proxies: str,
    request: pytest.FixtureRequest,
    **options: Any,
) -> Deployment:
    """Return a deployment that is not started yet."""
    return Deployment(
        tmp_path_factory.mktemp('deployment'),
        seed=request.config.getoption('--seed'),
        control=proxies,
        **options,
    )


@pytest.fixture(scope='module')
def lasting(
    tmp_path_factory: pytest.TempPathFactory,
    proxies: str,
    request: pytest.FixtureRequest,
) -> Iterator[Deployment]:
    """Return a deployment that the tests of a module share."""
    with plan(tmp_path_factory, proxies, request) as deployment:
        yield deployment


@pytest.fixture(scope='module')
def lapsing(
    tmp_path_factory: pytest.TempPathFactory,
    proxies: str,
    request: pytest.FixtureRequest,
) -> Iterator[Deployment]:
    """Return one with short leases that the tests of a module share."""
    with plan(
        tmp_path_factory, proxies, request, settings=SHORT_LEASES
    ) as deployment:
        yield deployment


@pytest.fixture
def shared(lasting: Deployment) -> Deployment:
    """Return the shared deployment without faults and tasks."""
    lasting.reset()
    return lasting


@pytest.fixture
def shared_lapsing(lapsing: Deployment) -> Deployment:
    """Return the one with short leases without faults and tasks."""
    lapsing.reset()
    return lapsing


@pytest.fixture
def deploy(
    tmp_path: Path, proxies: str, request: pytest.FixtureRequest
) -> Iterator[Deploy]:
    """Return a function that starts a deployment, ended after the test."""
    seed = request.config.getoption('--seed')
    with ExitStack() as stack:
        yield lambda **plan: stack.enter_context(
            Deployment(tmp_path, seed=seed, control=proxies, **plan)
        )
