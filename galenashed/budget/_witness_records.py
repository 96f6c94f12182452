"""The sans-IO record of what other entries may have spent.

A witness hears how far a holder may spend each of its grants before the
holder does, and of its bills.  Once the holder seems gone, the witness
closes its record: it hears no more from that holder, so nothing beyond what
it has heard can be spent, and control may free the rest.  That holds even
if the holder was only frozen or cut off.
"""

from galenashed.protocol import control as wire
from galenashed.protocol import witness as witness_wire


class _Holder:
    __slots__ = ("alive_at", "copies", "limits")

    def __init__(self, *, now: float):
        self.alive_at = now
        self.limits: dict[str, int] = {}
        self.copies: dict[int, wire.Bill] = {}


class WitnessRecords:
    """What one incarnation of an entry has heard as a witness.

    Parameters
    ----------
    name : str
        The witness, with its incarnation.
    holder_timeout : float
        Seconds after which a holder that is not alive counts as gone.

    Example::

        records = WitnessRecords(name="e2/91cc", holder_timeout=10.0)
        noted = records.record(notes, now=0.0)
        commands = records.tick(alive={"e1/7f3a"}, now=1.0)
    """

    __slots__ = ("_closed", "_holders", "holder_timeout", "name")

    def __init__(self, *, name: str, holder_timeout: float):
        self.name = name
        self.holder_timeout = holder_timeout
        # By the holder's name and term.
        self._holders: dict[tuple[str, int], _Holder] = {}
        # The last closed term of each; a holder may wake after any time.
        self._closed: dict[str, int] = {}

    def record(
        self, notes: witness_wire.Notes, now: float
    ) -> witness_wire.Noted:
        """Remembers notes, unless the holder's term is closed."""
        closed = self._closed.get(notes.holder, 0)
        if notes.witness != self.name or notes.term <= closed:
            return witness_wire.Noted(closed=True)
        key = (notes.holder, notes.term)
        held = self._holders.get(key)
        if held is None:
            held = _Holder(now=now)
            self._holders[key] = held
        held.alive_at = now
        for note in notes.notes:
            self._take_note(held, note)
        for number in [n for n in held.copies if n <= notes.settled]:
            del held.copies[number]
        return witness_wire.Noted(closed=False)

    def _take_note(self, held: _Holder, note: witness_wire.Note) -> None:
        if isinstance(note, witness_wire.Hold):
            limit = held.limits.get(note.grant, 0)
            held.limits[note.grant] = max(limit, note.limit)
        elif isinstance(note, witness_wire.Forget):
            held.limits.pop(note.grant, None)
        else:
            held.copies[note.number] = note.bill

    def tick(self, *, alive: set[str], now: float) -> list[wire.RecoverHolder]:
        """Closes the records of holders that are gone.

        Returns a command for each, to be sent until it is answered.
        """
        commands = []
        for (name, term), held in list(self._holders.items()):
            if name in alive:
                held.alive_at = now
            elif now - held.alive_at >= self.holder_timeout:
                commands.append(self._close(name, term, held))
        return commands

    def _close(
        self, name: str, term: int, held: _Holder
    ) -> wire.RecoverHolder:
        del self._holders[name, term]
        self._closed[name] = max(term, self._closed.get(name, 0))
        copies = [
            wire.BillCopy(number=number, bill=bill)
            for number, bill in sorted(held.copies.items())
        ]
        return wire.RecoverHolder(
            holder=name,
            term=term,
            witness=self.name,
            limits=held.limits,
            copies=copies,
        )

    def reset_liveness(self, now: float) -> None:
        """Counts every holder as alive, after this entry was paused."""
        for held in self._holders.values():
            held.alive_at = now
