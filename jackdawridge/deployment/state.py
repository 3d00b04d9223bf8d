"""State of the configuration in force."""

from __future__ import annotations

from typing import NamedTuple


class Queue(NamedTuple):
    """A job queue, addressed by the host and the path of a request."""

    name: str
    host: str
    #: Path prefix of its jobs, with a trailing slash.
    prefix: str
    #: Service whose workers run its tasks.
    service: str
    #: Rank among the queues; the lowest number is served first.
    priority: int
    #: Number of failed runs of a task at which the job fails.
    attempts: int
    #: Factor on the expected run time up to which a job is on time.
    stretch: float
    #: Time added to the stretched run time, in seconds.
    allowance: float
    #: Whether an advisor decides where its tasks may run.
    needs_advice: bool = False


class CallerLimits(NamedTuple):
    """Limits on requests from callers."""

    max_header_bytes: int
    max_body_bytes: int
    #: Maximum time for the headers of a request to arrive, in seconds.
    header_timeout: float
    #: Time without a request after which a connection is closed, in seconds.
    idle_timeout: float


class Deployment(NamedTuple):
    """One version of the configuration that operators have written."""

    version: int
    queues: tuple[Queue, ...]
    limits: CallerLimits


class QueueTable:
    """Finds the queue that a request is addressed to.

    :param queues: all queues in force.
    """

    def __init__(self, queues: tuple[Queue, ...] = ()) -> None:
        """Index the queues by host, the longest prefix first."""
        self.by_host: dict[str, list[Queue]] = {}
        for queue in sorted(queues, key=prefix_length, reverse=True):
            self.by_host.setdefault(queue.host.lower(), []).append(queue)

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of the path, or None.

        :param host: host of the request, with or without a port.
        :param path: path of the request, without its query.
        """
        name = host.lower().partition(':')[0]
        for queue in self.by_host.get(name, ()):
            if path.startswith(queue.prefix):
                return queue
        return None


class DeploymentState:
    """The configuration in force; its version never decreases."""

    def __init__(self) -> None:
        """Start without a configuration."""
        self.current: Deployment | None = None
        self.table = QueueTable()
        #: Names of the failure domains that are out of service.
        self.out_of_service: frozenset[str] = frozenset()
        #: Whether the failure domains out of service have been read.
        self.knows_domains = False

    @property
    def version(self) -> int:
        """Return the version in force, or 0 if there is none."""
        return self.current.version if self.current else 0

    def adopt(self, deployment: Deployment) -> bool:
        """Put a configuration in force if it is newer than the current one.

        :param deployment: the configuration that was read.
        :returns: whether it was put in force.
        """
        if deployment.version <= self.version:
            return False
        self.current = deployment
        self.table = QueueTable(deployment.queues)
        return True

    def update_out_of_service(self, domains: frozenset[str]) -> frozenset[str]:
        """Replace the set of failure domains that are out of service.

        :param domains: the names of all domains out of service.
        :returns: the names of the domains whose state has changed.
        """
        changed = self.out_of_service ^ domains
        self.out_of_service = domains
        self.knows_domains = True
        return changed


def prefix_length(queue: Queue) -> int:
    """Return the length of a queue's path prefix.

    :param queue: the queue.
    """
    return len(queue.prefix)
