"""Messages to the entries that guard the announced limits of a holder."""

import msgspec


class SetLifted(msgspec.Struct, frozen=True, kw_only=True):
    """Tells a guard whether a holder may exceed its announced limits.

    ``guard`` is the name of the guard as a holder.  ``sequence`` increases
    with each message of ``holder``; an older one that arrives late has no
    effect.  ``term`` is that of the holder's current grants.  The reply is
    whether the guard has recorded it.
    """

    guard: str
    holder: str
    term: int
    sequence: int
    lifted: bool


class CloseTerm(msgspec.Struct, frozen=True, kw_only=True):
    """Asks a guard to let a holder never exceed its limits again.

    This holds for its terms up to ``term``.  The reply is whether the guard
    does so; it does not if the holder may exceed them already, or if it is
    not the process that ``guard`` names.
    """

    guard: str
    holder: str
    term: int
