"""Suspected requests in the replicated state.

A request that was running on a target when the target died is suspected of
having crashed it.  It runs again only in a trial, one trial at a time, and is
quarantined once 2 targets died under it.  A trial that ends with an answer
clears the request, so that a target that died for another reason does not
block it.
"""

from galenashed.control import _state
from galenashed.protocol import control as wire

QUARANTINE_CRASHES = 2
SUSPECT_RETENTION_SECONDS = 3600.0
# A trial counts as abandoned after this time, because the entry that runs it
# may have died.  A live entry gives up on an engine sooner.
TRIAL_TIMEOUT_SECONDS = 300.0


def report_crash(
    state: _state.ControlState, cmd: wire.ReportCrash, index: int
) -> wire.Crashes:
    """Records a target's crash under a request and counts its crashes."""
    record = state.crashes.get(cmd.digest)
    if record is None:
        record = _state.CrashRecord(targets=[], at=state.now)
        state.crashes[cmd.digest] = record
    if cmd.target not in record.targets:
        record.targets.append(cmd.target)
        record.at = state.now
        state.suspects_index = index
    if record.trial == cmd.attempt:
        record.trial = ""
    return wire.Crashes(count=len(record.targets), index=state.suspects_index)


def begin_trial(
    state: _state.ControlState, cmd: wire.BeginTrial
) -> wire.Trial:
    """Allows a request to run unless quarantined or in another trial."""
    record = state.crashes.get(cmd.digest)
    if record is None:
        return wire.Trial(allowed=True, count=0)
    count = len(record.targets)
    if count >= QUARANTINE_CRASHES:
        return wire.Trial(allowed=False, count=count)
    has_timed_out = state.now - record.trial_at > TRIAL_TIMEOUT_SECONDS
    if record.trial not in ("", cmd.attempt) and not has_timed_out:
        return wire.Trial(allowed=False, count=count)
    record.trial = cmd.attempt
    record.trial_at = state.now
    return wire.Trial(allowed=True, count=count)


def end_trial(
    state: _state.ControlState, cmd: wire.EndTrial, index: int
) -> bool:
    """Ends a trial and returns whether the request was cleared."""
    record = state.crashes.get(cmd.digest)
    if record is None or record.trial != cmd.attempt:
        return False
    record.trial = ""
    if not cmd.answered:
        return False
    del state.crashes[cmd.digest]
    state.suspects_index = index
    return True


def list_suspects(state: _state.ControlState) -> wire.Suspects:
    """Returns the number of targets that died under each request."""
    return wire.Suspects(
        index=state.suspects_index,
        crashes={
            digest: len(record.targets)
            for digest, record in state.crashes.items()
        },
    )


def expire(state: _state.ControlState) -> bool:
    """Deletes expired records and returns whether there were any."""
    cutoff = state.now - SUSPECT_RETENTION_SECONDS
    expired = [d for d, r in state.crashes.items() if r.at < cutoff]
    for digest in expired:
        del state.crashes[digest]
    return bool(expired)
