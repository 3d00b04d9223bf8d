"""Tests of the checks of a configuration before it is sent."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import pytest

from jackdawridge.cmd.exits import Exit
from jackdawridge.cmd.main import main
from jackdawridge.platform.check import main as check_deployment

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
            ('pathPrefix', '/quotes', "begin and end with '/'"),
            ('pathPrefix', '/quotes?/', 'is not a path'),
            ('pathPrefix', f'/{"q" * 20000}/', 'the head of a request'),
            ('maxAttempts', 0, 'no task would run'),
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
