"""Tests of the commands `entry`, `side` and `check-settings`."""

from __future__ import annotations

import json
import socket
from pathlib import Path

import pytest

from jackdawridge.cmd.exits import Exit
from jackdawridge.cmd.main import main
from tests.processes.deployment import COMMON_SETTINGS
from tests.processes.process import Process

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

    def test_malformed_file_is_rejected(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = tmp_path / 'side.json'
        path.write_text('{"role": ')
        assert main(['check-settings', str(path)]) == Exit.invalid
        assert str(path) in capsys.readouterr().err

    def test_daemon_rejects_settings_of_another_role(self) -> None:
        path = EXAMPLES / 'fiscalia-side.json'
        assert main(['entry', '--settings', str(path)]) == Exit.invalid


@pytest.mark.processes
class TestStart:
    def test_daemon_exits_if_it_cannot_listen(self, tmp_path: Path) -> None:
        """A side without all its listeners could be linked and given work."""
        settings = tmp_path / 'side.json'
        with socket.create_server(('127.0.0.1', 0)) as listener:
            address = '127.0.0.1:{0}'.format(listener.getsockname()[1])
            document = {
                **COMMON_SETTINGS,
                'role': 'side',
                'node': 'side-0',
                'failure_domain': 'Soweto',
                'entries': ['127.0.0.1:1'],
                'worker': '127.0.0.1:1',
                'operator_address': address,
            }
            settings.write_text(json.dumps(document))
            process = Process(
                'side-0',
                ['jackdawridge', 'side', '--settings', str(settings)],
                tmp_path / 'log',
                announces=False,
            )
            try:
                assert process.wait(30) == Exit.failed
            finally:
                process.close()
        log = process.log_tail()
        assert address in log
        assert '"ready"' not in log
