"""What control answers to release notes, found without a replica."""

import msgspec

from galenashed.control import _notes
from galenashed.control import _state
from galenashed.control import _state_machine
from galenashed.protocol import control as wire


class NotePreview:
    """Applies notes as the replicas do, by the same state machine.

    Parameters
    ----------
    release : Release or None
        The release in force, None if there is none.
    balances : list of Balance
        The budgets in force.  Their earlier top-ups are not known, so that a
        top-up under an ``id`` that was used is not found.

    Example::

        preview = NotePreview()
        refusals = preview.publish(note)
    """

    def __init__(
        self,
        *,
        release: wire.Release | None = None,
        balances: list[wire.Balance] | None = None,
    ):
        self._machine = _state_machine.ControlStateMachine()
        if release is not None:
            state = self._machine.state
            state.release = release
            # A note that is sent again gets the same answer.
            state.notes[release.number] = _state.NoteRecord(
                number=release.number,
                digest=release.digest,
                author="",
                index=release.index,
            )
        for balance in balances or []:
            self._machine.state.budgets[balance.budget] = _state.BudgetState(
                name=balance.budget,
                team=balance.team,
                prepaid=balance.prepaid,
            )

    @property
    def release(self) -> wire.Release:
        """The release that results from all notes so far."""
        return self._machine.state.release

    @property
    def totals(self) -> dict[str, int]:
        """The total of each budget in tokens, after pending cuts."""
        return {
            item.name: item.prepaid - item.pending_cut
            for item in self._machine.state.budgets.values()
        }

    def publish(self, note: wire.Note) -> list[_notes.NoteError]:
        """Applies a note; returns why control refuses it, if it does."""
        command = wire.PublishNote(
            note=note, digest=_notes.compute_digest(note)
        )
        stamped = wire.TimestampedCommand(0.0, command)
        index = self._machine.applied + 1
        reply = self._machine.apply(index, msgspec.msgpack.encode(stamped))
        if not isinstance(reply, wire.Refused):
            return []
        state = self._machine.state
        merged = _notes.merge(state.release, command, index)
        errors = _notes.locate_errors(state, note, merged)
        if [error.message for error in errors] == reply.findings:
            return errors
        return [
            _notes.NoteError(("note", "number"), finding)
            for finding in reply.findings
        ]
