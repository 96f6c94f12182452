"""Validation and application of release notes."""

import hashlib
import typing

import msgspec

from galenashed.control import _state
from galenashed.protocol import control as wire

MAX_NOTE_RECORDS = 10_000
MAX_RECENT_NOTES = 256


def check_note_number(
    state: _state.ControlState, cmd: wire.PublishNote
) -> wire.Reply | None:
    """Returns a reply if the number is taken or too low, otherwise None.

    Publishing the same note again succeeds.
    """
    number = cmd.note.number
    existing = state.notes.get(number)
    if existing is not None and existing.digest == cmd.digest:
        return wire.Done(index=existing.index)
    if existing is not None:
        return wire.Refused(
            findings=[
                f"number {number} was taken by {existing.author!r} with digest"
                f" {existing.digest[:12]} at index {existing.index}"
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
    """Returns the release after the additions and withdrawals of a note."""
    note = cmd.note
    withdrawn = note.withdrawn
    merged = wire.Release(
        number=note.number,
        digest=cmd.digest,
        index=index,
        models=_remove_names(release.models, withdrawn.models),
        services=_remove_names(release.services, withdrawn.services),
        teams=_remove_names(release.teams, withdrawn.teams),
        budgets=_remove_names(release.budgets, withdrawn.budgets),
        withdrawn_targets=sorted(
            {*release.withdrawn_targets, *withdrawn.targets}
        ),
    )
    merged.models.update({model.name: model for model in note.models})
    merged.services.update({svc.name: svc for svc in note.services})
    merged.teams.update({team.name: team for team in note.teams})
    merged.budgets.update({b.name: b.team for b in note.budgets})
    # Withdrawing a team also withdraws its budgets.
    for name, team in list(merged.budgets.items()):
        if team in withdrawn.teams:
            del merged.budgets[name]
    return merged


def _remove_names(existing: dict, names: list[str]) -> dict:
    return {name: existing[name] for name in existing if name not in names}


class NoteError(typing.NamedTuple):
    """Why a note is refused; ``place`` leads to the value in its file."""

    place: tuple[str | int, ...]
    message: str


def find_errors(
    state: _state.ControlState, note: wire.Note, merged: wire.Release
) -> list[str]:
    """Returns all validation errors of a note against the current state."""
    return [error.message for error in locate_errors(state, note, merged)]


def locate_errors(
    state: _state.ControlState, note: wire.Note, merged: wire.Release
) -> list[NoteError]:
    """Returns the same errors with their places."""
    errors = _find_unknown_names(state.release, note)
    positions = {svc.name: number for number, svc in enumerate(note.services)}
    for service in merged.services.values():
        for model in service.models:
            if model not in merged.models:
                place: tuple[str | int, ...] = ("withdrawn", "models")
                if service.name in positions:
                    place = ("service", positions[service.name], "models")
                message = (
                    f"service {service.name!r}: model {model!r} is not in"
                    f" force; allowed: {sorted(merged.models)}"
                )
                errors.append(NoteError(place, message))
    for number, budget in enumerate(note.budgets):
        errors += [
            NoteError(("budget", number, *error.place), error.message)
            for error in _find_budget_errors(state, budget, merged)
        ]
    return errors + _find_shared_keys(note, merged)


def _find_unknown_names(
    release: wire.Release, note: wire.Note
) -> list[NoteError]:
    errors = []
    withdrawn = note.withdrawn
    for kind, names, existing in (
        ("model", withdrawn.models, release.models),
        ("service", withdrawn.services, release.services),
        ("team", withdrawn.teams, release.teams),
        ("budget", withdrawn.budgets, release.budgets),
    ):
        for name in names:
            if name not in existing:
                message = (
                    f"withdrawn {kind} {name!r} is not in force; allowed:"
                    f" {sorted(existing)}"
                )
                errors.append(NoteError(("withdrawn", f"{kind}s"), message))
    return errors


def _find_budget_errors(state, budget, merged) -> list[NoteError]:
    """Returns the errors of a budget, with places in its table."""
    errors = []
    if budget.team not in merged.teams:
        message = (
            f"budget {budget.name!r}: team {budget.team!r} is not in force;"
            f" allowed: {sorted(merged.teams)}"
        )
        errors.append(NoteError(("team",), message))
    existing = state.budgets.get(budget.name)
    if existing is None:
        return errors
    if existing.team != budget.team:
        message = (
            f"budget {budget.name!r} belongs to team {existing.team!r}, not"
            f" {budget.team!r}"
        )
        errors.append(NoteError(("team",), message))
    for number, top_up in enumerate(budget.top_ups):
        tokens = existing.top_ups.get(top_up.id, top_up.tokens)
        if tokens != top_up.tokens:
            message = (
                f"budget {budget.name!r}: top-up {top_up.id!r} was"
                f" {tokens} tokens, not {top_up.tokens}"
            )
            errors.append(NoteError(("top_up", number, "tokens"), message))
    return errors


def _find_shared_keys(
    note: wire.Note, merged: wire.Release
) -> list[NoteError]:
    errors = []
    positions = {team.name: number for number, team in enumerate(note.teams)}
    owners: dict[str, str] = {}
    for team in merged.teams.values():
        other = owners.setdefault(team.key_hash, team.name)
        if other != team.name:
            place: tuple[str | int, ...] = ()
            for name in (other, team.name):
                if name in positions:
                    place = ("team", positions[name], "key_hash")
            message = f"teams {other!r} and {team.name!r} have the same key"
            errors.append(NoteError(place, message))
    return errors


def record_note(
    state: _state.ControlState, cmd: wire.PublishNote, index: int
) -> None:
    """Stores an accepted note under its number."""
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
    """Returns the hexadecimal SHA-256 digest of an encoded note."""
    encoded = msgspec.msgpack.encode(note)
    return hashlib.sha256(encoded).hexdigest()


def compute_bytes_digest(content: bytes) -> str:
    """Returns the hexadecimal SHA-256 digest of a document, as received."""
    return hashlib.sha256(content).hexdigest()
