"""Claims of non-idempotent calls within the replicated state.

A claim is never transferred: its owner may be frozen and wake at any time,
so no timeout makes a second run safe.  Only the owner's own word that the
call was not run frees the key.
"""

from galenashed.control import _state
from galenashed.protocol import control as wire

CALL_RETENTION_SECONDS = 24 * 3600.0
MAX_CALLS = 200_000
MAX_STORED_ANSWER_BYTES = 16 * 1024


def claim(state: _state.ControlState, cmd: wire.ClaimCall) -> wire.Reply:
    """Claims a call, or returns the record that stands in the way."""
    records = state.calls.setdefault(cmd.team, {})
    record = records.get(cmd.key)
    if record is not None and record.digest != cmd.digest:
        return wire.Refused(
            findings=["the key was used for a different request"]
        )
    if record is not None and record.owner == cmd.owner:
        # A second copy of the command: the first one's answer again.
        return _reply(record, fresh=record.state == "claimed")
    if record is not None and record.state != "not_run":
        return _reply(record, fresh=False)
    if record is None:
        if state.call_count >= MAX_CALLS:
            return wire.Refused(
                findings=[f"{MAX_CALLS} calls are recorded; no room"]
            )
        state.call_count += 1
    else:
        # Keeps the records in order of their time.
        del records[cmd.key]
    record = _state.CallRecord(
        owner=cmd.owner, digest=cmd.digest, state="claimed", at=state.now
    )
    records[cmd.key] = record
    return _reply(record, fresh=True)


def finish(state: _state.ControlState, cmd: wire.FinishCall) -> wire.Reply:
    """Records an outcome; only the owner of the claim may."""
    record = state.calls.get(cmd.team, {}).get(cmd.key)
    if record is None or record.owner != cmd.owner:
        return wire.Refused(findings=["the call is not claimed by sender"])
    if record.state == "claimed":
        record.state = cmd.outcome
        record.answer = cmd.answer
    return _reply(record, fresh=False)


def _reply(record: _state.CallRecord, *, fresh: bool) -> wire.CallState:
    return wire.CallState(
        owner=record.owner,
        digest=record.digest,
        state=record.state,
        fresh=fresh,
        answer=record.answer,
    )


def expire(state: _state.ControlState) -> None:
    """Forgets old records."""
    horizon = state.now - CALL_RETENTION_SECONDS
    for team, records in list(state.calls.items()):
        while records:
            first = next(iter(records))
            if records[first].at >= horizon:
                break
            del records[first]
            state.call_count -= 1
        if not records:
            del state.calls[team]
