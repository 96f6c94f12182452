"""Claims of non-idempotent calls in the replicated state.

A claim is never transferred: its owner may be paused and resume at any time,
so no timeout makes a second execution safe.  The key becomes free only if the
owner reports that the call was not run.
"""

from galenashed.control import _state
from galenashed.protocol import control as wire

CALL_RETENTION_SECONDS = 24 * 3600.0
MAX_CALLS = 200_000
MAX_STORED_ANSWER_BYTES = 16 * 1024


def claim(state: _state.ControlState, cmd: wire.ClaimCall) -> wire.Reply:
    """Claims a call, or returns the record of the conflicting claim."""
    records = state.calls.setdefault(cmd.team, {})
    record = records.get(cmd.key)
    if record is not None and record.digest != cmd.digest:
        return wire.Refused(
            findings=["the key was used for a different request"]
        )
    if record is not None and record.owner == cmd.owner:
        # A duplicate of the command gets the same answer as the first one
        # until the call is finished.
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
        # Reinserted below, to keep the records ordered by time.
        del records[cmd.key]
    record = _state.CallRecord(
        owner=cmd.owner, digest=cmd.digest, state="claimed", at=state.now
    )
    records[cmd.key] = record
    return _reply(record, fresh=True)


def finish(state: _state.ControlState, cmd: wire.FinishCall) -> wire.Reply:
    """Records the outcome of a call; allowed only for the claim's owner."""
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
    """Deletes records older than the retention time."""
    cutoff = state.now - CALL_RETENTION_SECONDS
    for team, records in list(state.calls.items()):
        while records:
            oldest_key = next(iter(records))
            if records[oldest_key].at >= cutoff:
                break
            del records[oldest_key]
            state.call_count -= 1
        if not records:
            del state.calls[team]
