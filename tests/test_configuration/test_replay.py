"""Property tests: replays of a log agree and never go back."""

from __future__ import annotations

import random
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from jackdawridge.configuration.records import (
    Change,
    Key,
    RawRecord,
    SnapshotRecord,
    parse_record,
)
from jackdawridge.configuration.replay import Page, Replay
from jackdawridge.configuration.snapshot import (
    SnapshotError,
    pack,
    restore_state,
    snapshot_document,
    unpack,
)
from jackdawridge.configuration.state import (
    EMPTY_STATE,
    MAX_KEPT_VERSIONS,
    MAX_VERDICTS,
    State,
    fold,
    fold_all,
)
from tests.test_configuration.fake_log import FakeLog

KEYS = (
    Key('failure_domain', 'Soweto'),
    Key('agreement', 'fuel'),
    Key('settlement', 'fuel@1'),
    Key('not yet invented', 'x'),
)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=3),
    lambda inner: (
        st.lists(inner, max_size=2)
        | st.dictionaries(st.text(max_size=3), inner, max_size=2)
    ),
    max_leaves=4,
)
READERS = 3


def change(key: Key, expected: int, change_id: str, value: Any = 1) -> Change:
    return Change(key, expected, change_id, value)


class LogMachine(RuleBasedStateMachine):
    """Concurrent writers with retries; readers that lag, restart and help."""

    def __init__(self) -> None:
        super().__init__()
        self.log = FakeLog()
        #: State after folding each record as it is appended.
        self.reference_state = EMPTY_STATE
        #: Reference state at each position.
        self.states_by_position: dict[int, State] = {0: EMPTY_STATE}
        self.readers = [Replay() for _ in range(READERS)]
        self.positions = [0 for _ in range(READERS)]
        self.sent: list[Any] = []
        self.accepted: dict[str, bool] = {}

    def append(self, document: Any) -> None:
        self.log.append(document)
        self.reference_state = fold(self.reference_state, self.log.records[-1])
        self.states_by_position[self.reference_state.position] = (
            self.reference_state
        )
        for change_id, verdict in self.reference_state.verdicts.items():
            known = self.accepted.setdefault(change_id, verdict.accepted)
            assert known == verdict.accepted

    @rule(
        key=st.sampled_from(KEYS),
        stale=st.integers(0, 1),
        value=JSON,
        delivered=st.booleans(),
    )
    def publish(
        self, key: Key, stale: int, value: Any, delivered: bool
    ) -> None:
        """Publish from a current or outdated version; it may get lost."""
        expected = max(0, self.reference_state.version(key) - stale)
        document = change(key, expected, f'id-{len(self.sent)}', value)
        self.sent.append(document.document())
        if delivered:
            self.append(document.document())

    @rule(index=st.integers(0, 30))
    def resend(self, index: int) -> None:
        """Append a document again, after a lost reply or a pause."""
        if self.sent:
            self.append(self.sent[index % len(self.sent)])

    @rule(body=JSON)
    def append_invalid_record(self, body: Any) -> None:
        self.append(body)

    @rule(reader=st.integers(0, READERS - 1))
    def prepare_late_snapshot(self, reader: int) -> None:
        """Prepare a snapshot that `resend` may append much later."""
        state = self.readers[reader].state
        self.sent.append(snapshot_document(state))

    @rule(reader=st.integers(0, READERS - 1))
    def write_snapshot(self, reader: int) -> None:
        self.append(snapshot_document(self.readers[reader].state))

    @rule(offsets=st.integers(1, 6))
    def trim(self, offsets: int) -> None:
        self.log.trim(self.log.first + offsets)

    @rule(reader=st.integers(0, READERS - 1), limit=st.integers(1, 4))
    def read(self, reader: int, limit: int) -> None:
        replay = self.readers[reader]
        replay.apply_page(self.log.read(replay.cursor, limit))

    @rule(reader=st.integers(0, READERS - 1), cursor=st.integers(0, 40))
    def apply_late_page(self, reader: int, cursor: int) -> None:
        """Apply a page that was read from an offset before the cursor."""
        replay = self.readers[reader]
        page = self.log.read(min(cursor, replay.cursor), 2)
        if not page.records or page.records[0].offset <= replay.cursor:
            replay.apply_page(page)

    @rule(reader=st.integers(0, READERS - 1))
    def restart(self, reader: int) -> None:
        self.readers[reader] = Replay()
        self.positions[reader] = 0

    @rule(
        source_reader=st.integers(0, READERS - 1),
        target_reader=st.integers(0, READERS - 1),
    )
    def adopt_from_peer(self, source_reader: int, target_reader: int) -> None:
        state = unpack(pack(self.readers[source_reader].state))
        self.readers[target_reader].adopt(state)

    @invariant()
    def readers_agree_with_the_log(self) -> None:
        for number, replay in enumerate(self.readers):
            state = replay.state
            assert state == self.states_by_position[state.position]
            assert state.position >= self.positions[number]
            self.positions[number] = state.position

    def teardown(self) -> None:
        """A snapshot of the complete state lets every reader catch up."""
        for replay in self.readers:
            self.log.read_to_end(replay)
        self.append(snapshot_document(self.reference_state))
        for reader in self.readers:
            self.log.read_to_end(reader)
            assert not reader.has_gap
            assert reader.state == self.reference_state


TestLogMachine = LogMachine.TestCase
TestLogMachine.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None
)


class TrimmedLogMachine(LogMachine):
    """The same with a log that is already trimmed and has no snapshot."""

    @initialize()
    def start_trimmed(self) -> None:
        for number in range(4):
            self.append({'number': number})
        self.log.trim(3)


TestTrimmedLogMachine = TrimmedLogMachine.TestCase
TestTrimmedLogMachine.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None
)


class TestRecords:
    @given(st.binary(max_size=60) | JSON.map(msgspec.json.encode))
    def test_state_after_arbitrary_bytes_can_be_packed(
        self, body: bytes
    ) -> None:
        state = fold(EMPTY_STATE, RawRecord(0, body))
        assert state.position == 1
        assert unpack(pack(state)) == state

    @given(
        st.dictionaries(
            st.sampled_from(
                ('kind', 'name', 'version', 'expected', 'change_id', 'value')
            ),
            JSON,
        )
    )
    def test_invalid_changes_do_not_break_replay(self, fields: Any) -> None:
        document = change(KEYS[0], 0, 'a').document()
        body = msgspec.json.encode({**document, **fields})
        state = fold(EMPTY_STATE, RawRecord(0, body))
        assert unpack(pack(state)) == state

    @given(st.binary(max_size=60))
    def test_unpack_rejects_arbitrary_bytes(self, packed: bytes) -> None:
        try:
            unpack(packed)
        except SnapshotError as error:
            assert error.step == 'unpack state'

    def test_snapshot_with_wrong_offset_is_invalid(self) -> None:
        body = snapshot_document(EMPTY_STATE)
        assert restore_state(SnapshotRecord(1, body['state'])) is None

    def test_change_round_trips_through_the_log(self) -> None:
        written = change(KEYS[0], 3, 'a', {'in_service': False})
        body = msgspec.json.encode(written.document())
        assert parse_record(body) == written


class TestLimits:
    def test_old_versions_and_verdicts_are_dropped(self) -> None:
        log = FakeLog()
        for number in range(MAX_VERDICTS + 1):
            log.append(change(KEYS[0], number, f'id-{number}').document())
        state = fold_all(EMPTY_STATE, log.records)
        assert len(state.records[KEYS[0]]) == MAX_KEPT_VERSIONS
        assert len(state.verdicts) == MAX_VERDICTS
        assert 'id-0' not in state.verdicts

    def test_agreement_versions_are_kept_until_retired(self) -> None:
        log = FakeLog()
        agreement, settlement = KEYS[1], KEYS[2]
        for number in range(MAX_KEPT_VERSIONS + 2):
            log.append(change(agreement, number, f'id-{number}').document())
        state = fold_all(EMPTY_STATE, log.records)
        assert len(state.records[agreement]) == MAX_KEPT_VERSIONS + 2
        log.append(
            change(settlement, 0, 'end', {'status': 'retired'}).document()
        )
        state = fold_all(state, log.records[-1:])
        kept = [
            kept_version.version for kept_version in state.records[agreement]
        ]
        assert kept[0] == 2


class TestReplay:
    def test_late_snapshot_does_not_replace_newer_state(self) -> None:
        log = FakeLog()
        late_snapshot = snapshot_document(EMPTY_STATE)
        log.append(change(KEYS[0], 0, 'a', {'in_service': False}).document())
        log.append(late_snapshot)
        replay = Replay()
        log.read_to_end(replay)
        assert replay.state.version(KEYS[0]) == 1

    def test_state_does_not_depend_on_page_sizes(self) -> None:
        log = FakeLog()
        generator = random.Random(7)
        for number in range(200):
            key = generator.choice(KEYS)
            expected = generator.randrange(4)
            log.append(change(key, expected, f'id-{number}').document())
        expected_state = fold_all(EMPTY_STATE, log.records)
        replay = Replay()
        while replay.cursor < log.head:
            replay.apply_page(
                log.read(replay.cursor, generator.randrange(1, 9))
            )
        assert replay.state == expected_state

    def test_page_of_shortened_log_is_ignored(self) -> None:
        replay = Replay(EMPTY_STATE._replace(position=9))
        replay.apply_page(Page(0, 2, (RawRecord(0, b'1'), RawRecord(1, b'1'))))
        assert replay.state.position == 9
        assert replay.cursor == 9
