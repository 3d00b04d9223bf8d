"""Tests of the operators' and callers' commands against real processes."""

from __future__ import annotations

import json
import subprocess
import sys
from typing import TYPE_CHECKING, Any, NamedTuple

import pytest

from jackdawridge.cmd.exits import Exit

if TYPE_CHECKING:
    from pathlib import Path

    from tests.processes.deployment import Deployment

pytestmark = pytest.mark.processes

#: Time limit of a command, in seconds.
COMMAND_TIMEOUT = 60
FUEL = {
    'kind': 'agreement',
    'name': 'fuel',
    'value': {'shares': {'north': 0.5, 'south': 0.5}},
}


class CommandResult(NamedTuple):
    """Exit code and output of a command."""

    code: int
    output: str
    errors: str

    def document(self) -> Any:
        return json.loads(self.output)


class CommandRunner:
    """Runner of commands against the first entry of a deployment."""

    def __init__(self, deployment: Deployment, directory: Path) -> None:
        self.operator_address = deployment.entries[0].operator_address
        self.caller_address = deployment.entries[0].caller_address
        self.directory = directory

    def run(self, *words: str, entry: str = '') -> CommandResult:
        command = [sys.executable, '-m', 'jackdawridge', *words]
        result = subprocess.run(
            [*command, '--entry', entry or self.operator_address],
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT,
            check=False,
        )
        return CommandResult(result.returncode, result.stdout, result.stderr)

    def write(self, document: object) -> str:
        path = self.directory / 'file.json'
        path.write_text(
            '// written by a test\n{0}'.format(json.dumps(document))
        )
        return str(path)

    def apply(self, *records: dict[str, Any]) -> CommandResult:
        return self.run(
            'config', 'apply', self.write({'records': list(records)})
        )

    def submit(self, **changes: Any) -> CommandResult:
        payload = json.dumps({'seconds': 0.05, 'answer': 'done'})
        job = {'team': 'north', 'tasks': [{'payload': payload}]} | changes
        return self.run('submit', self.write(job), entry=self.caller_address)


@pytest.fixture
def runner(shared: Deployment, tmp_path: Path) -> CommandRunner:
    return CommandRunner(shared, tmp_path)


class TestJobCommands:
    def test_submitted_job_is_answered_and_shown(
        self, runner: CommandRunner
    ) -> None:
        result = runner.submit()
        assert result.code == Exit.ok, result
        answer = result.document()
        assert answer['answers'] == ['done']
        ticket = answer['ticket']
        assert f'ticket {ticket}' in result.errors
        shown = runner.run('status', ticket, entry=runner.caller_address)
        assert shown.document() == answer

    def test_repeated_ticket_runs_nothing_twice(
        self, runner: CommandRunner, shared: Deployment
    ) -> None:
        ticket = runner.submit().document()['ticket']
        before = shared.count_starts()
        again = runner.run(
            'submit',
            str(runner.directory / 'file.json'),
            '--ticket',
            ticket,
            entry=runner.caller_address,
        )
        assert again.code == Exit.ok
        assert shared.count_starts() == before

    def test_invalid_field_of_a_job_is_named(
        self, runner: CommandRunner
    ) -> None:
        result = runner.submit(tasks=[{'cores': -1}])
        assert result.code == Exit.invalid
        assert 'cores' in result.output

    def test_ended_job_cannot_be_cancelled(self, runner: CommandRunner) -> None:
        ticket = runner.submit().document()['ticket']
        result = runner.run('cancel', ticket, entry=runner.caller_address)
        assert result.document()['state'] == 'complete'

    def test_status_shows_the_sides(self, runner: CommandRunner) -> None:
        result = runner.run('status')
        assert result.code == Exit.ok
        assert 'side-0' in result.document()['jobs']['sides']


class TestConfigCommands:
    def test_versions_of_an_agreement_coexist(
        self, runner: CommandRunner
    ) -> None:
        assert runner.apply(FUEL).code == Exit.ok
        assert runner.submit(agreement='fuel').code == Exit.ok
        shares = {'north': 0.25, 'south': 0.75}
        renegotiated = FUEL | {'value': {'shares': shares}}
        assert runner.apply(renegotiated).code == Exit.ok
        earlier = runner.submit(agreement='fuel', agreement_version=1)
        assert earlier.code == Exit.ok, earlier
        assert runner.run('config', 'settle', 'fuel', '1').code == Exit.ok
        settled = runner.submit(agreement='fuel', agreement_version=1)
        assert settled.code == Exit.invalid, settled
        assert runner.submit(agreement='fuel').code == Exit.ok
        history = runner.run('config', 'history', 'agreement/fuel')
        assert history.code == Exit.ok
        assert history.output.count('shares') >= 2

    def test_dry_run_and_diff_change_nothing(
        self, runner: CommandRunner
    ) -> None:
        record = {'kind': 'team', 'name': 'dry', 'value': {'weight': 2}}
        path = runner.write({'records': [record]})
        dry = runner.run('config', 'apply', path, '--dry-run')
        assert dry.code == Exit.ok, dry
        assert 'dry' in runner.run('config', 'diff', path).output
        got = runner.run('config', 'get', 'team/dry')
        assert 'weight' not in got.output

    def test_older_version_is_a_conflict(self, runner: CommandRunner) -> None:
        record = {'kind': 'team', 'name': 'south', 'value': {'weight': 2}}
        assert runner.apply(record).code == Exit.ok
        stale = record | {'value': {'weight': 3}, 'expected': 0}
        assert runner.apply(stale).code == Exit.conflict

    def test_invalid_value_is_named(self, runner: CommandRunner) -> None:
        shares = {'shares': {'north': 0.5, 'south': 0.6}}
        result = runner.apply(FUEL | {'value': shares})
        assert result.code == Exit.invalid
        assert 'shares' in result.output + result.errors


class TestDomainCommand:
    def test_out_and_in_are_confirmed(self, runner: CommandRunner) -> None:
        out = runner.run('domain', 'out', 'Soweto')
        assert out.code == Exit.ok, out
        back = runner.run('domain', 'in', 'Soweto')
        assert back.code == Exit.ok, back

    def test_unreachable_entry_is_unknown(self, runner: CommandRunner) -> None:
        result = runner.run('domain', 'out', 'Soweto', entry='127.0.0.1:1')
        assert result.code == Exit.unknown
