"""Suspected requests within the replicated state.

A request that ran at a target when the target died is a suspect.  It is run
again only by a trial, of which there is one at a time; the second target
that it costs puts it in quarantine.  A trial that ends with an answer clears
it, so that a target's death for another reason condemns nobody.
"""

from galenashed.control import _state
from galenashed.protocol import control as wire

QUARANTINE_CRASHES = 2
RETENTION_SECONDS = 3600.0
# The entry that runs a trial may have died; an engine is given up by then.
TRIAL_SECONDS = 300.0


def report(
    state: _state.ControlState, cmd: wire.ReportCrash, index: int
) -> wire.Crashes:
    """Counts the targets that died under a request."""
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
    """Lets a suspected request run, if no other run of it is open."""
    record = state.crashes.get(cmd.digest)
    if record is None:
        return wire.Trial(allowed=True, count=0)
    count = len(record.targets)
    if count >= QUARANTINE_CRASHES:
        return wire.Trial(allowed=False, count=count)
    is_over = state.now - record.trial_at > TRIAL_SECONDS
    if record.trial not in ("", cmd.attempt) and not is_over:
        return wire.Trial(allowed=False, count=count)
    record.trial = cmd.attempt
    record.trial_at = state.now
    return wire.Trial(allowed=True, count=count)


def end_trial(
    state: _state.ControlState, cmd: wire.EndTrial, index: int
) -> bool:
    """Ends a trial; returns whether the request is cleared."""
    record = state.crashes.get(cmd.digest)
    if record is None or record.trial != cmd.attempt:
        return False
    record.trial = ""
    if not cmd.answered:
        return False
    del state.crashes[cmd.digest]
    state.suspects_index = index
    return True


def listed(state: _state.ControlState) -> wire.Suspects:
    """Returns how many targets died under each suspected request."""
    return wire.Suspects(
        index=state.suspects_index,
        crashes={
            digest: len(record.targets)
            for digest, record in state.crashes.items()
        },
    )


def expire(state: _state.ControlState) -> bool:
    """Forgets old records; returns whether there were any."""
    horizon = state.now - RETENTION_SECONDS
    old = [d for d, r in state.crashes.items() if r.at < horizon]
    for digest in old:
        del state.crashes[digest]
    return bool(old)
