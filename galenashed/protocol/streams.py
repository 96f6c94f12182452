"""Messages about the beginnings of streams, and the software behind them."""

import msgspec


class StreamOrigin(msgspec.Struct, frozen=True, kw_only=True):
    """The software that wrote the first event of a stream.

    ``request`` is the id of the caller's request that got the event; a later
    one that continues the stream names it.  Only targets of the same
    ``service`` and software ``version`` can continue the stream.  The record
    is kept for ``keep_seconds``.

    ``version`` is that of the ``target`` as far as the entry knew, which had
    ``started`` last at that Unix time; ``begun_at`` is that of the event.
    """

    request: str
    service: str
    version: str
    keep_seconds: float
    target: str = ""
    started: float = 0.0
    begun_at: float = 0.0


class OriginQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Asks an entry for the origin of the stream that ``request`` began."""

    request: str


class OriginReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to an :class:`OriginQuery`; None if the entry knows none."""

    origin: StreamOrigin | None = None


class SoftwareVersion(msgspec.Struct, frozen=True, kw_only=True):
    """A version of the software that targets of a service run."""

    service: str
    version: str


class VersionQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Asks a replica which versions of a service were in use lately.

    ``max_age`` is the length of that time, in seconds.
    """

    service: str
    max_age: float


class VersionReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to a :class:`VersionQuery`.

    ``complete`` is False if the replica has no records of a part of that
    time, as its disk is new.
    """

    versions: list[str]
    complete: bool
