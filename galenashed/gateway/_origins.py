"""Where streams began: records of this entry, kept for a bounded time."""

import typing

from galenashed.protocol import streams as wire

# About a minute of the streams that an entry of the largest expected fleet
# keeps for others: 4,700 streams a second, each kept by five of 370 entries.
MAX_ORIGIN_RECORDS = 20_000
MAX_KEEP_SECONDS = 600.0


class OriginFinder(typing.Protocol):
    """Remembers where streams began, for all entries that callers may use."""

    def record(self, origin: wire.StreamOrigin) -> None:
        """Records the first event of a stream; does not block."""

    def end(self, request: str) -> None:
        """Notes that a stream was sent to its end."""

    async def find(self, request: str) -> wire.StreamOrigin | None:
        """Returns the origin of the stream that a request began, if known."""

    def may_begin(self, service: str, version: str) -> bool:
        """Whether it is on record that streams may begin at a version."""

    async def find_versions(
        self, service: str, max_age: float
    ) -> set[str] | None:
        """Returns the versions at which recent streams may have begun.

        None if that can't be told.
        """


class OriginRecords:
    """Bounded sans-IO store of stream origins; the oldest go first.

    Example::

        records = OriginRecords()
        records.add(origin, now=1.0)
        assert records.get(origin.request, now=2.0) == origin
    """

    __slots__ = ("_records", "max_records")

    def __init__(self, *, max_records: int = MAX_ORIGIN_RECORDS):
        self.max_records = max_records
        # Origins with the monotonic time until which they are kept, in the
        # order in which they were added.
        self._records: dict[str, tuple[wire.StreamOrigin, float]] = {}

    def __len__(self) -> int:
        return len(self._records)

    def add(self, origin: wire.StreamOrigin, now: float) -> bool:
        """Adds an origin, or keeps a known one for longer.

        Returns False, and changes nothing, if another origin is known: a
        stream has one first event.
        """
        known = self.get(origin.request, now)
        if known is not None and (known.service, known.version) != (
            origin.service,
            origin.version,
        ):
            return False
        self._records.pop(origin.request, None)
        keep = min(MAX_KEEP_SECONDS, origin.keep_seconds)
        self._records[origin.request] = (origin, now + keep)
        self._remove_old(now)
        return True

    def get(self, request: str, now: float) -> wire.StreamOrigin | None:
        """Returns the origin of the stream that a request began, if known."""
        record = self._records.get(request)
        if record is None or record[1] <= now:
            return None
        return record[0]

    def _remove_old(self, now: float) -> None:
        while self._records:
            oldest = next(iter(self._records))
            expired = self._records[oldest][1] <= now
            if not expired and len(self._records) <= self.max_records:
                return
            del self._records[oldest]
