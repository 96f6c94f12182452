"""The durable state of one replica: a write-ahead log and a snapshot.

The folder holds ``identity`` (cluster and replica name),
``snapshot-<index>`` and ``wal-<sequence>`` files.  A record is its length and
the CRC-32 of its payload, both unsigned 32-bit little-endian, followed by
the MessagePack payload.  Nothing counts as stored before it is synced.

A record that is cut off by the end of the last file is the trace of a crash
during a write that nobody was told of; it is dropped.  Damage anywhere else
is an error, for the replica would otherwise deny what it has acknowledged.
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
    """The data folder can't be used; the message says which file and why."""


class Identity(msgspec.Struct, frozen=True):
    """Whose data the folder holds."""

    cluster: str
    name: str


class Batch(msgspec.Struct, array_like=True, frozen=True):
    """One record of the write-ahead log."""

    hard_state: wire.HardState | None
    entries: list[wire.Entry]


class SnapshotFile(msgspec.Struct, array_like=True, frozen=True):
    """The content of a snapshot file."""

    meta: wire.SnapshotMeta
    data: bytes


def _sync_folder(folder: pathlib.Path) -> None:
    fd = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def _frame(payload: bytes) -> bytes:
    return RECORD_HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def _write_file(path: pathlib.Path, payload: bytes) -> None:
    """Writes a framed file so that it is there whole or not at all."""
    partial = path.with_suffix(".partial")
    with open(partial, "wb") as out:
        out.write(_frame(payload))
        out.flush()
        os.fsync(out.fileno())
    os.replace(partial, path)
    _sync_folder(path.parent)


def _read_file(path: pathlib.Path) -> bytes:
    raw = path.read_bytes()
    payload = raw[RECORD_HEADER.size :]
    if len(raw) < RECORD_HEADER.size:
        raise StorageError(f"{path}: file is cut off")
    length, checksum = RECORD_HEADER.unpack_from(raw)
    if length != len(payload) or checksum != zlib.crc32(payload):
        raise StorageError(f"{path}: checksum does not match")
    return payload


class Storage:
    """The data folder of a replica.

    Parameters
    ----------
    folder : pathlib.Path
        Where the files live.
    cluster, name : str
        Must be those that the folder was made for.

    Example::

        storage = Storage(folder=folder, cluster="reykjanes", name="c1")
        storage.create(members)  # once, when the cluster is set up
        restored = storage.open()
    """

    __slots__ = ("_fd", "_sequence", "cluster", "folder", "name")

    def __init__(self, *, folder: pathlib.Path, cluster: str, name: str):
        self.folder = pathlib.Path(folder)
        self.cluster = cluster
        self.name = name
        self._fd = -1
        self._sequence = 0

    def create(self, members: tuple[wire.Member, ...]) -> None:
        """Makes the folder of a replica that has never taken part.

        ``members`` are those of a new cluster, the same at each of them;
        none for a replica that joins a cluster, which tells it.  Raises
        StorageError if the folder holds anything already.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        if any(self.folder.iterdir()):
            raise StorageError(f"{self.folder}: folder is not empty")
        self._write_snapshot(wire.SnapshotMeta(members=members), b"")
        identity = Identity(cluster=self.cluster, name=self.name)
        _write_file(self.folder / "identity", msgspec.msgpack.encode(identity))

    def exists(self) -> bool:
        """Whether the folder was made by :meth:`create`."""
        return (self.folder / "identity").exists()

    def open(self) -> _state.Restored:
        """Reads the folder and opens a new log file for appending."""
        self._check_identity()
        snapshot = self._read_snapshot()
        paths = self._wal_paths()
        hard_state = wire.HardState()
        entries: list[wire.Entry] = []
        for path in paths:
            last = path == paths[-1]
            for batch in self._read_wal(path, last=last):
                hard_state = batch.hard_state or hard_state
                _merge(entries, batch.entries, path)
        kept = [e for e in entries if e.index > snapshot.meta.index]
        if kept and kept[0].index != snapshot.meta.index + 1:
            raise StorageError(
                f"{self.folder}: entries {snapshot.meta.index + 1} to"
                f" {kept[0].index - 1} are missing"
            )
        self._sequence = _sequence_of(paths[-1]) if paths else 0
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
        """Makes ``ready`` durable; raises StorageError if it can't."""
        try:
            if ready.snapshot is not None:
                self._write_snapshot(ready.snapshot, ready.snapshot_data)
            if ready.hard_state or ready.entries:
                batch = Batch(ready.hard_state, ready.entries)
                self._append(batch)
        except OSError as exc:
            raise StorageError(f"{self.folder}: {exc}") from exc

    def save_snapshot(
        self,
        meta: wire.SnapshotMeta,
        data: bytes,
        hard_state: wire.HardState,
        entries: list[wire.Entry],
    ) -> None:
        """Stores a snapshot and starts a log file with what follows it."""
        try:
            self._write_snapshot(meta, data)
            old = self._wal_paths()
            os.close(self._fd)
            self._open_wal(hard_state, entries)
            for path in old:
                path.unlink()
        except OSError as exc:
            raise StorageError(f"{self.folder}: {exc}") from exc

    def close(self) -> None:
        """Closes the log file."""
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1

    def size(self) -> int:
        """Returns the bytes that the folder takes."""
        return sum(path.stat().st_size for path in self.folder.iterdir())

    def _check_identity(self) -> None:
        path = self.folder / "identity"
        if not path.exists():
            raise StorageError(
                f"{self.folder}: no replica data here; a replica that has"
                " lost its disk must not vote under its old name"
            )
        identity = read_identity(self.folder)
        wanted = Identity(cluster=self.cluster, name=self.name)
        if identity != wanted:
            raise StorageError(
                f"{path}: holds the data of replica {identity.name!r} of"
                f" cluster {identity.cluster!r}, not of {self.name!r} of"
                f" {self.cluster!r}"
            )

    def _wal_paths(self) -> list[pathlib.Path]:
        return sorted(self.folder.glob("wal-*.log"))

    def _open_wal(self, hard_state, entries) -> None:
        self._sequence += 1
        path = self.folder / f"wal-{self._sequence:012d}.log"
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND
        self._fd = os.open(path, flags, 0o600)
        self._append(Batch(hard_state, entries))
        _sync_folder(self.folder)

    def _append(self, batch: Batch) -> None:
        data = _frame(msgspec.msgpack.encode(batch))
        view = memoryview(data)
        while view:
            written = os.write(self._fd, view)
            view = view[written:]
        os.fdatasync(self._fd)

    def _write_snapshot(self, meta: wire.SnapshotMeta, data: bytes) -> None:
        payload = msgspec.msgpack.encode(SnapshotFile(meta, data))
        path = self.folder / f"snapshot-{meta.index:015d}.snap"
        _write_file(path, payload)
        for old in self.folder.glob("snapshot-*.snap"):
            if old < path:
                old.unlink()

    def _read_snapshot(self) -> SnapshotFile:
        paths = sorted(self.folder.glob("snapshot-*.snap"))
        if not paths:
            return SnapshotFile(wire.SnapshotMeta(), b"")
        payload = _read_file(paths[-1])
        return msgspec.msgpack.decode(payload, type=SnapshotFile)

    def _read_wal(self, path: pathlib.Path, *, last: bool) -> list[Batch]:
        raw = path.read_bytes()
        batches = []
        offset = 0
        while offset < len(raw):
            payload = _record_at(raw, offset)
            if payload is None:
                if last and _is_torn(raw, offset):
                    # Cut for good: the file will not be the last one next
                    # time, and a torn record would look like damage.
                    _truncate(path, offset)
                    break
                raise StorageError(f"{path}: damaged at byte {offset}")
            batches.append(msgspec.msgpack.decode(payload, type=Batch))
            offset += RECORD_HEADER.size + len(payload)
        return batches


def _truncate(path: pathlib.Path, size: int) -> None:
    with open(path, "r+b") as out:
        out.truncate(size)
        os.fsync(out.fileno())


def read_identity(folder: pathlib.Path) -> Identity:
    """Returns whose data a folder holds; raises StorageError."""
    content = _read_file(folder / "identity")
    return msgspec.msgpack.decode(content, type=Identity)


def _record_at(raw: bytes, offset: int) -> bytes | None:
    start = offset + RECORD_HEADER.size
    if start > len(raw):
        return None
    length, checksum = RECORD_HEADER.unpack_from(raw, offset)
    payload = raw[start : start + length]
    if len(payload) < length or zlib.crc32(payload) != checksum:
        return None
    return payload


def _is_torn(raw: bytes, offset: int) -> bool:
    """Whether the record at ``offset`` runs to the end of the file."""
    if offset + RECORD_HEADER.size >= len(raw):
        return True
    length, _ = RECORD_HEADER.unpack_from(raw, offset)
    end = offset + RECORD_HEADER.size + length
    return end >= len(raw) or not any(raw[offset:])


def _merge(entries, fresh, path) -> None:
    """Appends ``fresh``, which replaces held entries of equal index on."""
    for entry in fresh:
        if entries and entry.index <= entries[-1].index:
            keep = max(0, entry.index - entries[0].index)
            del entries[keep:]
        if entries and entry.index != entries[-1].index + 1:
            raise StorageError(f"{path}: entry {entry.index} has a gap")
        entries.append(entry)


def _sequence_of(path: pathlib.Path) -> int:
    return int(path.stem.removeprefix("wal-"))
