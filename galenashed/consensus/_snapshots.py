"""A snapshot that arrives from the leader in parts."""

from galenashed.protocol import consensus as wire


class IncomingSnapshot:
    """Puts the parts of one snapshot together, in their order.

    Example::

        incoming = IncomingSnapshot()
        data = incoming.take(chunk)
        if data is not None:
            install(chunk.meta, data)
    """

    __slots__ = ("_data", "_meta")

    def __init__(self) -> None:
        self._meta = wire.SnapshotMeta()
        self._data = bytearray()

    @property
    def size(self) -> int:
        """The bytes held so far, where the next part is to begin."""
        return len(self._data)

    def take(self, chunk: wire.SnapshotChunk) -> bytes | None:
        """Takes a part; returns the whole once it is there.

        A part of another snapshot starts afresh, one out of order is left.
        """
        if chunk.meta != self._meta or chunk.offset == 0:
            self._meta = chunk.meta
            self._data = bytearray()
        if chunk.offset != len(self._data):
            return None
        self._data += chunk.data
        if not chunk.last:
            return None
        data = bytes(self._data)
        self._meta = wire.SnapshotMeta()
        self._data = bytearray()
        return data
