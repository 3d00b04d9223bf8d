"""Checks a deployment before operators put it in force.

A deployment can be valid and still not do what was meant: a queue that no
request reaches, a limit that another one makes pointless, a version that is
not newer than the one in force.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from jackdawridge.configuration.findings import Finding, Severity

if TYPE_CHECKING:
    from collections.abc import Collection

    from jackdawridge.deployment.state import CallerLimits, Deployment, Queue

#: Shortest request head besides the host, the prefix and the job's id.
SHORTEST_HEAD = 'POST  HTTP/1.1\r\nHost: \r\n\r\n'
#: Length of the id of a job, in bytes.
JOB_ID_BYTES = 16

_LIMITS = 'limits'
_VERSION = 'version'


def find_problems(
    deployment: Deployment, services: Collection[str] | None
) -> list[Finding]:
    """Return the errors of a deployment and what is probably not meant.

    :param deployment: deployment to check.
    :param services: names of the services that it defines, None if it doesn't
        list them.
    """
    findings: list[Finding] = []
    if deployment.version < 1:
        findings.append(
            Finding(
                Severity.error,
                _VERSION,
                f'{deployment.version} is never in force: it has to be above 0',
            )
        )
    for index, queue in enumerate(deployment.queues):
        errors = _queue_errors(queue)
        if services is not None and queue.service not in services:
            errors.append(f'service {queue.service!r} is not defined')
        if head_bytes(queue) > deployment.limits.max_header_bytes:
            errors.append(
                'never matches: the head of a request has at least'
                f' {head_bytes(queue)} bytes, the limit is'
                f' {deployment.limits.max_header_bytes}'
            )
        findings.extend(_error(queue, text, index) for text in errors)
        findings.extend(
            _warning(queue, text, index) for text in _queue_warnings(queue)
        )
    findings.extend(find_duplicates(deployment.queues))
    findings.extend(find_contradictions(deployment.limits))
    return findings


def head_bytes(queue: Queue) -> int:
    """Return the length of the shortest request head that reaches a queue.

    :param queue: the queue.
    :returns: length in bytes.
    """
    address_bytes = len(queue.host) + len(queue.prefix) + JOB_ID_BYTES
    return len(SHORTEST_HEAD) + address_bytes


def find_duplicates(queues: Collection[Queue]) -> list[Finding]:
    """Return the queues whose name or address an earlier one has.

    Requests go to the first queue with the longest prefix.

    :param queues: queues in the order of the deployment.
    """
    findings: list[Finding] = []
    names: set[str] = set()
    addresses: dict[tuple[str, str], str] = {}
    for index, queue in enumerate(queues):
        if queue.name in names:
            findings.append(_error(queue, 'the name is used twice', index))
        names.add(queue.name)
        address = (queue.host.lower(), queue.prefix)
        first = addresses.get(address)
        if first is None:
            addresses[address] = queue.name
        else:
            findings.append(
                _error(
                    queue,
                    f'never matches: queue {first!r} has the same host and'
                    ' prefix and comes first',
                    index,
                )
            )
    return findings


def find_contradictions(limits: CallerLimits) -> list[Finding]:
    """Return the limits that contradict each other.

    :param limits: limits on the requests of callers.
    """
    findings: list[Finding] = []
    if min(limits) <= 0:
        findings.append(
            Finding(Severity.error, _LIMITS, 'limits have to be above 0')
        )
    if limits.header_timeout > limits.idle_timeout:
        findings.append(
            Finding(
                Severity.warning,
                _LIMITS,
                f'headers may take {limits.header_timeout:g} s, but the'
                f' connection is closed after {limits.idle_timeout:g} s'
                ' without a request',
            )
        )
    return findings


def compare(old: Deployment, new: Deployment) -> list[Finding]:
    """Return how a deployment differs from the one in force.

    :param old: deployment in force.
    :param new: deployment that is to replace it.
    """
    findings: list[Finding] = []
    if new.version <= old.version:
        findings.append(
            Finding(
                Severity.error,
                _VERSION,
                f'{new.version} is not above {old.version}, which is in force',
            )
        )
    before = {queue.name: queue for queue in old.queues}
    after = {queue.name: queue for queue in new.queues}
    index_by_name = {queue.name: row for row, queue in enumerate(new.queues)}
    findings.extend(
        _change(queue, 'is removed', -1)
        for name, queue in before.items()
        if name not in after
    )
    for name, queue in after.items():
        index = index_by_name[name]
        if name not in before:
            findings.append(_change(queue, 'is added', index))
        elif queue != before[name]:
            findings.append(
                _change(queue, _differences(before[name], queue), index)
            )
    if old.limits != new.limits:
        findings.append(
            Finding(
                Severity.change, _LIMITS, _differences(old.limits, new.limits)
            )
        )
    return findings


def _differences(old: Queue | CallerLimits, new: Queue | CallerLimits) -> str:
    """Return the fields that differ, with both values."""
    before, after = old._asdict(), new._asdict()
    return ', '.join(
        f'{field} {before[field]!r} -> {after[field]!r}'
        for field in before
        if before[field] != after[field]
    )


def _queue_errors(queue: Queue) -> list[str]:
    """Return why a queue would be reached by no request."""
    errors: list[str] = []
    if not queue.host or set(queue.host) & set(':/ '):
        errors.append(f'never matches: {queue.host!r} is not a host name')
    if not queue.prefix.startswith('/'):
        errors.append(
            f"never matches: prefix {queue.prefix!r} has to begin with '/'"
        )
    elif set(queue.prefix) & set('?# '):
        errors.append(f'never matches: prefix {queue.prefix!r} is not a path')
    return errors


def _queue_warnings(queue: Queue) -> list[str]:
    """Return what is valid in a queue and probably not meant."""
    warnings: list[str] = []
    if not queue.prefix.endswith('/'):
        warnings.append(
            f"prefix {queue.prefix!r} doesn't end with '/': only paths where"
            ' the id of a job follows at once are served'
        )
    if queue.attempts < 1:
        warnings.append(f'attempts are {queue.attempts}: treated as 1')
    if queue.stretch < 1:
        warnings.append(
            f'stretch {queue.stretch:g} is below 1: a job would have to end'
            ' sooner than its longest task'
        )
    if queue.allowance <= 0 and queue.stretch <= 1:
        warnings.append('no time is allowed besides the run time itself')
    if queue.needs_advice:
        warnings.append('jobs that need advice are refused')
    return warnings


def _error(queue: Queue, message: str, index: int) -> Finding:
    """Return an error of a queue."""
    return Finding(Severity.error, f'queue {queue.name}', message, index)


def _warning(queue: Queue, message: str, index: int) -> Finding:
    """Return a warning about a queue."""
    return Finding(Severity.warning, f'queue {queue.name}', message, index)


def _change(queue: Queue, message: str, index: int) -> Finding:
    """Return a difference of a queue."""
    return Finding(Severity.change, f'queue {queue.name}', message, index)
