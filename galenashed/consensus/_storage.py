"""Durable state of one replica: a write-ahead log and a snapshot.

The data directory holds ``identity`` (cluster and replica name),
``snapshot-<index>`` and ``wal-<sequence>`` files.  A record consists of the
length and the CRC-32 of its payload, both unsigned 32-bit little-endian,
followed by the MessagePack payload.  Data counts as stored only once it is
synced.

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


def _encode_record(payload: bytes) -> bytes:
    return RECORD_HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def _write_file(path: pathlib.Path, payload: bytes) -> None:
    """Writes a file of one record atomically."""
    partial = path.with_suffix(".partial")
    with open(partial, "wb") as out:
        out.write(_encode_record(payload))
        out.flush()
        os.fsync(out.fileno())
    os.replace(partial, path)
    _sync_directory(path.parent)


def _read_file(path: pathlib.Path) -> bytes:
    raw = path.read_bytes()
    payload = raw[RECORD_HEADER.size :]
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

    __slots__ = ("_fd", "_sequence", "cluster", "directory", "name")

    def __init__(self, *, directory: pathlib.Path, cluster: str, name: str):
        self.directory = pathlib.Path(directory)
        self.cluster = cluster
        self.name = name
        self._fd = -1
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
        _write_file(
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
        hard_state = wire.HardState()
        entries: list[wire.Entry] = []
        for path in paths:
            last = path == paths[-1]
            for record in self._read_wal(path, last=last):
                hard_state = record.hard_state or hard_state
                _merge_entries(entries, record.entries, path)
        kept = [e for e in entries if e.index > snapshot.meta.index]
        if kept and kept[0].index != snapshot.meta.index + 1:
            raise StorageError(
                f"{self.directory}: entries {snapshot.meta.index + 1} to"
                f" {kept[0].index - 1} are missing"
            )
        self._sequence = _wal_sequence(paths[-1]) if paths else 0
        self._open_wal(hard_state, kept)
        for path in paths:
            path.unlink()
        return _state.Restored(
            hard_state=hard_state,
            snapshot=snapshot.meta,
            snapshot_data=snapshot.data,
            entries=kept,
        )

    def save(self, ready: _state.Ready) -> None:
        """Writes and syncs ``ready``; raises StorageError on failure."""
        try:
            if ready.snapshot is not None:
                self._write_snapshot(ready.snapshot, ready.snapshot_data)
            if ready.hard_state or ready.entries:
                record = WalRecord(ready.hard_state, ready.entries)
                self._append(record)
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
            old = self._wal_paths()
            os.close(self._fd)
            self._open_wal(hard_state, entries)
            for path in old:
                path.unlink()
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

    def _open_wal(self, hard_state, entries) -> None:
        self._sequence += 1
        path = self.directory / f"wal-{self._sequence:012d}.log"
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND
        self._fd = os.open(path, flags, 0o600)
        self._append(WalRecord(hard_state, entries))
        _sync_directory(self.directory)

    def _append(self, record: WalRecord) -> None:
        data = _encode_record(msgspec.msgpack.encode(record))
        view = memoryview(data)
        while view:
            written = os.write(self._fd, view)
            view = view[written:]
        os.fdatasync(self._fd)

    def _write_snapshot(self, meta: wire.SnapshotMeta, data: bytes) -> None:
        payload = msgspec.msgpack.encode(SnapshotFile(meta, data))
        path = self.directory / f"snapshot-{meta.index:015d}.snap"
        _write_file(path, payload)
        for old in self.directory.glob("snapshot-*.snap"):
            if old < path:
                old.unlink()

    def _read_snapshot(self) -> SnapshotFile:
        paths = sorted(self.directory.glob("snapshot-*.snap"))
        if not paths:
            return SnapshotFile(wire.SnapshotMeta(), b"")
        payload = _read_file(paths[-1])
        return msgspec.msgpack.decode(payload, type=SnapshotFile)

    def _read_wal(self, path: pathlib.Path, *, last: bool) -> list[WalRecord]:
        raw = path.read_bytes()
        records = []
        offset = 0
        while offset < len(raw):
            payload = _read_record(raw, offset)
            if payload is None:
                if last and _is_torn(raw, offset):
                    # Truncated on disk as well: at the next start this may
                    # not be the last file, and the torn record would be
                    # taken for corruption.
                    _truncate(path, offset)
                    break
                raise StorageError(f"{path}: damaged at byte {offset}")
            records.append(msgspec.msgpack.decode(payload, type=WalRecord))
            offset += RECORD_HEADER.size + len(payload)
        return records


def _truncate(path: pathlib.Path, size: int) -> None:
    with open(path, "r+b") as out:
        out.truncate(size)
        os.fsync(out.fileno())


def read_identity(directory: pathlib.Path) -> Identity:
    """Returns the identity stored in a directory; raises StorageError."""
    content = _read_file(directory / "identity")
    return msgspec.msgpack.decode(content, type=Identity)


def _read_record(raw: bytes, offset: int) -> bytes | None:
    start = offset + RECORD_HEADER.size
    if start > len(raw):
        return None
    length, checksum = RECORD_HEADER.unpack_from(raw, offset)
    payload = raw[start : start + length]
    if len(payload) < length or zlib.crc32(payload) != checksum:
        return None
    return payload


def _is_torn(raw: bytes, offset: int) -> bool:
    """Whether the record at ``offset`` was cut short by a crash.

    That is, it reaches the end of the file, or only zeros follow.
    """
    if offset + RECORD_HEADER.size >= len(raw):
        return True
    length, _ = RECORD_HEADER.unpack_from(raw, offset)
    end = offset + RECORD_HEADER.size + length
    return end >= len(raw) or not any(raw[offset:])


def _merge_entries(entries, new_entries, path) -> None:
    """Appends new entries, replacing any from the same index on."""
    for entry in new_entries:
        if entries and entry.index <= entries[-1].index:
            keep = max(0, entry.index - entries[0].index)
            del entries[keep:]
        if entries and entry.index != entries[-1].index + 1:
            raise StorageError(
                f"{path}: entries before {entry.index} are missing"
            )
        entries.append(entry)


def _wal_sequence(path: pathlib.Path) -> int:
    return int(path.stem.removeprefix("wal-"))
