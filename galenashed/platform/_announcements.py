"""Heartbeats and deregistrations of targets, decoded."""

import math
import time

import msgspec

from galenashed.platform import _headers
from galenashed.protocol import gossip as wire

MILLISECONDS_PER_SECOND = 1000.0
MAX_ID_LENGTH = 200
# A longer time for which a target says that it is cold is not believed.
MAX_COLD_SECONDS = 3600.0

# Maps the platform's states of a target to those of the protocol.
TARGET_STATES = {"ready": "ready", "draining": "leaving"}


class Heartbeat(msgspec.Struct, frozen=True):
    """A periodic status report of a target.

    ``seq`` counts the reports since the target's process was started,
    ``born`` is the Unix time of that start in milliseconds.  ``version`` is
    that of the target's software, not of the weights of its models.
    ``coldLeftMs`` is the time in milliseconds for which it is still cold.
    """

    service: str
    address: str
    zone: str
    state: str
    seq: int
    born: int = 0
    slots: int = 0
    version: str = ""
    cold_left_ms: float | None = msgspec.field(name="coldLeftMs", default=None)


class Deregistration(msgspec.Struct, frozen=True):
    """The last report of a target; ``born`` is as in its heartbeats."""

    born: int | None = None


class AnnouncementError(Exception):
    """An invalid heartbeat or deregistration; the message says why."""


_HEARTBEAT_DECODER = msgspec.json.Decoder(Heartbeat)
_DEREGISTRATION_DECODER = msgspec.json.Decoder(Deregistration)


def decode_heartbeat(
    target_id: str, body: bytes, *, received_at: float | None = None
) -> wire.Target:
    """Returns a target's announcement.

    ``received_at`` is the Unix time of its receipt, None for now.  Raises
    AnnouncementError if the heartbeat is invalid.
    """
    if not 0 < len(target_id) <= MAX_ID_LENGTH:
        raise AnnouncementError("id must have 1 to 200 characters")
    try:
        heartbeat = _HEARTBEAT_DECODER.decode(body)
    except (msgspec.DecodeError, ValueError) as exc:
        raise AnnouncementError(str(exc)) from None
    state = TARGET_STATES.get(heartbeat.state)
    if state is None:
        raise AnnouncementError(
            f"state: {heartbeat.state!r}; allowed: {', '.join(TARGET_STATES)}"
        )
    if not _is_address(heartbeat.address):
        raise AnnouncementError(
            f"address: {heartbeat.address!r}; allowed: IP:PORT"
        )
    if heartbeat.seq < 0 or heartbeat.born < 0 or heartbeat.slots < 0:
        raise AnnouncementError("seq, born and slots must not be negative")
    target = wire.Target(
        name=target_id,
        incarnation=str(heartbeat.born),
        started=heartbeat.born / MILLISECONDS_PER_SECOND,
        sequence=heartbeat.seq,
        service=heartbeat.service,
        address=heartbeat.address,
        failure_domain=heartbeat.zone,
        state=state,
        slots=heartbeat.slots,
        version=heartbeat.version,
        cold_until=_find_cold_end(
            heartbeat.cold_left_ms,
            time.time() if received_at is None else received_at,
        ),
    )
    error = wire.find_error(target)
    if error is not None:
        raise AnnouncementError(error)
    return target


def _find_cold_end(left_ms: float | None, received_at: float) -> int | None:
    """Returns when a target ceases to be cold; 0 if it isn't cold now."""
    if left_ms is None:
        return None
    if left_ms <= 0:
        return 0
    left = min(MAX_COLD_SECONDS, left_ms / MILLISECONDS_PER_SECOND)
    return math.ceil(received_at + left)


def decode_deregistration(body: bytes) -> float | None:
    """Returns the Unix time of the target's start, None if not given.

    Raises AnnouncementError if the body is invalid.
    """
    if not body.strip():
        return None
    try:
        report = _DEREGISTRATION_DECODER.decode(body)
    except (msgspec.DecodeError, ValueError) as exc:
        raise AnnouncementError(str(exc)) from None
    return (
        None if report.born is None else report.born / MILLISECONDS_PER_SECOND
    )


def _is_address(value: str) -> bool:
    host, _, port = value.rpartition(":")
    parts = host.split(".")
    if len(parts) != 4 or not all(map(_headers.is_number, parts)):
        return False
    if not all(int(part) < 256 for part in parts):
        return False
    return _headers.is_number(port) and 0 < int(port) < 65536
