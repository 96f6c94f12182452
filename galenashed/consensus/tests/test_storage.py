"""Tests of the storage of a replica."""

import os
import pathlib
import tempfile
import typing
from unittest import mock

import testtools

from galenashed import consensus
from galenashed.consensus.tests import _filesystem
from galenashed.protocol import consensus as wire


def make_ready(*indexes: int, term: int = 1) -> consensus.Ready:
    ready = consensus.Ready()
    ready.hard_state = wire.HardState(term=term, voted_for="c1")
    ready.entries = [wire.Entry(i, term, b"x" * 100) for i in indexes]
    return ready


def make_install(index: int, *, term: int) -> consensus.Ready:
    """Returns the output of a core that installed a leader's snapshot."""
    ready = consensus.Ready()
    ready.snapshot = wire.SnapshotMeta(index=index, term=term)
    ready.snapshot_data = b"state"
    return ready


class StorageTestCase(testtools.TestCase):
    """A data directory of one replica."""

    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name) / "c1"
        self.storage(created=False).create((consensus.Member("c1"),))

    def storage(self, created=True, name="c1"):
        return consensus.Storage(
            directory=self.directory, cluster="tests", name=name
        )

    def fill(self, *batches):
        storage = self.storage()
        storage.open()
        for indexes in batches:
            storage.save(make_ready(*indexes))
        storage.close()
        return max(self.directory.glob("wal-*"))

    def stored_indexes(self):
        storage = self.storage()
        restored = storage.open()
        storage.close()
        return [entry.index for entry in restored.entries]


class TestStorage(StorageTestCase):
    """What is read back and which data directories are rejected."""

    def test_reads_back_what_was_saved(self):
        self.fill([1, 2], [3])
        storage = self.storage()
        restored = storage.open()
        storage.close()
        self.assertEqual([1, 2, 3], [e.index for e in restored.entries])
        self.assertEqual("c1", restored.hard_state.voted_for)

    def test_rewritten_entries_replace_earlier_ones(self):
        self.fill([1, 2, 3], [2])
        self.assertEqual([1, 2], self.stored_indexes())

    def test_torn_tail_is_dropped_at_any_length(self):
        self.fill([1, 2])
        storage = self.storage()
        storage.open()
        path = max(self.directory.glob("wal-*"))
        start = path.stat().st_size
        storage.save(make_ready(3))
        storage.close()
        whole = path.read_bytes()
        for size in range(start, len(whole)):
            for other in self.directory.glob("wal-*"):
                other.unlink()
            path.write_bytes(whole[:size])
            self.assertEqual([1, 2], self.stored_indexes())

    def test_torn_tail_is_not_corruption_at_next_start(self):
        path = self.fill([1, 2], [3])
        path.write_bytes(path.read_bytes()[:-5])
        # Simulates a crash between creating the new log file and removing the
        # torn one.
        with mock.patch.object(pathlib.Path, "unlink"):
            self.assertEqual([1, 2], self.stored_indexes())
        self.assertEqual(2, len(list(self.directory.glob("wal-*"))))
        self.assertEqual([1, 2], self.stored_indexes())

    def test_tail_of_zeros_is_dropped_at_any_length(self):
        path = self.fill([1, 2])
        whole = path.read_bytes()
        for size in range(1, 20):
            for other in self.directory.glob("wal-*"):
                other.unlink()
            path.write_bytes(whole + bytes(size))
            self.assertEqual([1, 2], self.stored_indexes())

    def test_corruption_before_the_tail_is_rejected(self):
        path = self.fill([1, 2], [3])
        raw = bytearray(path.read_bytes())
        raw[40] ^= 0xFF
        path.write_bytes(raw)
        error = self.assertRaises(consensus.StorageError, self.storage().open)
        self.assertIn(str(path), str(error))
        self.assertIn("damaged at byte", str(error))

    def test_files_of_interrupted_snapshots_do_not_add_up(self):
        storage = self.storage()
        storage.open()
        storage.save(make_ready(1, 2, 3, 4))
        for index in range(1, 5):
            # The process ends in place of the rename.
            crash = _filesystem.Crash()
            with mock.patch.object(os, "replace", side_effect=crash):
                self.assertRaises(
                    _filesystem.Crash,
                    storage.save_snapshot,
                    wire.SnapshotMeta(index=index, term=1),
                    b"s" * 1000,
                    wire.HardState(),
                    [],
                )
            storage.close()
            storage = self.storage()
            storage.open()
        self.assertLess(storage.size(), 1000)

    def test_corruption_of_the_only_record_is_rejected(self):
        term_only = consensus.Ready()
        term_only.hard_state = wire.HardState(term=5)
        for ready in (term_only, make_ready(1, 2)):
            storage = self.storage()
            storage.open()
            storage.save(ready)
            storage.close()
            # The start writes the log as one record.
            self.stored_indexes()
            path = max(self.directory.glob("wal-*"))
            raw = path.read_bytes()
            for position in range(len(raw)):
                damaged = bytearray(raw)
                damaged[position] ^= 1
                path.write_bytes(damaged)
                self.assertRaises(consensus.StorageError, self.storage().open)
            path.write_bytes(raw)

    def test_first_start_may_be_cut_short_at_any_length(self):
        path = self.fill()
        raw = path.read_bytes()
        for size in range(len(raw)):
            for content in (raw[:size], bytes(size)):
                for other in self.directory.glob("wal-*"):
                    other.unlink()
                path.write_bytes(content)
                self.assertEqual([], self.stored_indexes())

    def test_corrupt_snapshot_is_rejected(self):
        storage = self.storage()
        storage.open()
        storage.save(make_ready(1, 2))
        storage.save_snapshot(
            wire.SnapshotMeta(index=2, term=1), b"s" * 50, wire.HardState(), []
        )
        storage.close()
        path = next(self.directory.glob("snapshot-*"))
        raw = bytearray(path.read_bytes())
        raw[-1] ^= 1
        path.write_bytes(raw)
        error = self.assertRaises(consensus.StorageError, self.storage().open)
        self.assertIn("checksum", str(error))

    def test_snapshot_limits_log_size(self):
        storage = self.storage()
        storage.open()
        for index in range(1, 101):
            storage.save(make_ready(index))
        before = storage.size()
        storage.save_snapshot(
            wire.SnapshotMeta(index=100, term=1),
            b"s",
            wire.HardState(term=1, voted_for="c1"),
            [],
        )
        self.assertLess(storage.size(), before / 10)
        storage.close()
        restored = self.storage().open()
        self.assertEqual(100, restored.snapshot.index)
        self.assertEqual([], restored.entries)

    def test_directory_of_other_replica_is_rejected(self):
        error = self.assertRaises(
            consensus.StorageError, self.storage(name="c2").open
        )
        self.assertIn("replica 'c1'", str(error))

    def test_lost_disk_is_rejected(self):
        for path in self.directory.iterdir():
            path.unlink()
        error = self.assertRaises(consensus.StorageError, self.storage().open)
        self.assertIn("must not vote", str(error))

    def test_directory_is_not_created_twice(self):
        self.assertRaises(consensus.StorageError, self.storage().create, ())

    def test_failed_write_raises_error(self):
        storage = self.storage()
        storage.open()
        storage.close()
        # An invalid file descriptor stands for a failed device.
        storage._fd = 10**6
        self.assertRaises(consensus.StorageError, storage.save, make_ready(1))

    def test_refused_snapshot_closes_no_descriptor_of_others(self):
        storage = self.storage()
        storage.open()
        open_file = os.open

        def refuse_logs(path, *args):
            if "wal-" in str(path):
                raise _filesystem.no_space()
            return open_file(path, *args)

        with mock.patch.object(os, "open", refuse_logs):
            self.assertRaises(
                consensus.StorageError,
                storage.save_snapshot,
                wire.SnapshotMeta(),
                b"",
                wire.HardState(),
                [],
            )
        other = os.open(self.directory / "identity", os.O_RDONLY)
        storage.close()
        os.close(other)


class TestInstalledSnapshot(StorageTestCase):
    """A leader's snapshot replaces the log, on disk as well."""

    def restart_after(self, *batches):
        storage = self.storage()
        storage.open()
        for ready in batches:
            storage.save(ready)
        storage.close()
        storage = self.storage()
        restored = storage.open()
        storage.close()
        return restored

    def test_entries_after_snapshot_past_end_of_log_are_read_back(self):
        restored = self.restart_after(
            make_ready(1, 2, 3),
            make_install(95, term=2),
            make_ready(96, 97, term=2),
        )
        self.assertEqual(95, restored.snapshot.index)
        self.assertEqual([96, 97], [e.index for e in restored.entries])

    def test_entries_after_snapshot_on_empty_log_are_read_back(self):
        restored = self.restart_after(
            make_install(95, term=2), make_ready(96, term=2)
        )
        self.assertEqual([96], [e.index for e in restored.entries])

    def test_replaced_entries_do_not_return_after_snapshot(self):
        restored = self.restart_after(
            make_ready(1, 2, 3, 4), make_install(2, term=2)
        )
        self.assertEqual([], restored.entries)
        restored = self.restart_after(make_ready(3, term=2))
        self.assertEqual([3], [e.index for e in restored.entries])
        self.assertEqual(2, restored.entries[0].term)

    def test_replaced_entries_of_later_term_do_not_return(self):
        restored = self.restart_after(
            make_ready(1, 2, 3, 4, term=3), make_install(2, term=2)
        )
        self.assertEqual([], restored.entries)

    def test_vote_outlives_snapshot(self):
        restored = self.restart_after(
            make_ready(1, term=7), make_install(95, term=2)
        )
        self.assertEqual(7, restored.hard_state.term)
        self.assertEqual("c1", restored.hard_state.voted_for)

    def test_log_files_that_return_after_power_loss_are_ignored(self):
        storage = self.storage()
        storage.open()
        storage.save(make_ready(1, 2, 3, 4))
        old = {
            path: path.read_bytes() for path in self.directory.glob("wal-*")
        }
        storage.save(make_install(2, term=1))
        storage.close()
        for path, raw in old.items():
            path.write_bytes(raw)
        self.assertEqual([], self.stored_indexes())


class KeepsLogOfInstall(consensus.Storage):
    """Starts no new log file after a leader's snapshot."""

    __slots__ = ()

    def _start_log(self, hard_state, entries):
        if self._fd < 0:
            super()._start_log(hard_state, entries)


class RemovesLogBeforeSnapshot(consensus.Storage):
    """Removes the log before the snapshot that covers it is stored."""

    __slots__ = ()

    def _write_snapshot(self, meta, data):
        for path in self._wal_paths():
            path.unlink()
        super()._write_snapshot(meta, data)


class State(typing.NamedTuple):
    """What is read back; pairs of index and term for the entries."""

    term: int
    snapshot: int
    entries: list[tuple[int, int]]


def make_state(term: int, snapshot: int, *indexes: int) -> State:
    return State(term, snapshot, [(index, term) for index in indexes])


class TestCrashBetweenSteps(StorageTestCase):
    """What is read back after the process or power ends at any step.

    Each test names the states that may be read back.  If that is interrupted
    as well, the next start must read back the same state.
    """

    storage_class = consensus.Storage

    def setUp(self):
        super().setUp()
        self.files = _filesystem.FileSystem(self.directory)
        self.created = {
            path.name: path.read_bytes() for path in self.directory.iterdir()
        }

    def storage(self, created=True, name="c1"):
        return self.storage_class(
            directory=self.directory, cluster="tests", name=name
        )

    def prepare(self, prepared):
        """Returns an open storage that ``prepared`` was saved to."""
        self.files.restore(self.created)
        storage = self.storage()
        storage.open()
        for ready in prepared:
            storage.save(ready)
        return storage

    def read_back(self):
        storage = self.storage()
        restored = storage.open()
        storage.close()
        if restored.hard_state.term:
            self.assertEqual("c1", restored.hard_state.voted_for)
        entries = [(entry.index, entry.term) for entry in restored.entries]
        term = restored.hard_state.term
        return State(term, restored.snapshot.index, entries)

    def collect_states(self, action):
        """Returns what a crash at any step of ``action`` may leave."""
        states = {}

        def collect():
            states_now = self.files.power_loss_states()
            for state in (self.files.current_state(), *states_now):
                states[tuple(sorted(state.items()))] = state

        self.files.before_step = collect
        action()
        self.files.before_step = lambda: None
        collect()
        return list(states.values())

    def assert_reads_back(self, state, allowed):
        """Reads back a state, and what interruptions of that leave."""
        self.files.restore(state)
        results = []
        interrupted = self.collect_states(
            lambda: results.append(self.read_back())
        )
        self.assertIn(results[0], allowed)
        self.assert_no_leftovers()
        for later in interrupted:
            self.files.restore(later)
            self.assertEqual(results[0], self.read_back())
            self.assert_no_leftovers()

    def assert_no_leftovers(self):
        names = sorted(path.stem for path in self.directory.iterdir())
        kinds = [name.split("-")[0] for name in names]
        self.assertEqual(["identity", "snapshot", "wal"], kinds)

    def assert_survives(self, prepared, action, allowed):
        """Ends process or power at each step of ``action``."""
        with self.files.installed():
            storage = self.prepare(prepared)
            states = self.collect_states(lambda: action(storage))
            self.assertGreater(len(states), 1)
            for state in states:
                self.assert_reads_back(state, allowed)
        self.assert_survives_failed_disk(prepared, action, allowed)

    def assert_survives_failed_disk(self, prepared, action, allowed):
        """Refuses all steps of ``action`` from each one on."""
        refused = True
        steps = 0
        while refused:
            with self.files.installed():
                storage = self.prepare(prepared)
                self.files.before_step = _filesystem.StepLimit(
                    steps, _filesystem.no_space(), repeat=True
                )
                refused = self.is_refused(action, storage)
                storage.close()
                self.is_refused(self.storage().open)
                self.files.before_step = lambda: None
                state = self.files.current_state()
                self.assert_reads_back(state, allowed)
            steps += 1
        self.assertGreater(steps, 1)

    def is_refused(self, action, *args):
        try:
            action(*args)
        except (consensus.StorageError, OSError) as exc:
            self.assertIn("No space left", str(exc))
            return True
        return False

    def test_appended_entries(self):
        self.assert_survives(
            [make_ready(1, 2)],
            lambda storage: storage.save(make_ready(3, term=2)),
            [
                make_state(1, 0, 1, 2),
                State(2, 0, [(1, 1), (2, 1), (3, 2)]),
            ],
        )

    def test_replaced_entries(self):
        self.assert_survives(
            [make_ready(1, 2, 3)],
            lambda storage: storage.save(make_ready(2, term=2)),
            [make_state(1, 0, 1, 2, 3), State(2, 0, [(1, 1), (2, 2)])],
        )

    def test_own_snapshot(self):
        self.assert_survives(
            [make_ready(1, 2, 3)],
            lambda storage: storage.save_snapshot(
                wire.SnapshotMeta(index=2, term=1),
                b"state",
                wire.HardState(term=1, voted_for="c1"),
                make_ready(3).entries,
            ),
            [make_state(1, 0, 1, 2, 3), make_state(1, 2, 3)],
        )

    def test_installed_snapshot_past_end_of_log(self):
        install = make_install(95, term=2)
        install.hard_state = wire.HardState(term=2, voted_for="c1")
        install.entries = make_ready(96, term=2).entries
        self.assert_survives(
            [make_ready(1, 2, 3)],
            lambda storage: storage.save(install),
            [
                make_state(1, 0, 1, 2, 3),
                make_state(1, 95),
                make_state(2, 95, 96),
            ],
        )

    def test_installed_snapshot_in_place_of_entries_of_earlier_term(self):
        self.assert_survives(
            [make_ready(1, 2, 3, 4), make_ready(term=3)],
            lambda storage: storage.save(make_install(2, term=2)),
            [State(3, 0, [(1, 1), (2, 1), (3, 1), (4, 1)]), State(3, 2, [])],
        )

    def test_installed_snapshot_in_place_of_entries_of_later_term(self):
        # Until the new log file exists, replaced entries of a later term
        # can't be told from entries after the snapshot.
        self.assert_survives(
            [make_ready(1, 2, 3, 4, term=3)],
            lambda storage: storage.save(make_install(2, term=2)),
            [
                make_state(3, 0, 1, 2, 3, 4),
                make_state(3, 2, 3, 4),
                make_state(3, 2),
            ],
        )

    def test_vote_after_installed_snapshot(self):
        self.assert_survives(
            [make_ready(1, 2, 3, 4, term=3), make_install(2, term=2)],
            lambda storage: storage.save(make_ready(term=4)),
            [make_state(3, 2), make_state(4, 2)],
        )

    def test_second_installed_snapshot(self):
        self.assert_survives(
            [make_ready(1), make_install(50, term=1), make_ready(51, 52)],
            lambda storage: storage.save(make_install(95, term=1)),
            [make_state(1, 50, 51, 52), make_state(1, 95)],
        )

    def test_entries_after_installed_snapshot(self):
        self.assert_survives(
            [make_ready(1, 2, 3), make_install(95, term=1)],
            lambda storage: storage.save(make_ready(96)),
            [make_state(1, 95), make_state(1, 95, 96)],
        )

    def test_checks_detect_log_that_is_kept(self):
        self.storage_class = KeepsLogOfInstall
        self.assertRaises(
            testtools.matchers.MismatchError,
            self.test_vote_after_installed_snapshot,
        )

    def test_checks_detect_log_that_is_removed_first(self):
        self.storage_class = RemovesLogBeforeSnapshot
        self.assertRaises(
            testtools.matchers.MismatchError, self.test_own_snapshot
        )


class TestEarlierReleases(StorageTestCase):
    """Directories of releases that kept one log file over an install."""

    def write_log(self, *batches):
        """Writes records that lack those of the installed snapshot."""
        storage = self.storage()
        storage.open()
        for ready in batches:
            storage.save(ready)
        storage.close()

    def install(self, index, *, term):
        self.storage()._write_snapshot(
            wire.SnapshotMeta(index=index, term=term), b"state"
        )

    def test_gap_that_the_snapshot_covers_is_accepted(self):
        self.write_log(make_ready(1, 2, 3))
        log = max(self.directory.glob("wal-*"))
        first = log.read_bytes()
        self.install(95, term=2)
        self.write_log(make_ready(96, 97, term=2))
        log = max(self.directory.glob("wal-*"))
        log.write_bytes(first + log.read_bytes())
        self.assertEqual([96, 97], self.stored_indexes())

    def test_gap_that_the_snapshot_does_not_cover_is_rejected(self):
        self.write_log(make_ready(1, 2, 3))
        log = max(self.directory.glob("wal-*"))
        first = log.read_bytes()
        self.install(96, term=2)
        self.write_log(make_ready(97, 98, term=2))
        log = max(self.directory.glob("wal-*"))
        log.write_bytes(first + log.read_bytes())
        for path in self.directory.glob("snapshot-*"):
            path.unlink()
        self.install(95, term=2)
        error = self.assertRaises(consensus.StorageError, self.storage().open)
        self.assertIn("entries 96 to 96 are missing", str(error))

    def test_entries_that_the_snapshot_replaced_are_dropped(self):
        self.write_log(make_ready(1, 2, 3, 4))
        self.install(2, term=2)
        self.assertEqual([], self.stored_indexes())
