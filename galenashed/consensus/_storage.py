"""Durable state of one replica: a write-ahead log and a snapshot.

The data directory holds ``identity`` (cluster and replica name),
``snapshot-<index>`` and ``wal-<sequence>`` files.  A record consists of the
length and the CRC-32 of its payload, both unsigned 32-bit little-endian,
followed by the MessagePack payload.  Data counts as stored only once it is
synced.

The first record of a log file holds the whole state that is not in the
snapshot: the hard state and all entries after the snapshot.  Each start and
each snapshot, whether taken or installed, begin a new file once the snapshot
is stored, and remove the earlier files once the new one is.  Only the last
file with a complete first record is read; earlier ones may reappear after a
power loss.

If a crash comes between snapshot and new log file, the log is older than the
snapshot: it may end before the snapshot does, or hold entries that the
snapshot replaces.

A record truncated by the end of the last file stems from a crash during a
write that was never acknowledged; it is dropped.  Corruption anywhere else is
an error, as the replica would otherwise lose entries it has acknowledged.
"""

import os
import pathlib
import struct
import zlib

import msgspec

from galenashed.consensus import _state
from galenashed.protocol import consensus as wire

RECORD_HEADER = struct.Struct("<II")


class StorageError(Exception):
    """The data directory is unusable; the message names file and cause."""


class Identity(msgspec.Struct, frozen=True):
    """Cluster and replica that a data directory belongs to."""

    cluster: str
    name: str


class WalRecord(msgspec.Struct, array_like=True, frozen=True):
    """One record of the write-ahead log."""

    hard_state: wire.HardState | None
    entries: list[wire.Entry]


class SnapshotFile(msgspec.Struct, array_like=True, frozen=True):
    """Content of a snapshot file."""

    meta: wire.SnapshotMeta
    data: bytes


def _sync_directory(directory: pathlib.Path) -> None:
    fd = os.open(directory, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def _make_header(payload: bytes) -> bytes:
    return RECORD_HEADER.pack(len(payload), zlib.crc32(payload))


def _encode_record(payload: bytes) -> bytes:
    return _make_header(payload) + payload


def write_file(path: pathlib.Path, payload: bytes) -> None:
    """Writes a file of one record atomically."""
    partial = path.with_suffix(".partial")
    flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND
    fd = os.open(partial, flags, 0o666)
    try:
        # Without a copy of the payload, which may be large.
        _write(fd, _make_header(payload))
        _write(fd, payload)
        os.fsync(fd)
    finally:
        os.close(fd)
    os.replace(partial, path)
    _sync_directory(path.parent)


def read_file(path: pathlib.Path) -> memoryview:
    """Returns what :func:`write_file` wrote; raises StorageError."""
    raw = path.read_bytes()
    payload = memoryview(raw)[RECORD_HEADER.size :]
    if len(raw) < RECORD_HEADER.size:
        raise StorageError(f"{path}: file is truncated")
    length, checksum = RECORD_HEADER.unpack_from(raw)
    if length != len(payload) or checksum != zlib.crc32(payload):
        raise StorageError(f"{path}: checksum mismatch")
    return payload


class Storage:
    """Data directory of a replica.

    Parameters
    ----------
    directory : pathlib.Path
        The data directory.
    cluster, name : str
        Must equal those that the directory was created with.

    Example::

        storage = Storage(directory=directory, cluster="reykjanes", name="c1")
        storage.create(members)  # once, when the cluster is set up
        restored = storage.open()
    """

    __slots__ = (
        "_fd",
        "_hard_state",
        "_sequence",
        "cluster",
        "directory",
        "name",
    )

    def __init__(self, *, directory: pathlib.Path, cluster: str, name: str):
        self.directory = pathlib.Path(directory)
        self.cluster = cluster
        self.name = name
        self._fd = -1
        self._hard_state = wire.HardState()
        self._sequence = 0

    def create(self, members: tuple[wire.Member, ...]) -> None:
        """Creates the data directory of a new replica.

        ``members`` are the initial members of a new cluster, the same on
        each replica; empty for a replica that joins an existing cluster and
        learns the members from it.  Raises StorageError if the directory is
        not empty.
        """
        self.directory.mkdir(parents=True, exist_ok=True)
        if any(self.directory.iterdir()):
            raise StorageError(f"{self.directory}: directory is not empty")
        self._write_snapshot(wire.SnapshotMeta(members=members), b"")
        identity = Identity(cluster=self.cluster, name=self.name)
        write_file(
            self.directory / "identity", msgspec.msgpack.encode(identity)
        )

    def exists(self) -> bool:
        """Whether the directory was initialized by :meth:`create`."""
        return (self.directory / "identity").exists()

    def open(self) -> _state.Restored:
        """Reads the stored state and opens a new log file for appending."""
        self._check_identity()
        snapshot = self._read_snapshot()
        paths = self._wal_paths()
        self._sequence = _wal_sequence(paths[-1]) if paths else 0
        log, hard_state, entries = self._read_log(snapshot.meta)
        if log is None and not _is_new(snapshot.meta, paths):
            raise StorageError(f"{self.directory}: no complete log file")
        self._remove_leftovers(log)
        self._start_log(hard_state, entries)
        return _state.Restored(
            hard_state=hard_state,
            snapshot=snapshot.meta,
            snapshot_data=snapshot.data,
            entries=entries,
        )

    def save(self, ready: _state.Ready) -> None:
        """Writes and syncs ``ready``; raises StorageError on failure."""
        try:
            if ready.snapshot is not None:
                self._write_snapshot(ready.snapshot, ready.snapshot_data)
                self._start_log(
                    ready.hard_state or self._hard_state, ready.entries
                )
            elif ready.hard_state or ready.entries:
                record = WalRecord(ready.hard_state, ready.entries)
                _append(self._fd, record)
                self._hard_state = ready.hard_state or self._hard_state
        except OSError as exc:
            raise StorageError(f"{self.directory}: {exc}") from exc

    def save_snapshot(
        self,
        meta: wire.SnapshotMeta,
        data: bytes,
        hard_state: wire.HardState,
        entries: list[wire.Entry],
    ) -> None:
        """Stores a snapshot and starts a log file with the later entries."""
        try:
            self._write_snapshot(meta, data)
            self._start_log(hard_state, entries)
        except OSError as exc:
            raise StorageError(f"{self.directory}: {exc}") from exc

    def close(self) -> None:
        """Closes the current log file."""
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1

    def size(self) -> int:
        """Returns the total size of the files in bytes."""
        return sum(path.stat().st_size for path in self.directory.iterdir())

    def _check_identity(self) -> None:
        path = self.directory / "identity"
        if not path.exists():
            raise StorageError(
                f"{self.directory}: no replica data found; a replica that has"
                " lost its disk must not vote under its old name"
            )
        identity = read_identity(self.directory)
        expected = Identity(cluster=self.cluster, name=self.name)
        if identity != expected:
            raise StorageError(
                f"{path}: belongs to replica {identity.name!r} of"
                f" cluster {identity.cluster!r}, not to {self.name!r} of"
                f" {self.cluster!r}"
            )

    def _wal_paths(self) -> list[pathlib.Path]:
        return sorted(self.directory.glob("wal-*.log"))

    def _start_log(self, hard_state, entries) -> None:
        """Starts a log file that replaces all earlier ones."""
        old = self._wal_paths()
        self._sequence += 1
        path = self.directory / f"wal-{self._sequence:012d}.log"
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND
        fd = os.open(path, flags, 0o600)
        try:
            _append(fd, WalRecord(hard_state, entries))
            _sync_directory(self.directory)
        except OSError:
            os.close(fd)
            raise
        self.close()
        self._fd = fd
        self._hard_state = hard_state
        for path in old:
            path.unlink()

    def _write_snapshot(self, meta: wire.SnapshotMeta, data: bytes) -> None:
        payload = msgspec.msgpack.encode(SnapshotFile(meta, data))
        path = self.directory / f"snapshot-{meta.index:015d}.snap"
        write_file(path, payload)
        for old in self._snapshot_paths():
            if old < path:
                old.unlink()

    def _remove_leftovers(self, log: pathlib.Path | None) -> None:
        """Removes what was interrupted, and what a power loss brought back.

        Before anything is written, so that this has room on a full disk.
        """
        for path in (
            *self.directory.glob("*.partial"),
            *self._snapshot_paths()[:-1],
            *self._wal_paths(),
        ):
            if path != log:
                path.unlink()

    def _snapshot_paths(self) -> list[pathlib.Path]:
        return sorted(self.directory.glob("snapshot-*.snap"))

    def _read_snapshot(self) -> SnapshotFile:
        paths = self._snapshot_paths()
        if not paths:
            return SnapshotFile(wire.SnapshotMeta(), b"")
        payload = read_file(paths[-1])
        return msgspec.msgpack.decode(payload, type=SnapshotFile)

    def _read_log(
        self, snapshot: wire.SnapshotMeta
    ) -> tuple[pathlib.Path | None, wire.HardState, list[wire.Entry]]:
        """Returns the log file in use and its state after a snapshot."""
        hard_state = wire.HardState()
        entries: list[wire.Entry] = []
        for path in reversed(self._wal_paths()):
            records = _read_wal(path)
            if not records:
                # Not in use yet, so the file before it still counts.
                continue
            for record in records:
                hard_state = record.hard_state or hard_state
                _merge_entries(entries, record.entries, snapshot.index, path)
            return path, hard_state, _drop_replaced(entries, snapshot)
        return None, hard_state, entries


def _append(fd: int, record: WalRecord) -> None:
    _write(fd, _encode_record(msgspec.msgpack.encode(record)))
    os.fdatasync(fd)


def _write(fd: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        written = os.write(fd, view)
        view = view[written:]


def read_identity(directory: pathlib.Path) -> Identity:
    """Returns the identity stored in a directory; raises StorageError."""
    content = read_file(directory / "identity")
    return msgspec.msgpack.decode(content, type=Identity)


def _read_wal(path: pathlib.Path) -> list[WalRecord]:
    raw = memoryview(path.read_bytes())
    records = []
    offset = 0
    while offset < len(raw):
        payload = _read_record(raw, offset)
        if payload is None:
            if _is_torn(raw, offset):
                break
            raise StorageError(f"{path}: damaged at byte {offset}")
        records.append(msgspec.msgpack.decode(payload, type=WalRecord))
        offset += RECORD_HEADER.size + len(payload)
    return records


def _is_new(snapshot: wire.SnapshotMeta, paths: list[pathlib.Path]) -> bool:
    """Whether a directory without a complete log file was never in use.

    Its first start may have been cut short, and leaves a part of the record
    of an empty state, with zeros in place of what was not written.
    """
    payload = msgspec.msgpack.encode(WalRecord(wire.HardState(), []))
    empty = _encode_record(payload)
    for path in paths:
        raw = path.read_bytes()
        expected = zip(raw, empty, strict=False)
        if len(raw) > len(empty) or any(x not in (0, y) for x, y in expected):
            return False
    return snapshot.index == 0


def _read_record(raw: memoryview, offset: int) -> memoryview | None:
    start = offset + RECORD_HEADER.size
    if start > len(raw):
        return None
    length, checksum = RECORD_HEADER.unpack_from(raw, offset)
    payload = raw[start : start + length]
    # Zeros would pass the checksum, as that of nothing is zero.
    if not payload or len(payload) < length:
        return None
    return payload if zlib.crc32(payload) == checksum else None


def _is_torn(raw: memoryview, offset: int) -> bool:
    """Whether the record at ``offset`` was cut short by a crash.

    That is, it reaches the end of the file, or only zeros follow.
    """
    if offset + RECORD_HEADER.size >= len(raw):
        return True
    length, _ = RECORD_HEADER.unpack_from(raw, offset)
    end = offset + RECORD_HEADER.size + length
    return end >= len(raw) or not any(raw[offset:])


def _merge_entries(entries, new_entries, snapshot_index, path) -> None:
    """Appends new entries, replacing any from the same index on.

    Entries up to ``snapshot_index`` are left out, and may be missing.
    """
    for entry in new_entries:
        if entry.index <= snapshot_index:
            entries.clear()
            continue
        position = entry.index - snapshot_index - 1
        if position > len(entries):
            raise StorageError(
                f"{path}: entries {snapshot_index + len(entries) + 1} to"
                f" {entry.index - 1} are missing"
            )
        del entries[position:]
        entries.append(entry)


def _drop_replaced(
    entries: list[wire.Entry], snapshot: wire.SnapshotMeta
) -> list[wire.Entry]:
    """Returns the entries before the first of a term before the snapshot's.

    Terms never decrease along a log, so that entry and those after it belong
    to a log that the snapshot has replaced.
    """
    for position, entry in enumerate(entries):
        if entry.term < snapshot.term:
            return entries[:position]
    return entries


def _wal_sequence(path: pathlib.Path) -> int:
    return int(path.stem.removeprefix("wal-"))
