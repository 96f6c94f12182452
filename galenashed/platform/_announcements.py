"""What targets say of themselves: that they are there, and that they go."""

import msgspec

from galenashed.protocol import spread as wire

MILLISECONDS = 1000.0
MAX_ID_LENGTH = 200

# "draining" is what the product calls leaving.
STATES = {"ready": "ready", "draining": "leaving"}


class Heartbeat(msgspec.Struct, frozen=True):
    """A status report.

    ``seq`` counts the reports of one start, ``born`` is the time of that
    start in milliseconds of Unix time.
    """

    service: str
    address: str
    zone: str
    state: str
    seq: int
    born: int = 0
    slots: int = 0


class Leaving(msgspec.Struct, frozen=True):
    """A target's last word; ``born`` as in its status reports."""

    born: int | None = None


class AnnouncementError(Exception):
    """A report that names no target to use; the message says why."""


_HEARTBEAT = msgspec.json.Decoder(Heartbeat)
_LEAVING = msgspec.json.Decoder(Leaving)


def read_heartbeat(target_id: str, body: bytes) -> wire.Target:
    """Returns the announcement; raises AnnouncementError."""
    if not 0 < len(target_id) <= MAX_ID_LENGTH:
        raise AnnouncementError("id: allowed: 1 to 200 characters")
    try:
        beat = _HEARTBEAT.decode(body)
    except (msgspec.DecodeError, ValueError) as exc:
        raise AnnouncementError(str(exc)) from None
    state = STATES.get(beat.state)
    if state is None:
        raise AnnouncementError(
            f"state: {beat.state!r}; allowed: {', '.join(STATES)}"
        )
    if not _is_address(beat.address):
        raise AnnouncementError(f"address: {beat.address!r}; allowed: IP:PORT")
    if beat.seq < 0 or beat.born < 0 or beat.slots < 0:
        raise AnnouncementError("seq, born, slots: allowed: 0 and more")
    return wire.Target(
        name=target_id,
        incarnation=str(beat.born),
        started=beat.born / MILLISECONDS,
        sequence=beat.seq,
        service=beat.service,
        address=beat.address,
        failure_domain=beat.zone,
        state=state,
        slots=beat.slots,
    )


def read_leaving(body: bytes) -> float | None:
    """Returns when the target that leaves had started, if it says so.

    Raises AnnouncementError.
    """
    if not body.strip():
        return None
    try:
        leaving = _LEAVING.decode(body)
    except (msgspec.DecodeError, ValueError) as exc:
        raise AnnouncementError(str(exc)) from None
    return None if leaving.born is None else leaving.born / MILLISECONDS


def _is_address(value: str) -> bool:
    host, _, port = value.rpartition(":")
    parts = host.split(".")
    if len(parts) != 4 or not all(part.isdigit() for part in parts):
        return False
    if not all(int(part) < 256 for part in parts):
        return False
    return port.isdigit() and 0 < int(port) < 65536
