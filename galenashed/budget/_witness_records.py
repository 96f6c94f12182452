"""Sans-IO records of what other entries may have spent.

A witness acknowledges the spending limit of each grant before its holder
spends up to it, and stores copies of the holder's bills.  Once the holder
appears to have failed, the witness closes its record and accepts no further
notes.  The holder then cannot spend beyond the recorded limits, and control
may free the rest.  This holds even if the holder was only suspended or
partitioned.
"""

from galenashed.protocol import control as wire
from galenashed.protocol import witness as witness_wire


class _HolderRecord:
    __slots__ = ("copies", "last_alive_at", "limits")

    def __init__(self, *, now: float):
        self.last_alive_at = now
        self.limits: dict[str, int] = {}
        self.copies: dict[int, wire.Bill] = {}


class WitnessRecords:
    """Limits and bills that one entry incarnation records as a witness.

    Parameters
    ----------
    name : str
        Name of the witness, including its incarnation.
    holder_timeout : float
        Seconds after which a holder missing from ``alive`` counts as failed.

    Example::

        records = WitnessRecords(name="e2/91cc", holder_timeout=10.0)
        reply = records.record(request, now=0.0)
        commands = records.tick(alive={"e1/7f3a"}, now=1.0)
    """

    __slots__ = ("_closed_terms", "_records", "holder_timeout", "name")

    def __init__(self, *, name: str, holder_timeout: float):
        self.name = name
        self.holder_timeout = holder_timeout
        # Keyed by the holder's name and term.
        self._records: dict[tuple[str, int], _HolderRecord] = {}
        # Last closed term of each holder, kept for good because a suspended
        # holder may resume after any length of time.
        self._closed_terms: dict[str, int] = {}

    def record(
        self, request: witness_wire.WitnessRequest, now: float
    ) -> witness_wire.WitnessReply:
        """Records the notes of a request, unless the holder's term is closed.

        A request to another witness or incarnation is answered as closed.
        """
        closed = self._closed_terms.get(request.holder, 0)
        if request.witness != self.name or request.term <= closed:
            return witness_wire.WitnessReply(closed=True)
        key = (request.holder, request.term)
        record = self._records.get(key)
        if record is None:
            record = _HolderRecord(now=now)
            self._records[key] = record
        record.last_alive_at = now
        for note in request.notes:
            self._apply_note(record, note)
        for number in [n for n in record.copies if n <= request.settled]:
            del record.copies[number]
        return witness_wire.WitnessReply(closed=False)

    def _apply_note(
        self, record: _HolderRecord, note: witness_wire.WitnessRecord
    ) -> None:
        if isinstance(note, witness_wire.Hold):
            limit = record.limits.get(note.grant, 0)
            record.limits[note.grant] = max(limit, note.limit)
        elif isinstance(note, witness_wire.Forget):
            record.limits.pop(note.grant, None)
        else:
            record.copies[note.number] = note.bill

    def tick(self, *, alive: set[str], now: float) -> list[wire.RecoverHolder]:
        """Closes the records of failed holders.

        Returns one command per closed record, to be sent until answered.
        """
        commands = []
        for (name, term), record in list(self._records.items()):
            if name in alive:
                record.last_alive_at = now
            elif now - record.last_alive_at >= self.holder_timeout:
                commands.append(self._close(name, term, record))
        return commands

    def _close(
        self, name: str, term: int, record: _HolderRecord
    ) -> wire.RecoverHolder:
        del self._records[name, term]
        self._closed_terms[name] = max(term, self._closed_terms.get(name, 0))
        copies = [
            wire.BillCopy(number=number, bill=bill)
            for number, bill in sorted(record.copies.items())
        ]
        return wire.RecoverHolder(
            holder=name,
            term=term,
            witness=self.name,
            limits=record.limits,
            copies=copies,
        )

    def reset_liveness(self, now: float) -> None:
        """Marks every holder as alive, after this entry was suspended."""
        for record in self._records.values():
            record.last_alive_at = now
