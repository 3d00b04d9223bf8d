"""Tests of the commands of the daemons."""

from __future__ import annotations

from pathlib import Path

import pytest

from jackdawridge.cmd.exits import Exit
from jackdawridge.cmd.main import main

EXAMPLES = Path(__file__).parents[2] / 'examples'


class TestCheckSettings:
    @pytest.mark.parametrize('name', ['consortium', 'fiscalia'])
    @pytest.mark.parametrize('role', ['entry', 'side'])
    def test_examples_have_no_faults(self, name: str, role: str) -> None:
        path = EXAMPLES / f'{name}-{role}.json'
        assert main(['check-settings', str(path)]) == Exit.ok

    def test_every_fault_is_printed(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        text = (EXAMPLES / 'fiscalia-side.json').read_text()
        path = tmp_path / 'side.json'
        path.write_text(text.replace(': 8,', ': 0,').replace('"node"', '"nod"'))
        assert main(['check-settings', str(path)]) == Exit.invalid
        printed = capsys.readouterr().err
        assert 'minion_slots: 0 is not valid' in printed
        assert "did you mean 'node'" in printed

    def test_malformed_file_is_refused(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = tmp_path / 'side.json'
        path.write_text('{"role": ')
        assert main(['check-settings', str(path)]) == Exit.invalid
        assert str(path) in capsys.readouterr().err

    def test_daemon_refuses_settings_of_another_role(self) -> None:
        path = EXAMPLES / 'fiscalia-side.json'
        assert main(['entry', '--settings', str(path)]) == Exit.invalid
