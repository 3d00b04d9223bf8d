"""Tests of the check of a configuration of the platform."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import pytest

from jackdawridge.cmd.exits import Exit
from jackdawridge.deployment.state import DeploymentState, QueueTable
from jackdawridge.platform.check import main as check_deployment
from jackdawridge.platform.operators import read_configuration
from tests.documents import DEEP_ARRAY, write_document

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


def deployment(*routes: dict[str, Any], **fields: Any) -> dict[str, Any]:
    return {
        'version': 7,
        'routes': list(routes),
        'services': [{'name': 'ledger'}],
        **fields,
    }


class TestDeployment:
    """The check of a configuration of the platform."""

    def check(
        self,
        tmp_path: Path,
        capsys: pytest.CaptureFixture[str],
        document: dict[str, Any],
        *options: str,
    ) -> list[dict[str, Any]]:
        path = write_document(tmp_path / 'config.json', document)
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
        old = write_document(
            tmp_path / 'old.json', deployment(*removed, version=6)
        )
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
        old = write_document(
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
        old = write_document(
            tmp_path / 'old.json', deployment(ROUTE, version=7)
        )
        found = self.check(
            tmp_path, capsys, deployment(ROUTE), '--against', old
        )
        assert [row['message'] for row in found] == [
            '7 is not above 7, which is in force'
        ]

    def test_invalid_document_is_wrong_input(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = write_document(tmp_path / 'config.json', {'version': 'one'})
        assert check_deployment([path]) == Exit.invalid
        assert '$.version' in capsys.readouterr().err

    def test_invalid_version_in_force_is_named(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = write_document(tmp_path / 'config.json', deployment(ROUTE))
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
