"""Parts of prompts and requests that crash targets, in the replicated state.

A target that crashes leaves requests without a whole answer.  One of them may
have caused the crash, by a part of its prompt that other requests have too, or
as a whole.  All are suspects, each by the evidence against it, until an answer
to a request with the suspect ends whole; entries of earlier builds clear it by
the first event.

A part is quarantined once ``QUARANTINE_CRASHES`` crashes count against it.
What makes this precise:

- A request whose answer had just begun explains its crash; the parts of others
  that were lost with the target, waiting or with answers that were open for
  longer, are no longer suspected.
- Crashes under a suspect in quarantine are explained by it.
- Different requests have to crash different targets before a part that they
  share is quarantined.  Targets that fail together, or shortly after one
  another, take many requests with them, so crashes must be some time apart.
  A request whose answer had not just begun must have been sent when the crash
  before was known.
- If the evidence against several parts is sufficient at the same time, the
  last of them in the prompt is quarantined, as it is the most specific.

A request as a whole is quarantined once ``REQUEST_QUARANTINE_CRASHES`` targets
have crashed under it without an answer in between, however shortly after one
another and whatever else may explain each of the crashes: all attempts at a
crashing request may come within a second, while a sound one that waits at
failing targets is seldom lost that often before one answers it.

After a time in quarantine that doubles with each failure, a single request
with the suspect may run as a trial.  Its answer clears the suspect.  A request
as a whole gets few trials, as each costs a target.  An entry that asks before
the attempt that would complete the evidence against a whole request is
admitted one attempt at a time.
"""

import typing

from galenashed.control import _state
from galenashed.protocol import control as wire

QUARANTINE_CRASHES = 2
REQUEST_QUARANTINE_CRASHES = 3
QUARANTINE_SECONDS = 20.0
MAX_QUARANTINE_SECONDS = 3600.0
MAX_REQUEST_TRIALS = 2
# After this time without an answer or a crash, another trial may begin.
TRIAL_SECONDS = 10.0
SUSPECT_RETENTION_SECONDS = 600.0
QUARANTINED_REQUEST_RETENTION_SECONDS = 24 * 3600.0
# Crashes within this time may have a cause of their own in common.  The time
# is longer for answers that had not just begun, as any of them may be lost.
CORRELATED_SECONDS = 0.3
CORRELATED_WAITING_SECONDS = 1.0
# The whole list is sent to every entry when it changes.
MAX_SUSPECTS = 500
MAX_EVIDENCE = 8


def report(
    state: _state.ControlState, cmd: wire.ReportLostTarget, index: int
) -> list[str]:
    """Adds evidence; returns the suspects that are now quarantined by it."""
    request = wire.name_request(cmd.request)
    names = [*map(wire.name_part, cmd.parts), request]
    evidence = _state.Evidence(
        cmd.target, cmd.request, cmd.begun, cmd.known, index, state.now
    )
    quarantined = [name for name in names if _is_quarantined(state, name)]
    if quarantined or _has_quarantined_cause(state, cmd.target):
        # Only what is suspected already is suspected further.
        added = {*quarantined, request} & state.suspects.keys()
    elif _has_begun_cause(state, cmd):
        added = {request}
    else:
        added = set(names)
    if not added:
        return []
    if cmd.begun:
        _remove_evidence_against_parts(state, cmd.target)
    for name in names:
        if name in added:
            _add(state, name, evidence)
    state.quarantine_index = index
    blamed = _quarantine(state, [name for name in names if name in added])
    _limit(state)
    return blamed


def _is_request(name: str) -> bool:
    return name.startswith(wire.name_request(""))


def _is_quarantined(state: _state.ControlState, name: str) -> bool:
    record = state.suspects.get(name)
    return record is not None and record.quarantined


def _has_quarantined_cause(state: _state.ControlState, target: str) -> bool:
    """Whether a target crashed under a suspect that is in quarantine."""
    return any(
        record.quarantined
        and any(item.target == target for item in record.evidence)
        for record in state.suspects.values()
    )


def _has_begun_cause(
    state: _state.ControlState, cmd: wire.ReportLostTarget
) -> bool:
    """Whether another request, whose answer had begun, explains a crash."""
    return not cmd.begun and any(
        item.begun and item.target == cmd.target
        for record in state.suspects.values()
        for item in record.evidence
    )


def _add(
    state: _state.ControlState, name: str, evidence: _state.Evidence
) -> None:
    record = state.suspects.get(name)
    if record is None:
        record = _state.SuspectRecord(evidence=[], at=state.now)
        state.suspects[name] = record
    known = {(item.target, item.request) for item in record.evidence}
    if (evidence.target, evidence.request) in known:
        return
    # The oldest items are kept, as later crashes are counted from these.
    record.evidence = [*record.evidence[: MAX_EVIDENCE - 1], evidence]
    record.at = state.now
    if record.trial_at is not None:
        record.failed_trials += 1
    record.trial_due = False
    record.trial_at = None


def _quarantine(state: _state.ControlState, names: list[str]) -> list[str]:
    """Quarantines the request, or else the last part, that is to blame.

    Returns it unless it was in quarantine before.
    """
    for name in reversed(names):
        record = state.suspects[name]
        if record.quarantined or not _has_sufficient_evidence(name, record):
            continue
        record.quarantined = True
        targets = {item.target for item in record.evidence}
        _remove_explained_evidence(state, targets)
        return [name]
    return []


def _has_sufficient_evidence(name: str, record: _state.SuspectRecord) -> bool:
    if _is_request(name):
        return count_targets(record.evidence) >= REQUEST_QUARANTINE_CRASHES
    return count_crashes(record.evidence) >= QUARANTINE_CRASHES


def count_targets(evidence: list[_state.Evidence]) -> int:
    """Returns the number of targets that crashed."""
    return len({item.target for item in evidence})


def count_crashes(evidence: list[_state.Evidence]) -> int:
    """Returns the number of crashes that count against a part."""
    counted: list[_state.Evidence] = []
    for item in evidence:
        if any(
            item.target == other.target or item.request == other.request
            for other in counted
        ):
            continue
        if counted and not _is_later(item, counted[-1]):
            continue
        counted.append(item)
    return len(counted)


def _is_later(item: _state.Evidence, other: _state.Evidence) -> bool:
    """Whether a crash is independent of another one before it."""
    elapsed = item.at - other.at
    if item.begun:
        return elapsed >= CORRELATED_SECONDS
    return elapsed >= CORRELATED_WAITING_SECONDS and item.known >= other.index


def _remove_evidence_against_parts(
    state: _state.ControlState, target: str
) -> None:
    """Removes the evidence of requests that only waited at a target.

    A begun answer explains its crash; evidence from other begun answers is
    kept.
    """
    for name, record in list(state.suspects.items()):
        if not record.quarantined and not _is_request(name):
            _keep_evidence(
                state,
                name,
                lambda item: item.target != target or item.begun,
            )


def _remove_explained_evidence(
    state: _state.ControlState, targets: set[str]
) -> None:
    """Removes the evidence from crashes under a quarantined suspect.

    A request under which several targets have crashed stays suspected, as it
    may have crashed them whatever its parts.
    """
    for name, record in list(state.suspects.items()):
        crashed = {item.target for item in record.evidence}
        if record.quarantined or (_is_request(name) and len(crashed) > 1):
            continue
        _keep_evidence(state, name, lambda item: item.target not in targets)


def _keep_evidence(
    state: _state.ControlState,
    name: str,
    predicate: typing.Callable[[_state.Evidence], bool],
) -> None:
    """Removes all other evidence against a suspect, which may clear it."""
    record = state.suspects[name]
    record.evidence = [item for item in record.evidence if predicate(item)]
    if not record.evidence:
        del state.suspects[name]


def _limit(state: _state.ControlState) -> None:
    """Forgets the oldest suspects beyond ``MAX_SUSPECTS``."""
    excess = len(state.suspects) - MAX_SUSPECTS
    if excess <= 0:
        return
    by_age = sorted(
        state.suspects,
        key=lambda name: (
            state.suspects[name].quarantined,
            state.suspects[name].at,
        ),
    )
    for name in by_age[:excess]:
        del state.suspects[name]


def clear(
    state: _state.ControlState, cmd: wire.ClearSuspects, index: int
) -> list[str]:
    """Forgets suspects; returns those that were quarantined."""
    released = []
    for name in cmd.suspects:
        record = state.suspects.pop(name, None)
        if record is None:
            continue
        state.quarantine_index = index
        if record.quarantined:
            released.append(name)
    return released


def begin_trial(
    state: _state.ControlState, cmd: wire.BeginSuspectTrial, index: int
) -> bool:
    """Returns whether a request with the suspect may run."""
    record = state.suspects.get(cmd.suspect)
    if record is None:
        return True
    if not record.quarantined:
        return _begin_last_attempt(state, cmd.suspect, record)
    if not record.trial_due:
        return False
    record.trial_due = False
    record.trial_at = state.now
    record.trials += 1
    state.quarantine_index = index
    return True


def _begin_last_attempt(
    state: _state.ControlState, name: str, record: _state.SuspectRecord
) -> bool:
    """Returns whether an attempt that may crash the last target may begin."""
    crashes = count_targets(record.evidence)
    if not _is_request(name) or crashes < REQUEST_QUARANTINE_CRASHES - 1:
        return True
    trial_at = record.trial_at
    if trial_at is not None and state.now - trial_at < TRIAL_SECONDS:
        return False
    record.trial_at = state.now
    return True


def list_suspects(state: _state.ControlState) -> wire.Quarantine:
    """Returns the suspects."""
    suspects = state.suspects
    return wire.Quarantine(
        index=state.quarantine_index,
        suspected=[n for n, r in suspects.items() if not r.quarantined],
        quarantined=[n for n, r in suspects.items() if r.quarantined],
        trials_due=[n for n, r in suspects.items() if r.trial_due],
    )


def expire(state: _state.ControlState, index: int) -> bool:
    """Makes trials due and forgets suspects; returns whether any changed."""
    changed = False
    for name, record in list(state.suspects.items()):
        if state.now - record.at >= _retention_seconds(name, record):
            del state.suspects[name]
            changed = True
        elif record.quarantined and _is_trial_due(name, record, state.now):
            record.trial_due = True
            changed = True
    if changed:
        state.quarantine_index = index
    return changed


def _retention_seconds(name: str, record: _state.SuspectRecord) -> float:
    """Returns the time after which a suspect without evidence is forgotten."""
    if not record.quarantined:
        return SUSPECT_RETENTION_SECONDS
    if _is_request(name):
        return QUARANTINED_REQUEST_RETENTION_SECONDS
    return SUSPECT_RETENTION_SECONDS + quarantine_seconds(record.failed_trials)


def _is_trial_due(name: str, record: _state.SuspectRecord, now: float) -> bool:
    """Whether a trial becomes due."""
    if record.trial_due:
        return False
    if _is_request(name):
        if record.trials >= MAX_REQUEST_TRIALS:
            return False
        if not record.trials:
            return now - record.at >= QUARANTINE_SECONDS
        since = max(record.at, record.trial_at or 0.0)
        return now - since >= MAX_QUARANTINE_SECONDS
    if record.trial_at is not None and now - record.trial_at < TRIAL_SECONDS:
        return False
    return now - record.at >= quarantine_seconds(record.failed_trials)


def quarantine_seconds(failed_trials: int) -> float:
    """Returns the time in quarantine before a trial."""
    return min(MAX_QUARANTINE_SECONDS, QUARANTINE_SECONDS * 2.0**failed_trials)
