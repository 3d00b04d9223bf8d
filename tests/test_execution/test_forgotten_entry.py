"""Tests of resolving starts after a side has forgotten the entry."""

from __future__ import annotations

from jackdawridge.execution.gate import OpenGate
from jackdawridge.execution.messages import Ending, Room, Start, StartBatch
from jackdawridge.execution.room import RoomLedger
from jackdawridge.execution.send_windows import SendWindows
from jackdawridge.execution.sessions import Sessions
from jackdawridge.execution.state import SideState

INCARNATION = 'run'
TICKET = f'127.0.0.1:1~{INCARNATION}~1~code'
START = Start(TICKET, 0, 1, 'k', 'team', 1, 1, 0, 0.1, '', 0, b'')


def make_state() -> SideState:
    """Return the state of a side with one ended task of an entry."""
    state = SideState(
        Sessions(SendWindows(1), 2), RoomLedger(Room(4, 100, 0, 0)), OpenGate()
    )
    window = state.sessions.windows.open(0)
    state.sessions.open(INCARNATION, 0)
    batch = StartBatch(1, window, 0, (START,))
    assert state.admit(INCARNATION, batch, 0) == (START,)
    ending = Ending(START.key(), 'stopped', 'lease lapsed', b'', 0, 0, 0)
    state.end(ending, 1, 0)
    return state


class TestForgottenEntry:
    """A paused entry asks about its starts after the side has forgotten it."""

    def test_ended_start_is_not_reported_as_fenced(self) -> None:
        """A start may have run; reported as fenced, it would be sent again."""
        state = make_state()
        state.sessions.close(INCARNATION)
        state.sweep(10)
        assert INCARNATION not in state.sessions.entries
        state.sessions.open(INCARNATION, 20)
        resolution = state.resolve(
            INCARNATION, (START.key(),), knows_all=True, now=20
        )
        assert not resolution.fenced
        assert not resolution.running

    def test_start_that_never_arrived_is_fenced(self) -> None:
        """Until it forgets the entry, the side knows all of its starts."""
        state = make_state()
        other = START._replace(task=1, lease=2).key()
        resolution = state.resolve(INCARNATION, (other,), knows_all=True, now=0)
        assert resolution.fenced == (other,)
