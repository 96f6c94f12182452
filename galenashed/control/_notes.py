"""Putting release notes in force."""

import hashlib

import msgspec

from galenashed.control import _state
from galenashed.protocol import control as wire

MAX_NOTE_RECORDS = 10_000
MAX_RECENT_NOTES = 256


def check_number(
    state: _state.ControlState, cmd: wire.PublishNote
) -> wire.Reply | None:
    """Answers a note whose number is taken or too low, else None."""
    number = cmd.note.number
    held = state.notes.get(number)
    if held is not None and held.digest == cmd.digest:
        return wire.Done(index=held.index)
    if held is not None:
        return wire.Refused(
            findings=[
                f"number {number} was taken by {held.author!r} with digest"
                f" {held.digest[:12]} at index {held.index}"
            ]
        )
    if number <= state.release.number:
        return wire.Refused(
            findings=[
                f"number {number} is below the note in force,"
                f" {state.release.number}; allowed: a higher one"
            ]
        )
    return None


def merge(
    release: wire.Release, cmd: wire.PublishNote, index: int
) -> wire.Release:
    """Returns the release with the note's additions and withdrawals."""
    note = cmd.note
    gone = note.withdrawn
    merged = wire.Release(
        number=note.number,
        digest=cmd.digest,
        index=index,
        models=_without(release.models, gone.models),
        services=_without(release.services, gone.services),
        teams=_without(release.teams, gone.teams),
        budgets=_without(release.budgets, gone.budgets),
        withdrawn_targets=sorted({*release.withdrawn_targets, *gone.targets}),
    )
    merged.models.update({model.name: model for model in note.models})
    merged.services.update({svc.name: svc for svc in note.services})
    merged.teams.update({team.name: team for team in note.teams})
    merged.budgets.update({b.name: b.team for b in note.budgets})
    # The budgets of a withdrawn team go with it.
    for name, team in list(merged.budgets.items()):
        if team in gone.teams:
            del merged.budgets[name]
    return merged


def _without(held: dict, names: list[str]) -> dict:
    return {name: held[name] for name in held if name not in names}


def find_errors(
    state: _state.ControlState, note: wire.Note, merged: wire.Release
) -> list[str]:
    """Returns all that speaks against a note, given what is in force."""
    findings = _find_unknown(state.release, note)
    for service in merged.services.values():
        for model in service.models:
            if model not in merged.models:
                findings.append(
                    f"service {service.name!r}: model {model!r} is not in"
                    f" force; allowed: {sorted(merged.models)}"
                )
    for budget in note.budgets:
        findings.extend(_find_budget_faults(state, budget, merged))
    findings.extend(_find_shared_keys(merged))
    return findings


def _find_unknown(release: wire.Release, note: wire.Note) -> list[str]:
    findings = []
    gone = note.withdrawn
    for kind, names, held in (
        ("model", gone.models, release.models),
        ("service", gone.services, release.services),
        ("team", gone.teams, release.teams),
        ("budget", gone.budgets, release.budgets),
    ):
        for name in names:
            if name not in held:
                findings.append(
                    f"withdrawn {kind} {name!r} is not in force; allowed:"
                    f" {sorted(held)}"
                )
    return findings


def _find_budget_faults(state, budget, merged) -> list[str]:
    findings = []
    if budget.team not in merged.teams:
        findings.append(
            f"budget {budget.name!r}: team {budget.team!r} is not in force;"
            f" allowed: {sorted(merged.teams)}"
        )
    held = state.budgets.get(budget.name)
    if held is None:
        return findings
    if held.team != budget.team:
        findings.append(
            f"budget {budget.name!r} belongs to team {held.team!r}, not"
            f" {budget.team!r}"
        )
    for top_up in budget.top_ups:
        tokens = held.top_ups.get(top_up.id, top_up.tokens)
        if tokens != top_up.tokens:
            findings.append(
                f"budget {budget.name!r}: top-up {top_up.id!r} was"
                f" {tokens} tokens, not {top_up.tokens}"
            )
    return findings


def _find_shared_keys(merged: wire.Release) -> list[str]:
    findings = []
    owners: dict[str, str] = {}
    for team in merged.teams.values():
        other = owners.setdefault(team.key_hash, team.name)
        if other != team.name:
            findings.append(
                f"teams {other!r} and {team.name!r} have the same key"
            )
    return findings


def record(
    state: _state.ControlState, cmd: wire.PublishNote, index: int
) -> None:
    """Remembers an accepted note under its number."""
    state.notes[cmd.note.number] = _state.NoteRecord(
        number=cmd.note.number,
        digest=cmd.digest,
        author=cmd.note.author,
        index=index,
    )
    while len(state.notes) > MAX_NOTE_RECORDS:
        del state.notes[next(iter(state.notes))]
    state.recent_notes.append(wire.AcceptedNote(index=index, publish=cmd))
    while len(state.recent_notes) > MAX_RECENT_NOTES:
        state.notes_complete_after = state.recent_notes.pop(0).index


def compute_digest(note: wire.Note) -> str:
    """Returns the hexadecimal digest of a note's content."""
    encoded = msgspec.msgpack.encode(note)
    return hashlib.sha256(encoded).hexdigest()


def compute_bytes_digest(content: bytes) -> str:
    """Returns the hexadecimal digest of a document as it was sent."""
    return hashlib.sha256(content).hexdigest()
