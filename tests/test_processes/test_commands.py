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

LIMIT = 60
FUEL = {
    'kind': 'agreement',
    'name': 'fuel',
    'value': {'shares': {'north': 0.5, 'south': 0.5}},
}


class Ran(NamedTuple):
    """How a command has ended."""

    code: int
    output: str
    errors: str

    def document(self) -> Any:
        return json.loads(self.output)


class Shell:
    """Runs commands against the first entry of a deployment."""

    def __init__(self, deployment: Deployment, directory: Path) -> None:
        self.operator = deployment.entries[0].operator
        self.caller = deployment.entries[0].caller
        self.directory = directory

    def run(self, *words: str, entry: str = '') -> Ran:
        command = [sys.executable, '-m', 'jackdawridge', *words]
        ran = subprocess.run(
            [*command, '--entry', entry or self.operator],
            capture_output=True,
            text=True,
            timeout=LIMIT,
            check=False,
        )
        return Ran(ran.returncode, ran.stdout, ran.stderr)

    def write(self, document: object) -> str:
        path = self.directory / 'file.json'
        path.write_text(
            '// written by a test\n{0}'.format(json.dumps(document))
        )
        return str(path)

    def apply(self, *records: dict[str, Any]) -> Ran:
        return self.run(
            'config', 'apply', self.write({'records': list(records)})
        )

    def submit(self, **changes: Any) -> Ran:
        payload = json.dumps({'seconds': 0.05, 'answer': 'done'})
        job = {'team': 'north', 'tasks': [{'payload': payload}]} | changes
        return self.run('submit', self.write(job), entry=self.caller)


@pytest.fixture
def shell(shared: Deployment, tmp_path: Path) -> Shell:
    return Shell(shared, tmp_path)


class TestJobCommands:
    def test_submitted_job_is_answered_and_shown(self, shell: Shell) -> None:
        ran = shell.submit()
        assert ran.code == Exit.ok, ran
        answer = ran.document()
        assert answer['answers'] == ['done']
        ticket = answer['ticket']
        assert f'ticket {ticket}' in ran.errors
        shown = shell.run('status', ticket, entry=shell.caller)
        assert shown.document() == answer

    def test_repeated_ticket_runs_nothing_twice(
        self, shell: Shell, shared: Deployment
    ) -> None:
        ticket = shell.submit().document()['ticket']
        before = shared.count_starts()
        again = shell.run(
            'submit',
            str(shell.directory / 'file.json'),
            '--ticket',
            ticket,
            entry=shell.caller,
        )
        assert again.code == Exit.ok
        assert shared.count_starts() == before

    def test_wrong_job_is_named(self, shell: Shell) -> None:
        ran = shell.submit(tasks=[{'cores': -1}])
        assert ran.code == Exit.invalid
        assert 'cores' in ran.output

    def test_ended_job_cannot_be_cancelled(self, shell: Shell) -> None:
        ticket = shell.submit().document()['ticket']
        ran = shell.run('cancel', ticket, entry=shell.caller)
        assert ran.document()['state'] == 'complete'

    def test_status_shows_the_sides(self, shell: Shell) -> None:
        ran = shell.run('status')
        assert ran.code == Exit.ok
        assert 'side-0' in ran.document()['jobs']['sides']


class TestConfigCommands:
    def test_versions_of_an_agreement_live_side_by_side(
        self, shell: Shell
    ) -> None:
        assert shell.apply(FUEL).code == Exit.ok
        assert shell.submit(agreement='fuel').code == Exit.ok
        shares = {'north': 0.25, 'south': 0.75}
        renegotiated = FUEL | {'value': {'shares': shares}}
        assert shell.apply(renegotiated).code == Exit.ok
        earlier = shell.submit(agreement='fuel', agreement_version=1)
        assert earlier.code == Exit.ok, earlier
        assert shell.run('config', 'settle', 'fuel', '1').code == Exit.ok
        settled = shell.submit(agreement='fuel', agreement_version=1)
        assert settled.code == Exit.invalid, settled
        assert shell.submit(agreement='fuel').code == Exit.ok
        history = shell.run('config', 'history', 'agreement/fuel')
        assert history.code == Exit.ok
        assert history.output.count('shares') >= 2

    def test_dry_run_and_diff_change_nothing(self, shell: Shell) -> None:
        record = {'kind': 'team', 'name': 'dry', 'value': {'weight': 2}}
        path = shell.write({'records': [record]})
        dry = shell.run('config', 'apply', path, '--dry-run')
        assert dry.code == Exit.ok, dry
        assert 'dry' in shell.run('config', 'diff', path).output
        got = shell.run('config', 'get', 'team/dry')
        assert 'weight' not in got.output

    def test_older_version_is_a_conflict(self, shell: Shell) -> None:
        record = {'kind': 'team', 'name': 'south', 'value': {'weight': 2}}
        assert shell.apply(record).code == Exit.ok
        stale = record | {'value': {'weight': 3}, 'expected': 0}
        assert shell.apply(stale).code == Exit.conflict

    def test_wrong_value_is_named(self, shell: Shell) -> None:
        shares = {'shares': {'north': 0.5, 'south': 0.6}}
        ran = shell.apply(FUEL | {'value': shares})
        assert ran.code == Exit.invalid
        assert 'shares' in ran.output + ran.errors


class TestDomainCommand:
    def test_out_and_in_are_confirmed(self, shell: Shell) -> None:
        out = shell.run('domain', 'out', 'Soweto')
        assert out.code == Exit.ok, out
        back = shell.run('domain', 'in', 'Soweto')
        assert back.code == Exit.ok, back

    def test_nobody_there_is_unknown(self, shell: Shell) -> None:
        ran = shell.run('domain', 'out', 'Soweto', entry='127.0.0.1:1')
        assert ran.code == Exit.unknown
