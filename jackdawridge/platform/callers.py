"""HTTP resources for callers and for the platform's readiness checks."""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING, Any

from result import Err
from twisted.internet.defer import Deferred

from jackdawridge.listening.listeners import age_of
from jackdawridge.listening.routes import ANY, GET, Route, Routes
from jackdawridge.logs import get_logger
from jackdawridge.platform.jobs import UnsupportedJob, read_job
from jackdawridge.submission.attended import RETRY_AFTER, Outcome, Verdict
from jackdawridge.submission.documents import digest_of
from jackdawridge.submission.interface import Reply, error_body
from jackdawridge.submission.replies import write_reply
from jackdawridge.util.web import write_deferred, write_json

if TYPE_CHECKING:
    from jackdawridge.application import Application
    from jackdawridge.deployment.state import DeploymentState, Queue
    from jackdawridge.submission.attended import AttendedJobs
    from jackdawridge.util.web import WebRequest

logger = get_logger('callers')

#: Request header with the time for which the caller waits for the answer, in
#: milliseconds.
DEADLINE_HEADER = 'Deadline-Ms'
#: Wait time of callers that send no valid `DEADLINE_HEADER`, in seconds.
DEFAULT_WAIT_TIME = 30.0
#: Longest wait time of a caller, in seconds; longer ones are reduced to it.
MAX_WAIT_TIME = 600.0

_JOB_ID = re.compile('[0-9a-fA-F]{16}')
_MILLISECONDS = 1000
_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
_METHOD_NOT_ALLOWED = 405
_GONE = 410
_TOO_MANY_REQUESTS = 429
_INTERNAL_ERROR = 500
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504

#: HTTP status code for each verdict on a job.
_STATUS_CODES = {  # noqa: WPS407
    Verdict.completed: _OK,
    Verdict.failed: _OK,
    Verdict.refused: _TOO_MANY_REQUESTS,
    Verdict.given_up: _GATEWAY_TIMEOUT,
    Verdict.isolated: _UNAVAILABLE,
}


class CallerResource:
    """Serves the jobs of callers; host and path of a request select the queue.

    :param application: the process.
    :param state: the deployment in force, with its queues.
    :param jobs: runs the jobs.
    """

    def __init__(
        self,
        application: Application,
        state: DeploymentState,
        jobs: AttendedJobs,
    ) -> None:
        """Read the limit on tasks per job and register the route."""
        self.application = application
        self.state = state
        self.jobs = jobs
        self.max_tasks = application.settings.integer('job_tasks')
        self.routes = Routes(Route('/', ANY, self.serve))

    def serve(self, request: WebRequest, _: str) -> Deferred[bytes] | bytes:
        """Find the queue that a request addresses and serve the request.

        :param request: the request of a caller.
        """
        if self.application.draining:
            request.setHeader('Connection', 'close')
        if self.state.current is None:
            return refuse(
                request, _UNAVAILABLE, 'no configuration yet', RETRY_AFTER
            )
        path = request.path.decode('latin-1')
        queue = self.state.table.find(requested_host(request), path)
        if queue is None:
            return refuse(request, _NOT_FOUND, f'no queue serves {path!r}')
        job_id = path.removeprefix(queue.prefix)
        if not job_id:
            return self.count_pending(request, queue)
        if not _JOB_ID.fullmatch(job_id):
            reason = f'{path!r} does not end with 16 hexadecimal digits'
            return refuse(request, _BAD_REQUEST, reason)
        return self.serve_job(request, queue, job_id)

    def serve_job(
        self, request: WebRequest, queue: Queue, job_id: str
    ) -> Deferred[bytes] | bytes:
        """Run a job, or return the state of an open one or cancel it.

        The method decides: POST, GET or DELETE.

        :param request: the request of a caller.
        :param queue: the queue that the request addresses.
        :param job_id: id of the job, from the path.
        """
        if request.method == b'POST':
            return self.submit(request, queue, job_id)
        if request.method not in {b'GET', b'DELETE'}:
            return refuse(
                request, _METHOD_NOT_ALLOWED, 'allowed: POST, GET, DELETE'
            )
        if not self.jobs.is_open(job_id):
            return refuse(request, _GONE, 'no such job')
        if request.method == b'GET':
            return write_json(request, {'state': 'running'})
        self.jobs.abandon(job_id, 'cancelled')
        return write_json(request, {'state': 'cancelled'})

    def count_pending(self, request: WebRequest, queue: Queue) -> bytes:
        """Return the number of jobs of a queue without a started task.

        :param request: the request of a caller.
        :param queue: the queue whose jobs are counted.
        """
        if request.method != b'GET':
            return refuse(request, _METHOD_NOT_ALLOWED, 'allowed: GET')
        return write_json(
            request, {'pending': self.jobs.count_waiting(queue.name)}
        )

    def submit(
        self, request: WebRequest, queue: Queue, job_id: str
    ) -> Deferred[bytes] | bytes:
        """Run a job and answer the request when the job ends.

        :param request: the request of a caller, with the job as JSON.
        :param queue: the queue that the job was sent to.
        :param job_id: id of the job, chosen by the caller.
        """
        content = request.content.read()
        decoded = read_job(content, queue, self.max_tasks)
        if isinstance(decoded, Err):
            logger.info(
                'job rejected: not valid', job=job_id, reason=decoded.err_value
            )
            return refuse(request, _BAD_REQUEST, decoded.err_value)
        spec = decoded.ok_value
        if isinstance(spec, UnsupportedJob):
            logger.info(
                'job rejected: not supported', job=job_id, reason=spec.reason
            )
            return refuse(request, _UNAVAILABLE, spec.reason)
        # The caller has waited since it sent the request.
        age = age_of(request, self.application.clock.seconds())
        wait_time = max(read_wait_time(request) - age, 0)
        logger.info(
            'job arrives',
            job=job_id,
            queue=queue.name,
            version=self.state.version,
            tasks=len(spec.tasks),
            patience=round(wait_time, 3),
            age=round(age, 3),
        )
        submitted = self.jobs.submit(
            job_id.lower(), spec, digest_of(content), wait_time
        )
        return write_deferred(
            logger,
            request,
            submitted,
            lambda outcome: write_outcome(request, outcome),
            lambda: refuse(request, _INTERNAL_ERROR, 'internal error'),
        )


class ReadinessResource:
    """Answers the platform's readiness checks.

    :param is_ready: returns whether the process takes new connections.
    """

    def __init__(self, is_ready: Any) -> None:
        """Register the route."""
        self.is_ready = is_ready
        self.routes = Routes(Route('/v1/ready', GET, self.ready))

    def ready(self, request: WebRequest, _: str) -> bytes:
        """Return whether new connections may be sent here; 503 if not.

        :param request: the request of the platform.
        """
        ready = self.is_ready()
        if not ready:
            request.setResponseCode(_UNAVAILABLE)
        return write_json(request, {'ready': ready})


def requested_host(request: Any) -> str:
    """Return the `Host` header of a request, empty if it is absent.

    :param request: the request of a caller.
    """
    return str((request.getHeader(b'host') or b'').decode('latin-1'))


def read_wait_time(request: Any) -> float:
    """Return the time for which a caller waits for the answer, in seconds.

    :param request: the request of a caller, perhaps with `DEADLINE_HEADER`.
    """
    text = request.getHeader(DEADLINE_HEADER)
    try:
        wait_time = float(text) / _MILLISECONDS
    except (TypeError, ValueError):
        return DEFAULT_WAIT_TIME
    if not math.isfinite(wait_time):
        return DEFAULT_WAIT_TIME
    return min(max(wait_time, 0), MAX_WAIT_TIME)


def write_outcome(request: WebRequest, outcome: Outcome) -> bytes:
    """Return the body of the answer for the outcome of a job.

    :param request: the request of the caller.
    :param outcome: the outcome of the job.
    """
    status = _STATUS_CODES[outcome.verdict]
    # The log drops lines of level info first, so unsuccessful requests are
    # logged at a higher level.
    is_completed = outcome.verdict is Verdict.completed
    log = logger.info if is_completed else logger.notice
    log(
        'job answered',
        path=request.path.decode('latin-1'),
        status=status,
        reason=outcome.reason,
        retry_after=outcome.retry_after,
    )
    if outcome.verdict is Verdict.isolated:
        # The next connection of the caller may reach another entry.
        request.setHeader('Connection', 'close')
    if status != _OK:
        return refuse(request, status, outcome.reason, outcome.retry_after)
    return write_json(request, {'state': outcome.verdict.value})


def refuse(
    request: WebRequest, status: int, reason: str, retry_after: float = 0
) -> bytes:
    """Return the body of an error answer.

    :param request: the request of the caller.
    :param status: HTTP status code.
    :param reason: text for the caller.
    :param retry_after: delay before a retry in seconds, 0 to state none.
    """
    reply = Reply(status, error_body(reason), retry_after=retry_after)
    return write_reply(request, reply)
