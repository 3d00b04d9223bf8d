"""Tests of the platform adapters: decoding, validation and requests."""

from __future__ import annotations

import json
import struct
import tracemalloc
from typing import TYPE_CHECKING, Any

import msgspec
import pytest
from result import Err
from twisted.internet.defer import ensureDeferred

from jackdawridge.application import Application
from jackdawridge.cmd.main import main
from jackdawridge.deployment.state import DeploymentState, Queue
from jackdawridge.errors import PeerUnavailableError, SettingsError
from jackdawridge.execution.leased_target import (
    HoldOrder,
    OtherIncarnationError,
    Run,
    StartOrder,
)
from jackdawridge.execution.messages import TaskKey
from jackdawridge.execution.starter import format_task_id
from jackdawridge.execution.worker import AnswerLostError
from jackdawridge.platform.heartbeats import read_heartbeat
from jackdawridge.platform.jobs import (
    MAX_PAYLOAD_BYTES,
    UnsupportedJob,
    read_job,
)
from jackdawridge.platform.minion import MinionClient
from jackdawridge.platform.operators import OperatorRecords, read_configuration
from jackdawridge.platform.settings import load_node_settings
from jackdawridge.platform.store import Record, apply_record, parse_records
from jackdawridge.submission.jobs import JobSpec
from jackdawridge.util.http_connection import HttpResponse

if TYPE_CHECKING:
    from pathlib import Path

ENTRY_FILE = """
nodeName = "front-1"
role = "entry"
machineClass = "front"
serves = ["front", "control"]
ip = "10.1.0.13"
zone = "soweto"
region = "gauteng"
internalPorts = [7720, 7735]
seeds = ["10.1.0.13:8166", "10.2.0.30:8166"]
aFieldOfTomorrow = {a = 1}
[listen]
front = "10.1.0.13:8161"
ready = "10.1.0.13:8167"
control = "10.1.0.13:8166"
[limits]
cpuShare = 0.717
cores = 3
[bounds]
graceS = 6
holdMaxMs = 1000
stopTimeoutMs = 50
resendMs = 1300
[platform]
address = "10.200.1.7:8169"
form = "log"
"""
SIDE_FILE = ENTRY_FILE.replace('role = "entry"', 'role = "side"').replace(
    'region = "gauteng"',
    'region = "gauteng"\napp = "10.1.0.13:8165"\nservice = "ledger"',
)
QUEUE = Queue('fills', 'a.example', '/fills/', 'ledger', 1, 3, 1.6, 0.06)
HEARTBEAT = {
    'service': 'ledger',
    'address': '10.1.0.13:8165',
    'zone': 'soweto',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'coldRemainingMs': 0,
    'capacity': {'cpu': 16000, 'memMb': 32768, 'gpu': 0},
    'labels': ['a', 'r1-3'],
    'clockMs': 482113,
    'seq': 4,
    'born': 1768840776800,
}


def make_job(**changes: Any) -> bytes:
    """Return a supported job as JSON, with changed top-level fields."""
    document: dict[str, Any] = {
        'spec': 'text',
        'bestEffort': True,
        'steps': [{'count': 2, 'cpu': 500, 'memMb': 64, 'estDurationMs': 400}],
    }
    return json.dumps(document | changes).encode()


#: Value of the setting `job_tasks`.
MAX_TASKS = 710


class TestSettings:
    def write(self, tmp_path: Path, text: str) -> Path:
        path = tmp_path / 'boot.toml'
        path.write_text(text)
        return path

    def test_entry(self, tmp_path: Path) -> None:
        node = load_node_settings(self.write(tmp_path, ENTRY_FILE))
        assert node.caller_address == '10.1.0.13:8161'
        assert node.store_address == '10.200.1.7:8169'
        settings = node.settings
        assert settings.role == 'entry'
        assert settings.text('failure_domain') == 'soweto'
        assert settings.number('entry_capacity') == pytest.approx(2.151)
        assert settings.texts('entries') == (
            '10.1.0.13:7720',
            '10.2.0.30:7720',
        )

    def test_side(self, tmp_path: Path) -> None:
        node = load_node_settings(self.write(tmp_path, SIDE_FILE))
        assert node.settings.role == 'side'
        assert node.minion_address == '10.1.0.13:8165'
        assert node.heartbeat_address == '10.1.0.13:8166'

    def test_tasks_of_a_lost_entry_stop_before_callers_resend(
        self, tmp_path: Path
    ) -> None:
        for resend in (1000, 1300, 2000):
            text = ENTRY_FILE.replace('1300', str(resend))
            node = load_node_settings(self.write(tmp_path, text))
            lease = node.settings.number('task_lease')
            check_interval = max(0.25, lease / 6)
            assert lease + check_interval + node.stop_time < resend / 1000

    def test_minion_lease_is_within_the_platform_limit(
        self, tmp_path: Path
    ) -> None:
        text = ENTRY_FILE.replace('holdMaxMs = 1000', 'holdMaxMs = 400')
        node = load_node_settings(self.write(tmp_path, text))
        assert node.worker_lease == pytest.approx(0.4)

    @pytest.mark.parametrize(
        ('old', 'new', 'expected_text'),
        [
            ('nodeName = "front-1"', '', 'node_name'),
            ('[7720, 7735]', '"7720"', 'internal_ports'),
            ('role = "entry"', 'role = "cook"', 'role'),
            ('[listen]', '[listen', ''),
        ],
    )
    def test_error_names_the_fault(
        self, tmp_path: Path, old: str, new: str, expected_text: str
    ) -> None:
        path = self.write(tmp_path, ENTRY_FILE.replace(old, new))
        with pytest.raises(SettingsError) as raised:
            load_node_settings(path)
        assert expected_text.replace('_', '') in str(
            raised.value
        ).lower().replace('_', '')

    def test_check_settings_names_every_fault(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        text = ENTRY_FILE.replace('[7720, 7735]', '"7720"').replace(
            'zone = "soweto"', ''
        )
        path = self.write(tmp_path, text)
        assert main(['check-settings', str(path)]) == 2
        printed = capsys.readouterr().err
        assert 'internalPorts' in printed
        assert 'zone: is missing' in printed
        assert (
            main(['check-settings', str(self.write(tmp_path, SIDE_FILE))]) == 0
        )

    def test_missing_file(self, tmp_path: Path) -> None:
        with pytest.raises(SettingsError):
            load_node_settings(tmp_path / 'none')


class TestConfiguration:
    document = {
        'version': 7,
        'routes': [
            {
                'name': 'r-1',
                'host': 'a.example',
                'pathPrefix': '/fills/',
                'kind': 'non_idempotent',
                'timeoutMs': 1500,
                'targetLatencyMs': 60,
                'priority': 1,
                'service': 'ledger',
                'maxAttempts': 2,
                'stretch': 1.6,
            }
        ],
        'services': [],
        'limits': {'maxBodyBytes': 1000},
    }

    def test_queue(self) -> None:
        deployment = read_configuration(json.dumps(self.document).encode())
        assert deployment.version == 7
        assert deployment.queues == (
            Queue('r-1', 'a.example', '/fills/', 'ledger', 1, 2, 1.6, 0.06),
        )
        assert deployment.limits.max_body_bytes == 1000

    @pytest.mark.parametrize(
        ('advice', 'needs_advice'), [({'decideMs': 20}, True), (None, False)]
    )
    def test_queue_with_advice(
        self, advice: object, needs_advice: bool
    ) -> None:
        document: Any = json.loads(json.dumps(self.document))
        document['routes'][0]['advice'] = advice
        deployment = read_configuration(json.dumps(document).encode())
        needs = [queue.needs_advice for queue in deployment.queues]
        assert needs == [needs_advice]

    def test_records_are_applied(self) -> None:
        events: list[object] = []
        application: Any = Application.__new__(Application)
        application.events = type(
            'Events', (), {'emit': lambda _, *args: events.append(args)}
        )()
        state = DeploymentState()
        records = OperatorRecords(application, state)
        content = json.dumps(self.document).encode()
        records.apply(
            {
                'config': Record('config', content, 0),
                'evacuate/soweto': Record('evacuate/soweto', b'{}', 1),
            }
        )
        assert state.version == 7
        assert state.out_of_service == {'soweto'}
        records.apply({'config': Record('config', b'garbage', 2)})
        assert state.version == 7
        assert not state.out_of_service
        assert ('deployment_changed',) in events


class TestRecords:
    header = struct.pack('>QQ', 5, 0)

    def record(self, key: bytes, value: bytes) -> bytes:
        content = bytes((len(key),)) + key + value
        return struct.pack('>I', len(content)) + content

    def test_records_of_a_read(self) -> None:
        body = self.header + self.record(b'a', b'1') + self.record(b'b', b'')
        page = parse_records(body, 3, 'store')
        assert page.end == 5
        assert page.records == (Record('a', b'1', 3), Record('b', b'', 4))

    def test_record_with_an_invalid_key_is_skipped(self) -> None:
        invalid = self.record(b'\xff\xfe', b'1') + struct.pack('>I', 0)
        body = self.header + invalid + self.record(b'a', b'2')
        page = parse_records(body, 3, 'store')
        assert page.end == 6
        assert page.records == (Record('a', b'2', 5),)

    def test_read_without_records(self) -> None:
        assert parse_records(self.header, 5, 'store').end == 5

    def test_truncated_body_is_refused(self) -> None:
        complete = self.header + self.record(b'a', b'12345')
        for length in (3, len(self.header) + 2, len(complete) - 1):
            with pytest.raises(PeerUnavailableError):
                parse_records(complete[:length], 0, 'store')

    def test_older_record_is_ignored(self) -> None:
        records: dict[str, Record] = {}
        apply_record(records, Record('a', b'new', 9))
        apply_record(records, Record('a', b'old', 4))
        assert records['a'].value == b'new'

    def test_empty_value_deletes_the_key(self) -> None:
        records: dict[str, Record] = {}
        apply_record(records, Record('a', b'1', 1))
        apply_record(records, Record('a', b'', 2))
        assert not records


class TestJobs:
    def test_supported_job(self) -> None:
        spec = read_job(make_job(), QUEUE, MAX_TASKS).unwrap()
        assert isinstance(spec, JobSpec)
        assert len(spec.tasks) == 2
        assert spec.tasks[0].cores == pytest.approx(0.5)
        assert spec.attempts == 3
        assert spec.reruns

    @pytest.mark.parametrize(
        'content',
        [
            b'',
            b'[]',
            b'{"spec":1}',
            b'\xff',
            make_job(steps=[]),
            make_job(steps=[{'count': 0}]),
            make_job(steps=[{'count': 1, 'cpu': -1}]),
            make_job(steps=[{'count': 1, 'memMb': 10**19}]),
            make_job(steps=[{'count': 1, 'estDurationMs': 1e300}]),
            make_job(steps=[{'count': 711}]),
            make_job(spec='x' * (MAX_PAYLOAD_BYTES + 1)),
        ],
    )
    def test_invalid_job_is_refused(self, content: bytes) -> None:
        decoded = read_job(content, QUEUE, MAX_TASKS)
        assert isinstance(decoded, Err)
        assert decoded.err_value

    def test_too_many_steps_are_not_decoded(self) -> None:
        """174,000 steps in 2 MB took 42 MB of memory."""
        content = make_job(steps=[{'count': 1} for _ in range(174000)])
        tracemalloc.start()
        decoded = read_job(content, QUEUE, MAX_TASKS)
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        assert isinstance(decoded, Err)
        assert peak < 10 * len(content)

    @pytest.mark.parametrize(
        'content',
        [
            make_job(bestEffort=False),
            make_job(repeatCount=3),
            make_job(steps=[{'count': 1}, {'count': 1, 'dependsOn': [0]}]),
            make_job(steps=[{'count': 1, 'gang': True}]),
            make_job(steps=[{'count': 1, 'requiredLabel': 'b'}]),
            make_job(steps=[{'count': 1, 'antiAffinity': 1}]),
            make_job(steps=[{'count': 1, 'longRunning': True}]),
        ],
    )
    def test_unsupported_job_is_refused_with_a_reason(
        self, content: bytes
    ) -> None:
        spec = read_job(content, QUEUE, MAX_TASKS).unwrap()
        assert isinstance(spec, UnsupportedJob)
        assert spec.reason

    def test_queue_with_an_advisor_is_unsupported(self) -> None:
        spec = read_job(
            make_job(), QUEUE._replace(needs_advice=True), MAX_TASKS
        ).unwrap()
        assert isinstance(spec, UnsupportedJob)


class TestHeartbeats:
    def test_valid_heartbeat(self) -> None:
        heartbeat = read_heartbeat('i-1', json.dumps(HEARTBEAT).encode())
        assert heartbeat.incarnation == 1768840776800
        assert heartbeat.clock == pytest.approx(482.113)
        assert heartbeat.room.cores == 16
        assert not heartbeat.draining

    @pytest.mark.parametrize(
        ('labels', 'worker_kind'),
        [(['b', 'r1-3'], 'b'), ([], ''), (None, ''), (['k' * 999], 'k' * 64)],
    )
    def test_first_label_is_the_kind_of_the_worker(
        self, labels: list[str] | None, worker_kind: str
    ) -> None:
        content = json.dumps(HEARTBEAT | {'labels': labels}).encode()
        assert read_heartbeat('i-1', content).worker_kind == worker_kind

    @pytest.mark.parametrize(
        'changes',
        [
            {'state': 'dancing'},
            {'labels': [7]},
            {'seq': 'four'},
            {'capacity': None},
            {'born': None},
        ],
    )
    def test_invalid_heartbeat_is_refused(
        self, changes: dict[str, object]
    ) -> None:
        with pytest.raises(msgspec.MsgspecError):
            read_heartbeat('i-1', json.dumps(HEARTBEAT | changes).encode())


class FakeHttpClient:
    """Records each request and returns the given answer."""

    def __init__(self, status: int, body: bytes) -> None:
        self.answer = HttpResponse(status, body, None)  # type: ignore[arg-type]
        self.calls: list[tuple[Any, ...]] = []

    async def ask(self, *call: Any) -> HttpResponse:
        self.calls.append(call)
        return self.answer


class TestMinion:
    def client(
        self, status: int, body: bytes
    ) -> tuple[MinionClient, FakeHttpClient]:
        minion = MinionClient(None, '10.1.0.13:8165')
        http_client: Any = FakeHttpClient(status, body)
        minion.client = http_client
        minion.minion_id = 'i-1'
        return minion, http_client

    def outcome(self, call: Any) -> Any:
        outcomes: list[Any] = []
        ensureDeferred(call).addBoth(outcomes.append)
        return outcomes[0]

    def test_report(self) -> None:
        body = {
            'clockMs': 5000,
            'born': 77,
            'running': [['abc.0.0.1', 7, '', 50, 1]],
            'endedRuns': [
                [1, 'abc.0.0.2', 4, 'done', ''],
                [2, 'abc.0.0.3', 5, 'failed', ''],
                [3, 'abc.0.0.4', 6, 'lapsed', ''],
            ],
        }
        minion, http_client = self.client(200, json.dumps(body).encode())
        report = self.outcome(minion.hold(HoldOrder(9, 0, 5.7, 0.2)))
        assert report.incarnation == 77
        assert report.running == {Run('abc.0.0.1', 7)}
        outcomes = [end.outcome for end in report.ends]
        assert outcomes == ['succeeded', 'failed', 'stopped']
        sent = http_client.calls[0]
        assert sent[2] == {
            'fence': 9,
            'lastSeen': 0,
            'deadlineMs': 5700,
            'waitMs': 200,
        }
        assert sent[4] == {'Expect-Instance': 'i-1'}

    def test_identification_names_the_expected_minion(self) -> None:
        """It grants no lease and leaves the addressed minion as it is."""
        body = {'clockMs': 5, 'born': 77, 'running': [], 'endedRuns': []}
        minion, http_client = self.client(200, json.dumps(body).encode())
        report = self.outcome(minion.identify('i-2', 9))
        assert report.incarnation == 77
        sent = http_client.calls[0]
        assert sent[2] == {'fence': 9, 'lastSeen': 0}
        assert sent[4] == {'Expect-Instance': 'i-2'}
        assert minion.minion_id == 'i-1'

    def test_identification_by_another_minion_is_an_error(self) -> None:
        minion, _ = self.client(421, b'')
        failure = self.outcome(minion.identify('i-2', 9))
        assert failure.check(OtherIncarnationError)

    @pytest.mark.parametrize(
        ('status', 'body', 'started'),
        [
            (200, b'{"clockMs":1}', True),
            (409, b'{"clockMs":1,"reason":"late"}', False),
            (409, b'{"clockMs":1,"reason":"old"}', False),
            (503, b'', False),
            (429, b'', False),
        ],
    )
    def test_start(self, status: int, body: bytes, *, started: bool) -> None:
        minion, _ = self.client(status, body)
        order = StartOrder(Run('abc.0.0.1', 3), b'spec', 5, 9)
        assert self.outcome(minion.start(order)).started is started

    @pytest.mark.parametrize(
        ('status', 'body', 'error'),
        [
            (409, b'{"reason":"fence"}', 'FencedError'),
            (421, b'', 'OtherIncarnationError'),
            (500, b'', 'AnswerLostError'),
            (409, b'garbage', 'AnswerLostError'),
        ],
    )
    def test_stop_raises(self, status: int, body: bytes, error: str) -> None:
        minion, _ = self.client(status, body)
        failure = self.outcome(minion.stop(Run('abc.0.0.1', 3), 9))
        assert failure.type.__name__ == error

    def test_invalid_report_is_an_error(self) -> None:
        minion, _ = self.client(200, b'{"running":7}')
        failure = self.outcome(minion.hold(HoldOrder(9, 0, None, 0)))
        assert failure.check(AnswerLostError)

    def test_task_name(self) -> None:
        minion, _ = self.client(200, b'')
        key = TaskKey('10.1.0.1:1~inc~~0123456789abcdef', 4, 99)
        assert minion.task_name(format_task_id(key)) == '0123456789abcdef.0.0.4'
