"""Messages by which an entry has others remember what it may spend.

The entry that spends is the *holder*, one that remembers is a *witness*.
Both are named with their incarnation, as in ``e1/7f3a``.
"""

import msgspec

from galenashed.protocol import control


class Hold(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """The holder may spend up to ``limit`` tokens of a grant."""

    grant: str
    limit: int


class Forget(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """A grant is closed."""

    grant: str


Note = Hold | control.BillCopy | Forget


class Notes(msgspec.Struct, frozen=True, kw_only=True):
    """Sent by a holder; control has its bills up to number ``settled``.

    ``term`` grows each time a witness has closed the holder's grants.
    """

    holder: str
    term: int
    witness: str
    settled: int
    notes: list[Note]


class Noted(msgspec.Struct, frozen=True, kw_only=True):
    """The witness remembers, unless it has ``closed`` the holder's term.

    A holder must spend no more of the grants of a term that is closed.
    """

    closed: bool
