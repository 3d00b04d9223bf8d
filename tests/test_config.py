"""Tests of the validation of settings."""

from __future__ import annotations

import pytest

from jackdawridge.config import Settings, find_invalid_settings
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


class TestInvalidSettings:
    def test_valid_document_has_none(self) -> None:
        assert not find_invalid_settings(SIDE)

    def test_all_invalid_settings_are_found(self) -> None:
        document = {**SIDE, 'worker': 'host:1', 'cores': True, 'hearbeat': 1}
        found = {
            invalid.key: invalid for invalid in find_invalid_settings(document)
        }
        assert set(found) == {'worker', 'cores', 'hearbeat'}
        assert 'heartbeat' in found['hearbeat'].allowed

    def test_missing_setting_is_found(self) -> None:
        document = dict(SIDE)
        document.pop('node')
        assert [invalid.key for invalid in find_invalid_settings(document)] == [
            'node'
        ]

    def test_invalid_document_raises_an_error(self) -> None:
        with pytest.raises(SettingsError, match='role'):
            Settings.from_config({'role': 'queen'})


class TestSettings:
    def test_absent_settings_have_their_defaults(self) -> None:
        settings = Settings.from_config(SIDE)
        assert settings.integer('cores') == 16
        assert settings.number('heartbeat') == pytest.approx(1)
        assert settings.texts('entries') == ('127.0.0.1:7001',)


class TestInvalidRole:
    """An invalid role must not hide other invalid settings."""

    def test_all_invalid_settings_are_found(self) -> None:
        document = {
            'role': 'cook',
            'node': 'a/b',
            'heartbeat': -1,
            'cores': 'many',
            'colour': 'red',
        }
        found = {invalid.key for invalid in find_invalid_settings(document)}
        assert {'role', 'node', 'heartbeat', 'cores', 'colour'} <= found
        assert {'deployment', 'shared_key'} <= found

    def test_settings_of_a_single_role_are_not_required(self) -> None:
        found = {invalid.key for invalid in find_invalid_settings({})}
        assert 'worker' not in found
        assert 'caller_address' not in found
