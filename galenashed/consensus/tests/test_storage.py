"""Tests of the storage of a replica."""

import pathlib
import tempfile
from unittest import mock

import testtools

from galenashed import consensus
from galenashed.protocol import consensus as wire


def make_ready(*indexes: int, term: int = 1) -> consensus.Ready:
    ready = consensus.Ready()
    ready.hard_state = wire.HardState(term=term, voted_for="c1")
    ready.entries = [wire.Entry(i, term, b"x" * 100) for i in indexes]
    return ready


class TestStorage(testtools.TestCase):
    """What is read back and which data directories are rejected."""

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

    def test_corruption_before_the_tail_is_rejected(self):
        path = self.fill([1, 2], [3])
        raw = bytearray(path.read_bytes())
        raw[40] ^= 0xFF
        path.write_bytes(raw)
        error = self.assertRaises(consensus.StorageError, self.storage().open)
        self.assertIn(str(path), str(error))
        self.assertIn("damaged at byte", str(error))

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
