"""Tests of the table of settings."""

from __future__ import annotations

import pytest

from jackdawridge.config import Settings, find_faults
from jackdawridge.errors import SettingsError

SIDE = {
    'role': 'side',
    'node': 'side-1',
    'deployment': 'test',
    'failure_domain': 'Soweto',
    'shared_key': 'a key that is long enough',
    'operator_address': '127.0.0.1:0',
    'entries': ['127.0.0.1:7001'],
    'worker': '127.0.0.1:7002',
}


class TestFaults:
    def test_valid_document_has_none(self) -> None:
        assert not find_faults(SIDE)

    def test_every_fault_is_named(self) -> None:
        document = {**SIDE, 'worker': 'host:1', 'cores': True, 'hearbeat': 1}
        faults = {fault.key: fault for fault in find_faults(document)}
        assert set(faults) == {'worker', 'cores', 'hearbeat'}
        assert 'heartbeat' in faults['hearbeat'].allowed

    def test_missing_key_is_a_fault(self) -> None:
        document = dict(SIDE)
        document.pop('node')
        assert [fault.key for fault in find_faults(document)] == ['node']

    def test_settings_refuse_faults(self) -> None:
        with pytest.raises(SettingsError, match='role'):
            Settings.from_config({'role': 'queen'})


class TestSettings:
    def test_defaults_fill_what_is_absent(self) -> None:
        settings = Settings.from_config(SIDE)
        assert settings.integer('cores') == 16
        assert settings.number('heartbeat') == pytest.approx(1)
        assert settings.texts('entries') == ('127.0.0.1:7001',)


class TestWithoutRole:
    """A wrong role hides no other fault."""

    def test_all_faults_are_named(self) -> None:
        document = {
            'role': 'cook',
            'node': 'a/b',
            'heartbeat': -1,
            'cores': 'many',
            'colour': 'red',
        }
        named = {fault.key for fault in find_faults(document)}
        assert {'role', 'node', 'heartbeat', 'cores', 'colour'} <= named
        assert {'deployment', 'shared_key'} <= named

    def test_settings_of_one_role_are_not_asked_for(self) -> None:
        named = {fault.key for fault in find_faults({})}
        assert 'worker' not in named
        assert 'caller_address' not in named
