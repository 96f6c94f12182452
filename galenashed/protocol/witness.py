"""Messages that replicate an entry's spending limits to other entries.

The *holder* is the entry that holds grants and spends from them; a *witness*
keeps a copy of its spending limits and bills.  Both are identified by name
and incarnation, such as ``e1/7f3a``.
"""

import msgspec

from galenashed.protocol import control


class Hold(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Allows the holder to spend up to ``limit`` tokens of a grant."""

    grant: str
    limit: int


class Forget(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Tells a witness to drop a grant, which is closed."""

    grant: str


WitnessRecord = Hold | control.BillCopy | Forget


class WitnessRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A batch of records from a holder to a witness.

    The control replicas have recorded the holder's bills up to number
    ``settled``.  ``term`` increases after a witness has closed the previous
    term.
    """

    holder: str
    term: int
    witness: str
    settled: int
    notes: list[WitnessRecord]


class WitnessReply(msgspec.Struct, frozen=True, kw_only=True):
    """Acknowledges :class:`WitnessRequest`, unless the term is ``closed``.

    Once a witness has closed a term, the holder must not spend any more from
    the grants of that term.
    """

    closed: bool
