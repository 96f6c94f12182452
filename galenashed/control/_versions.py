"""Which versions of software the targets of each service have had.

A stream begins only at a version that most voting replicas have recorded
before.  So an entry that asks most of them learns every version that may have
begun a stream, also after all processes were killed at the same moment.  The
records are not part of the replicated log: they only ever gain versions, and
can be written while the replicas have no leader.
"""

import asyncio
import pathlib
import time
import typing

import loguru
import msgspec

from galenashed import consensus
from galenashed.protocol import streams as wire

LOG = loguru.logger

# Entries record the versions in use again after this time, so that one which
# was not recorded for longer is not in use.
REFRESH_SECONDS = 60.0
# Longer than any stream may last.
RETENTION_SECONDS = 1800.0


class StoredVersion(msgspec.Struct, array_like=True, frozen=True):
    """A version and the Unix time at which it was recorded last."""

    service: str
    version: str
    at: float


class VersionFile(msgspec.Struct, array_like=True, frozen=True):
    """Content of the file: the records are complete since a Unix time."""

    since: float
    versions: list[StoredVersion]


class VersionRecords:
    """The versions that one replica has recorded, in a file that is synced.

    Parameters
    ----------
    path : pathlib.Path
        The file; replaced as a whole at each change.
    clock : callable
        Returns the Unix time.

    Example::

        records = VersionRecords(path=directory / "versions")
        records.open(complete=True)
        await records.record([SoftwareVersion(service="s", version="v1")])
        assert records.find("s", 60.0).versions == ["v1"]
    """

    def __init__(
        self,
        *,
        path: pathlib.Path,
        clock: typing.Callable[[], float] = time.time,
    ):
        self.path = path
        self.clock = clock
        self._since = 0.0
        self._recorded: dict[tuple[str, str], float] = {}
        self._lock = asyncio.Lock()

    def open(self, *, complete: bool) -> None:
        """Reads the file, or creates it.

        ``complete`` tells whether a file that is missing means that there
        was nothing to record, and not that it was lost with a disk.
        """
        since = 0.0 if complete else self.clock()
        if self.path.exists():
            try:
                content = msgspec.msgpack.decode(
                    consensus.read_file(self.path), type=VersionFile
                )
            except (consensus.StorageError, msgspec.MsgspecError) as exc:
                LOG.error("records of versions are lost: {}", exc)
                since = self.clock()
            else:
                self._since = content.since
                self._recorded = {
                    (item.service, item.version): item.at
                    for item in content.versions
                }
                return
        self._since = since
        try:
            self._write(self._recorded)
        except OSError as exc:
            # Nothing is recorded until the disk can be written.
            LOG.error("records of versions can't be written: {}", exc)

    async def record(
        self, versions: typing.Iterable[wire.SoftwareVersion]
    ) -> None:
        """Records versions durably; raises OSError."""
        async with self._lock:
            now = self.clock()
            recorded = {
                key: at
                for key, at in self._recorded.items()
                if now - at < RETENTION_SECONDS
            }
            for item in versions:
                recorded[item.service, item.version] = now
            if self._is_recent(recorded, now):
                return
            loop = asyncio.get_running_loop()
            await loop.run_in_executor(None, self._write, recorded)
            self._recorded = recorded

    def _is_recent(
        self, recorded: dict[tuple[str, str], float], now: float
    ) -> bool:
        """Whether the file has these versions, and recent times of them.

        Several entries record the same versions at different times.
        """
        return self._recorded.keys() == recorded.keys() and all(
            0 <= now - at < REFRESH_SECONDS / 2
            for key, at in self._recorded.items()
            if recorded[key] == now
        )

    def find(self, service: str, max_age: float) -> wire.VersionReply:
        """Returns the versions in use in the last ``max_age`` seconds."""
        now = self.clock()
        oldest = now - max_age
        return wire.VersionReply(
            versions=sorted(
                version
                for (name, version), at in self._recorded.items()
                if name == service and at >= oldest - 2 * REFRESH_SECONDS
            ),
            complete=self._since <= oldest,
        )

    def _write(self, recorded: dict[tuple[str, str], float]) -> None:
        content = VersionFile(
            since=self._since,
            versions=[
                StoredVersion(service, version, at)
                for (service, version), at in recorded.items()
            ],
        )
        consensus.write_file(self.path, msgspec.msgpack.encode(content))
