"""Tests of the interface through which the configuration is read."""

from __future__ import annotations

import math
from typing import Any

import pytest
from result import Err, Ok

from jackdawridge.configuration.agreements import AgreementVersion
from jackdawridge.configuration.checks import check_value
from jackdawridge.configuration.configuration import Configuration
from jackdawridge.configuration.holds import Hold
from jackdawridge.configuration.records import Change, Key
from jackdawridge.configuration.state import EMPTY_STATE, fold_all
from jackdawridge.configuration.values import Team
from jackdawridge.forwarding.rules import ConfiguredRules
from tests.test_configuration.fake_log import FakeLog

FUEL = Key('agreement', 'fuel')
SETTLEMENT = Key('settlement', 'fuel@1')
SOWETO = Key('failure_domain', 'Soweto')
SHARES = {'shares': {'north': 0.5, 'south': 0.5}}


class LogBackedConfiguration:
    """Publishes changes to a log and folds them into a configuration."""

    def __init__(self) -> None:
        self.log = FakeLog()
        self.events: list[tuple[int, int]] = []
        self.configuration = Configuration(self.record_event)

    def record_event(self, old_position: int, new_position: int) -> None:
        self.events.append((old_position, new_position))

    def put(self, key: Key, value: Any, change_id: str = '') -> None:
        expected = self.configuration.state.version(key)
        change_id = change_id or f'id-{self.log.head}'
        self.log.append(Change(key, expected, change_id, value).document())
        self.configuration.apply_state(fold_all(EMPTY_STATE, self.log.records))


class TestReading:
    def test_defaults_without_records(self) -> None:
        configuration = Configuration()
        assert configuration.is_in_service('Soweto')
        assert configuration.team('payroll') == Team()
        assert ConfiguredRules(configuration).service_record('ledger') is None
        assert not configuration.limits

    def test_valid_values_are_returned(self) -> None:
        source = LogBackedConfiguration()
        source.put(Key('team', 'payroll'), {'quota': 8, 'weight': 2})
        source.put(Key('service', 'ledger'), {'idempotent_methods': ['post']})
        source.put(Key('limits', 'default'), {'jobs': 5, 'odd': 'text'})
        configuration = source.configuration
        assert configuration.team('payroll') == Team(8, 2)
        record = ConfiguredRules(configuration).service_record('ledger')
        assert record == {'idempotent_methods': ['post']}
        assert configuration.limits == {'jobs': 5}

    @pytest.mark.parametrize('value', [None, 1, 'x', [], {'in_service': 0}])
    def test_invalid_values_fall_back_to_defaults(self, value: Any) -> None:
        source = LogBackedConfiguration()
        for kind, name in (
            ('failure_domain', 'Soweto'),
            ('team', 'payroll'),
            ('service', 'ledger'),
            ('limits', 'default'),
            ('settlement', 'fuel@1'),
        ):
            source.put(Key(kind, name), value)
        configuration = source.configuration
        assert configuration.is_in_service('Soweto')
        assert configuration.team('payroll').quota == math.inf
        assert not configuration.settled_versions()

    def test_domain_leaves_and_reenters_service(self) -> None:
        source = LogBackedConfiguration()
        source.put(SOWETO, {'in_service': False})
        assert not source.configuration.is_in_service('Soweto')
        source.put(SOWETO, {'in_service': True})
        assert source.configuration.is_in_service('Soweto')
        assert source.events == [(0, 1), (1, 2)]

    def test_older_state_is_ignored(self) -> None:
        source = LogBackedConfiguration()
        source.put(SOWETO, {'in_service': False})
        assert not source.configuration.apply_state(EMPTY_STATE)
        assert not source.configuration.is_in_service('Soweto')

    def test_held_domain_is_out_of_service_until_verdict(
        self,
    ) -> None:
        source = LogBackedConfiguration()
        holds = source.configuration.holds
        holds.add((Hold('lost', 'Soweto'),), 0)
        assert not source.configuration.is_in_service('Soweto')
        change = Change(SOWETO, 7, 'lost', {'in_service': False})
        source.log.append(change.document())
        source.put(Key('team', 'payroll'), {})
        assert source.configuration.is_in_service('Soweto')


class TestAgreements:
    def test_several_versions_are_open_at_once(self) -> None:
        source = LogBackedConfiguration()
        configuration = source.configuration
        assert isinstance(configuration.admit_work('fuel'), Err)
        source.put(FUEL, SHARES)
        assert configuration.admit_work('fuel') == Ok(1)
        source.put(FUEL, SHARES)
        assert configuration.admit_work('fuel') == Ok(2)
        assert configuration.admit_work('fuel', 1) == Ok(1)
        assert configuration.open_work.count(AgreementVersion('fuel', 1)) == 2

    def test_settled_version_refuses_new_work(self) -> None:
        source = LogBackedConfiguration()
        source.put(FUEL, SHARES)
        configuration = source.configuration
        configuration.admit_work('fuel')
        source.put(SETTLEMENT, {'status': 'settled'})
        refused = configuration.admit_work('fuel')
        assert 'settled' in refused.unwrap_err()
        assert configuration.settled_versions() == [AgreementVersion('fuel', 1)]
        assert not configuration.is_retired('fuel', 1)
        configuration.finish_work('fuel', 1)
        assert not configuration.open_work.counts

    def test_retired_version_allows_no_starts(self) -> None:
        source = LogBackedConfiguration()
        source.put(FUEL, SHARES)
        source.put(SETTLEMENT, {'status': 'retired'})
        assert source.configuration.is_retired('fuel', 1)
        assert not source.configuration.is_retired('', 0)
        assert not source.configuration.settled_versions()


class TestValues:
    @pytest.mark.parametrize(
        ('key', 'value'),
        [
            (FUEL, {'shares': {'north': 0.5}}),
            (FUEL, {'shares': {}}),
            (FUEL, {'shares': {'north': 2, 'south': -1}}),
            (SOWETO, {'in_service': 'no'}),
            (SOWETO, {'in_service': True, 'extra': 1}),
            (Key('team', 'payroll'), {'weight': 0}),
            (Key('team', 'payroll'), {'quota': -1}),
            (SETTLEMENT, {'status': 'open'}),
            (Key('limits', 'default'), {'jobs': 'many'}),
            (Key('service', 'ledger'), []),
        ],
    )
    def test_invalid_values_are_rejected_by_key(
        self, key: Key, value: Any
    ) -> None:
        assert str(key) in check_value(key, value).unwrap_err()

    @pytest.mark.parametrize(
        ('key', 'value'),
        [
            (FUEL, SHARES),
            (FUEL, None),
            (SOWETO, {'in_service': False}),
            (Key('team', 'payroll'), {'quota': None, 'weight': 2}),
            (Key('not yet invented', 'x'), [1]),
            (Key('limits', 'default'), {'jobs': 2}),
        ],
    )
    def test_valid_values_are_accepted(self, key: Key, value: Any) -> None:
        assert check_value(key, value) == Ok(None)
