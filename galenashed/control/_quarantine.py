"""Parts of prompts and requests that crash targets, in the replicated state.

A target that crashes leaves requests without an answer.  One of them may have
caused the crash, by a part of its prompt that other requests have too, or as a
whole.  All are suspects, each by the evidence against it, until an answer to a
request with the suspect begins.

A suspect is quarantined once ``QUARANTINE_CRASHES`` crashes count against it.
What makes this precise:

- A request whose answer had begun without a complete event explains its crash;
  other requests that were lost with the target are no longer suspected of it.
- Crashes under a suspect in quarantine are explained by it.
- Different requests have to crash different targets before a part that they
  share is quarantined.  Targets that fail together, or shortly after one
  another, take many requests with them, so crashes must be some time apart.
  A request whose answer had not begun must have been sent when the crash
  before was known.
- A request as a whole is quarantined by one more crash, since a repeat may be
  lost with two targets by chance.
- If the evidence against several parts is sufficient at the same time, the
  last of them in the prompt is quarantined, as it is the most specific.

After a time in quarantine that doubles with each failure, a single request
with the suspect may run as a trial.  Its answer clears the suspect.
"""

from galenashed.control import _state
from galenashed.protocol import control as wire

QUARANTINE_CRASHES = 2
REQUEST_QUARANTINE_CRASHES = 3
QUARANTINE_SECONDS = 20.0
MAX_QUARANTINE_SECONDS = 3600.0
# After this time without an answer or a crash, another trial may begin.
TRIAL_SECONDS = 10.0
SUSPECT_RETENTION_SECONDS = 600.0
# Crashes within this time may have a cause of their own in common.  The time
# is longer for answers that had not begun, as any of them may be lost then.
CORRELATED_SECONDS = 0.3
CORRELATED_WAITING_SECONDS = 1.0
# The whole list is sent to every entry when it changes.
MAX_SUSPECTS = 500
MAX_EVIDENCE = 8


def report(
    state: _state.ControlState, cmd: wire.ReportLostTarget, index: int
) -> list[str]:
    """Adds evidence; returns the suspects that are now quarantined by it."""
    names = [wire.name_part(part) for part in cmd.parts]
    names.append(wire.name_request(cmd.request))
    quarantined = [name for name in names if _is_quarantined(state, name)]
    if quarantined:
        names = quarantined
    elif _is_explained(state, cmd):
        return []
    if cmd.begun:
        _remove_evidence(state, {cmd.target}, begun=False)
    evidence = _state.Evidence(
        cmd.target, cmd.request, cmd.begun, cmd.known, index, state.now
    )
    for name in names:
        _add(state, name, evidence)
    state.quarantine_index = index
    added = [] if quarantined else _quarantine(state, names)
    _limit(state)
    return added


def _is_quarantined(state: _state.ControlState, name: str) -> bool:
    record = state.suspects.get(name)
    return record is not None and record.quarantined


def _is_explained(
    state: _state.ControlState, cmd: wire.ReportLostTarget
) -> bool:
    """Whether the crash is already blamed on another request."""
    return any(
        item.target == cmd.target
        and (record.quarantined or (item.begun and not cmd.begun))
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
    record.evidence = [*record.evidence, evidence][-MAX_EVIDENCE:]
    record.at = state.now
    if record.trial_at is not None:
        record.failed_trials += 1
    record.trial_due = False
    record.trial_at = None


def _quarantine(state: _state.ControlState, names: list[str]) -> list[str]:
    """Quarantines the last part, or else the request, that is to blame."""
    *parts, request = names
    for name in (*reversed(parts), request):
        record = state.suspects[name]
        is_request = name == request
        crashes = count_crashes(record.evidence, of_one_request=is_request)
        needed = (
            REQUEST_QUARANTINE_CRASHES if is_request else QUARANTINE_CRASHES
        )
        if crashes < needed:
            continue
        record.quarantined = True
        targets = {item.target for item in record.evidence}
        if not is_request:
            _remove_evidence(state, targets, kept=name)
        return [name]
    return []


def count_crashes(
    evidence: list[_state.Evidence], *, of_one_request: bool
) -> int:
    """Returns the number of crashes that count against a suspect.

    With ``of_one_request`` the suspect is a request, so that all evidence is
    about the same one.
    """
    counted: list[_state.Evidence] = []
    for item in evidence:
        if any(item.target == other.target for other in counted):
            continue
        if not of_one_request and any(
            item.request == other.request for other in counted
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


def _remove_evidence(
    state: _state.ControlState,
    targets: set[str],
    *,
    begun: bool = True,
    kept: str = "",
) -> None:
    """Removes the evidence from crashes that are explained.

    Without ``begun``, evidence from answers that had begun is kept, as is all
    against ``kept`` and what is quarantined.
    """
    for name, record in list(state.suspects.items()):
        if name == kept or record.quarantined:
            continue
        record.evidence = [
            item
            for item in record.evidence
            if item.target not in targets or (item.begun and not begun)
        ]
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
    if record is None or not record.quarantined:
        return True
    if not record.trial_due:
        return False
    record.trial_due = False
    record.trial_at = state.now
    state.quarantine_index = index
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
        age = state.now - record.at
        retention = SUSPECT_RETENTION_SECONDS
        if record.quarantined:
            retention += quarantine_seconds(record.failed_trials)
        if age >= retention:
            del state.suspects[name]
            changed = True
        elif record.quarantined and _is_trial_due(record, state.now):
            record.trial_due = True
            changed = True
    if changed:
        state.quarantine_index = index
    return changed


def _is_trial_due(record: _state.SuspectRecord, now: float) -> bool:
    """Whether a trial becomes due."""
    if record.trial_due:
        return False
    if record.trial_at is not None and now - record.trial_at < TRIAL_SECONDS:
        return False
    return now - record.at >= quarantine_seconds(record.failed_trials)


def quarantine_seconds(failed_trials: int) -> float:
    """Returns the time in quarantine before a trial."""
    return min(MAX_QUARANTINE_SECONDS, QUARANTINE_SECONDS * 2.0**failed_trials)
