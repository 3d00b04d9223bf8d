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
    """Start a process with fault proxies and return its control address."""
    node = StandInNode(tmp_path_factory.mktemp('proxy'), 'proxy', ['proxy'])
    yield node.wait_ready()
    node.close()


def make_deployment(
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
def long_lived(
    tmp_path_factory: pytest.TempPathFactory,
    proxies: str,
    request: pytest.FixtureRequest,
) -> Iterator[Deployment]:
    """Return a started deployment that the tests of a module share."""
    with make_deployment(tmp_path_factory, proxies, request) as deployment:
        yield deployment


@pytest.fixture(scope='module')
def short_lease(
    tmp_path_factory: pytest.TempPathFactory,
    proxies: str,
    request: pytest.FixtureRequest,
) -> Iterator[Deployment]:
    """Return a deployment with short leases, shared by a module."""
    with make_deployment(
        tmp_path_factory, proxies, request, settings=SHORT_LEASES
    ) as deployment:
        yield deployment


@pytest.fixture
def shared(long_lived: Deployment) -> Deployment:
    """Return the shared deployment, with no faults and no running tasks."""
    long_lived.reset()
    return long_lived


@pytest.fixture
def shared_short_lease(short_lease: Deployment) -> Deployment:
    """Return the shared deployment with short leases, reset for the test."""
    short_lease.reset()
    return short_lease


@pytest.fixture
def deploy(
    tmp_path: Path, proxies: str, request: pytest.FixtureRequest
) -> Iterator[Deploy]:
    """Return a function that starts a deployment and ends it after the test."""
    seed = request.config.getoption('--seed')
    with ExitStack() as stack:
        yield lambda **options: stack.enter_context(
            Deployment(tmp_path, seed=seed, control=proxies, **options)
        )
