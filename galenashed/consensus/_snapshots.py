"""Reassembly of a snapshot that the leader sends in chunks."""

from galenashed.protocol import consensus as wire


class IncomingSnapshot:
    """Reassembles the chunks of one snapshot, received in order.

    Example::

        incoming = IncomingSnapshot()
        data = incoming.add_chunk(chunk)
        if data is not None:
            install(chunk.meta, data)
    """

    __slots__ = ("_data", "_meta")

    def __init__(self) -> None:
        self._meta = wire.SnapshotMeta()
        self._data = bytearray()

    @property
    def next_offset(self) -> int:
        """Bytes received so far, and thus the offset of the next chunk."""
        return len(self._data)

    def add_chunk(self, chunk: wire.SnapshotChunk) -> bytes | None:
        """Adds a chunk; returns the whole snapshot once it is complete.

        A chunk of another snapshot restarts the reassembly; a chunk out of
        order is ignored.
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
