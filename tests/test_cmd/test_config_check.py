"""Tests of the command `config check`."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from jackdawridge.cmd.exits import Exit
from jackdawridge.cmd.main import main
from jackdawridge.configuration.records import MAX_NAME_LENGTH
from jackdawridge.operations.configuration import MAX_VALUE_BYTES
from tests.documents import DEEP_ARRAY, write_document

if TYPE_CHECKING:
    from pathlib import Path


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
        return main(
            ['config', 'check', write_document(path, {'records': rows})]
        ), path

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
        old = write_document(tmp_path / 'old.json', {'records': [record]})
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
