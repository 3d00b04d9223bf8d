"""Tests of the checks of a configuration before it is sent."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import pytest

from jackdawridge.cmd.exits import Exit
from jackdawridge.cmd.main import main
from jackdawridge.configuration.records import MAX_NAME_LENGTH
from jackdawridge.deployment.state import DeploymentState, QueueTable
from jackdawridge.operations.configuration import MAX_VALUE_BYTES
from jackdawridge.platform.check import main as check_deployment
from jackdawridge.platform.operators import read_configuration

if TYPE_CHECKING:
    from pathlib import Path

ROUTE = {
    'name': 'quotes',
    'host': 'a.example',
    'pathPrefix': '/quotes/',
    'service': 'ledger',
    'maxAttempts': 2,
    'stretch': 1.6,
    'targetLatencyMs': 60,
}


def write(path: Path, document: object) -> str:
    """Write a document in several lines and return its path."""
    path.write_text(json.dumps(document, indent=1))
    return str(path)


def deployment(*routes: dict[str, Any], **fields: Any) -> dict[str, Any]:
    return {
        'version': 7,
        'routes': list(routes),
        'services': [{'name': 'ledger'}],
        **fields,
    }


#: Document with a key whose value is nested too deeply.
DEEP_ARRAY = b'{"%%s": %s%s}' % (b'[' * 100000, b']' * 100000)


class TestRecords:
    """The command `config check`."""

    def check(
        self, tmp_path: Path, *records: tuple[str, str, object]
    ) -> tuple[int, Path]:
        path = tmp_path / 'records.json'
        rows = [
            {'kind': kind, 'name': name, 'value': value}
            for kind, name, value in records
        ]
        return main(['config', 'check', write(path, {'records': rows})]), path

    def test_sound_file_has_no_findings(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        code, _ = self.check(
            tmp_path,
            ('team', 'payroll', {'quota': 200, 'weight': 2}),
            ('service', 'ledger', {'timeout': 5}),
            ('limits', 'default', {'jobs': 10}),
        )
        assert code == Exit.ok
        assert capsys.readouterr().out == ''

    @pytest.mark.parametrize(
        ('kind', 'name', 'value', 'message'),
        [
            ('team', 'payroll', {'weight': 0}, 'weight must be'),
            ('limits', 'spare', {'jobs': 1}, 'never matches'),
            ('queue', 'quotes', {}, 'has no effect'),
            ('service', 'ledger', {'timeout': 0}, 'not used'),
            (
                'service',
                'ledger',
                {
                    'idempotent_methods': ['post'],
                    'non_idempotent_methods': ['POST'],
                },
                "['POST'] are named",
            ),
        ],
    )
    def test_error_names_the_line(
        self,
        tmp_path: Path,
        capsys: pytest.CaptureFixture[str],
        kind: str,
        name: str,
        value: object,
        message: str,
    ) -> None:
        code, path = self.check(tmp_path, (kind, name, value))
        out = capsys.readouterr().out
        assert code == Exit.failed
        assert out.startswith(f'{path}:5: error: {kind} {name}: ')
        assert message in out

    def test_repeated_record_is_an_error(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        team = ('team', 'payroll', {'quota': 1})
        code, _ = self.check(tmp_path, team, team)
        assert code == Exit.failed
        assert 'stands twice' in capsys.readouterr().out

    def test_warning_is_no_error(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        code, _ = self.check(tmp_path, ('team', 'payroll', {'quota': 0}))
        assert code == Exit.ok
        assert 'warning: team payroll: quota 0' in capsys.readouterr().out

    def test_differences_are_listed(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        _, path = self.check(tmp_path, ('team', 'payroll', {'quota': 2}))
        record = {'kind': 'team', 'name': 'payroll', 'value': {'quota': 1}}
        old = write(tmp_path / 'old.json', {'records': [record]})
        assert main(['config', 'check', str(path), '--against', old]) == Exit.ok
        assert "{'quota': 1} -> {'quota': 2}" in capsys.readouterr().out

    def test_line_is_that_of_the_record(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = tmp_path / 'records.json'
        path.write_text(
            '// "a/b" is { new\n{"records": [\n'
            '{"kind": "service", "name": "a/b", "value": {}},\n'
            '/* "records": [\n */\n'
            r'{"kind": "team", "name" /* { */: "a\/b",'
            '"value": {"quota": 0}}]}',
            encoding='utf-8',
        )
        assert main(['config', 'check', str(path)]) == Exit.ok
        out = capsys.readouterr().out
        assert out.startswith(f'{path}:6: warning: team a/b: ')

    def test_versions_of_an_agreement_are_no_repetition(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        code, _ = self.check(
            tmp_path,
            ('agreement', 'fuel', {'shares': {'north': 1}}),
            ('agreement', 'fuel', {'shares': {'north': 0.5, 'south': 0.5}}),
        )
        assert code == Exit.ok
        assert capsys.readouterr().out == ''

    def test_replaced_record_is_checked(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        self.check(
            tmp_path,
            ('agreement', 'fuel', {'shares': {}}),
            ('agreement', 'fuel', {'shares': {'north': 1}}),
        )
        assert 'add up to 1' in capsys.readouterr().out

    @pytest.mark.parametrize('name', ['', 'x' * (MAX_NAME_LENGTH + 1)])
    def test_name_that_is_refused_is_an_error(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str], name: str
    ) -> None:
        code, _ = self.check(tmp_path, ('team', name, {'quota': 1}))
        assert code == Exit.failed
        assert 'name: allowed' in capsys.readouterr().out

    def test_value_that_is_too_long_is_an_error(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        limits = {'x' * MAX_VALUE_BYTES: 1}
        code, _ = self.check(tmp_path, ('limits', 'default', limits))
        assert code == Exit.failed
        assert 'value: allowed' in capsys.readouterr().out

    @pytest.mark.parametrize(
        ('value', 'has_warning'),
        [({'in_service': False}, True), (None, False)],
    )
    def test_all_domains_out_of_service_is_a_warning(
        self,
        tmp_path: Path,
        capsys: pytest.CaptureFixture[str],
        value: object,
        has_warning: bool,
    ) -> None:
        code, _ = self.check(
            tmp_path,
            ('failure_domain', 'a', {'in_service': False}),
            ('failure_domain', 'b', {'in_service': False}),
            ('failure_domain', 'c', value),
        )
        assert code == Exit.ok
        assert ('out of service' in capsys.readouterr().out) == has_warning

    @pytest.mark.parametrize(
        'record',
        [
            r'{"kind": "team", "name": "\ud800", "value": {"quota": 0}}',
            r'{"kind": "limits", "name": "default", "value": {"\ud800": 1}}',
            '{"kind": "limits", "name": "default", "value": {"jobs": NaN}}',
            '{"kind": "team", "name": "payroll", "value": {"quota": 1e999}}',
        ],
    )
    def test_value_that_cannot_be_sent_is_wrong_input(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str], record: str
    ) -> None:
        path = tmp_path / 'records.json'
        path.write_text(f'{{"records": [{record}]}}')
        assert main(['config', 'check', str(path)]) == Exit.invalid
        assert capsys.readouterr().err.startswith(f'{path}: ')

    def test_deep_nesting_is_wrong_input(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = tmp_path / 'records.json'
        path.write_bytes(DEEP_ARRAY % b'records')
        assert main(['config', 'check', str(path)]) == Exit.invalid
        assert capsys.readouterr().err.startswith(f'{path}: ')

    def test_unreadable_file_is_wrong_input(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = tmp_path / 'none.json'
        assert main(['config', 'check', str(path)]) == Exit.invalid
        assert 'none.json' in capsys.readouterr().err


class TestDeployment:
    """The check of a configuration of the platform."""

    def check(
        self,
        tmp_path: Path,
        capsys: pytest.CaptureFixture[str],
        document: dict[str, Any],
        *options: str,
    ) -> list[dict[str, Any]]:
        path = write(tmp_path / 'config.json', document)
        code = check_deployment([path, '--json', *options])
        found: list[dict[str, Any]] = json.loads(capsys.readouterr().out)
        has_errors = any(row['severity'] == 'error' for row in found)
        assert code == int(has_errors)
        return found

    def test_sound_deployment_has_no_findings(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert not self.check(tmp_path, capsys, deployment(ROUTE))

    @pytest.mark.parametrize(
        ('field', 'value', 'message'),
        [
            ('service', 'absent', 'is not defined'),
            ('host', 'a.example:80', 'is not a host name'),
            ('pathPrefix', 'quotes/', "has to begin with '/'"),
            ('pathPrefix', '/quotes?/', 'is not a path'),
            ('pathPrefix', f'/{"q" * 20000}/', 'the head of a request'),
        ],
    )
    def test_queue_without_effect_is_an_error(
        self,
        tmp_path: Path,
        capsys: pytest.CaptureFixture[str],
        field: str,
        value: object,
        message: str,
    ) -> None:
        found = self.check(
            tmp_path, capsys, deployment({**ROUTE, field: value})
        )
        assert [row['severity'] for row in found] == ['error']
        assert message in found[0]['message']
        assert found[0]['line'] == 5

    @pytest.mark.parametrize(
        ('field', 'value', 'message'),
        [
            ('pathPrefix', '/quotes', "doesn't end with '/'"),
            ('maxAttempts', 0, 'treated as 1'),
            ('stretch', 0.5, 'below 1'),
            ('advice', {'decideMs': 20}, 'need advice are refused'),
        ],
    )
    def test_queue_with_an_effect_is_no_error(
        self,
        tmp_path: Path,
        capsys: pytest.CaptureFixture[str],
        field: str,
        value: object,
        message: str,
    ) -> None:
        found = self.check(
            tmp_path, capsys, deployment({**ROUTE, field: value})
        )
        assert [row['severity'] for row in found] == ['warning']
        assert message in found[0]['message']
        assert found[0]['line'] == 5

    def test_queue_without_a_slash_is_found_by_the_product(self) -> None:
        document = deployment({**ROUTE, 'pathPrefix': '/quotes'})
        queues = read_configuration(json.dumps(document).encode()).queues
        assert QueueTable(queues).find('a.example', '/quotes0123456789abcdef')

    def test_document_without_services_is_sound(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        document = deployment(ROUTE)
        document.pop('services')
        assert not self.check(tmp_path, capsys, document)

    def test_version_that_is_never_in_force_is_an_error(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        document = deployment(ROUTE, version=0)
        found = self.check(tmp_path, capsys, document)
        assert [(row['subject'], row['line']) for row in found] == [
            ('version', 2)
        ]
        checked = read_configuration(json.dumps(document).encode())
        assert not DeploymentState().adopt(checked)

    def test_host_in_capitals_is_sound(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        document = deployment({**ROUTE, 'host': 'A.EXAMPLE'})
        assert not self.check(tmp_path, capsys, document)

    def test_limits_have_their_line(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        document = deployment({**ROUTE, 'note': ''}, limits={'maxBodyBytes': 0})
        text = json.dumps(document, indent=1).splitlines()
        found = self.check(tmp_path, capsys, document)
        assert [row['severity'] for row in found] == ['error']
        assert text[found[0]['line'] - 1].startswith(' "limits"')

    def test_same_queue_twice_has_the_line_of_the_second(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        found = self.check(tmp_path, capsys, deployment(ROUTE, ROUTE))
        assert [row['line'] for row in found] == [14, 14]
        assert 'used twice' in found[0]['message']
        assert 'never matches' in found[1]['message']

    def test_removed_queues_are_in_the_order_of_the_old_file(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        removed = [
            {**ROUTE, 'name': f'r-{number}', 'pathPrefix': f'/{number}/'}
            for number in range(9)
        ]
        old = write(tmp_path / 'old.json', deployment(*removed, version=6))
        found = self.check(tmp_path, capsys, deployment(), '--against', old)
        assert [(row['subject'], row['line']) for row in found] == [
            (f'queue r-{number}', 0) for number in range(9)
        ]

    def test_second_queue_of_an_address_never_matches(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        second = {**ROUTE, 'name': 'again', 'host': 'A.example'}
        found = self.check(tmp_path, capsys, deployment(ROUTE, second))
        assert [row['subject'] for row in found] == ['queue again']
        assert "queue 'quotes' has the same host" in found[0]['message']

    def test_longer_prefix_is_no_duplicate(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        longer = {**ROUTE, 'name': 'urgent', 'pathPrefix': '/quotes/urgent/'}
        assert not self.check(tmp_path, capsys, deployment(ROUTE, longer))

    def test_contradicting_limits_are_found(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        limits = {'headerTimeoutMs': 9000, 'idleTimeoutMs': 5000}
        found = self.check(tmp_path, capsys, deployment(ROUTE, limits=limits))
        assert [row['severity'] for row in found] == ['warning']
        assert 'headers may take 9 s' in found[0]['message']

    def test_differences_are_listed(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        removed = {**ROUTE, 'name': 'removed', 'pathPrefix': '/removed/'}
        old = write(
            tmp_path / 'old.json', deployment(ROUTE, removed, version=6)
        )
        new = deployment({**ROUTE, 'stretch': 2})
        found = self.check(tmp_path, capsys, new, '--against', old)
        assert [(row['subject'], row['message']) for row in found] == [
            ('queue removed', 'is removed'),
            ('queue quotes', 'stretch 1.6 -> 2.0'),
        ]

    def test_older_version_is_an_error(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        old = write(tmp_path / 'old.json', deployment(ROUTE, version=7))
        found = self.check(
            tmp_path, capsys, deployment(ROUTE), '--against', old
        )
        assert [row['message'] for row in found] == [
            '7 is not above 7, which is in force'
        ]

    def test_invalid_document_is_wrong_input(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = write(tmp_path / 'config.json', {'version': 'one'})
        assert check_deployment([path]) == Exit.invalid
        assert '$.version' in capsys.readouterr().err

    def test_invalid_version_in_force_is_named(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = write(tmp_path / 'config.json', deployment(ROUTE))
        old = tmp_path / 'old.json'
        old.write_text('{')
        assert check_deployment([path, '--against', str(old)]) == Exit.invalid
        assert capsys.readouterr().err.startswith(f'{old}: ')

    @pytest.mark.parametrize(
        'content',
        [
            b'{"version": 1, "routes": [{"name": "\xff"}]}',
            DEEP_ARRAY % b'routes',
        ],
    )
    def test_odd_document_is_wrong_input(
        self,
        tmp_path: Path,
        capsys: pytest.CaptureFixture[str],
        content: bytes,
    ) -> None:
        path = tmp_path / 'config.json'
        path.write_bytes(content)
        assert check_deployment([str(path)]) == Exit.invalid
        assert capsys.readouterr().err.startswith(f'{path}: ')
