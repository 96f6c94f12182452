"""What an entry holds of one budget: grants, reservations and demand."""

import math

from galenashed.protocol import control as wire

RATE_WINDOW_SECONDS = 5.0


class Grant:
    """Tokens that this entry may spend.

    ``unsettled`` counts bills that control has not acknowledged.
    ``limits`` is what each witness has heard, ``asked`` what it was told.
    A ``borrowed`` one is of tokens that another entry has billed as spent;
    control knows nothing of it.
    """

    __slots__ = (
        "amount",
        "asked",
        "borrowed",
        "closing",
        "id",
        "last_used",
        "limits",
        "reserved",
        "sent_close",
        "unsettled",
        "used",
    )

    def __init__(
        self,
        *,
        id: str,
        amount: int,
        now: float,
        witnesses: list[str],
        borrowed: bool = False,
    ):
        self.borrowed = borrowed
        self.id = id
        self.amount = amount
        self.limits = dict.fromkeys(witnesses, 0)
        self.asked = 0
        self.reserved = 0
        self.used = 0
        self.unsettled = 0
        self.closing = False
        self.sent_close = False
        self.last_used = now

    @property
    def limit(self) -> int:
        """How far it may be spent now, as every witness has heard."""
        return min([self.amount, *self.limits.values()])

    @property
    def free(self) -> int:
        """What can be reserved at once."""
        return 0 if self.closing else self.limit - self.reserved - self.used

    @property
    def unspent(self) -> int:
        """What can be reserved once those who must have heard of it."""
        return 0 if self.closing else self.amount - self.reserved - self.used


class Reservation:
    """Tokens set aside for one request, from one grant or several."""

    __slots__ = ("budget", "done", "parts")

    def __init__(self, *, budget: str, parts: list[wire.Part]):
        self.budget = budget
        self.parts = parts
        self.done = False

    @property
    def tokens(self) -> int:
        return sum(part.tokens for part in self.parts)


class Account:
    """What this entry holds of one budget."""

    __slots__ = ("grants", "opening", "rate", "rate_at", "shortage")

    def __init__(self, *, now: float):
        self.grants: dict[str, Grant] = {}
        self.opening: wire.OpenGrant | None = None
        self.shortage: wire.Short | None = None
        # Tokens a second, decaying exponentially.
        self.rate = 0.0
        self.rate_at = now

    @property
    def free(self) -> int:
        return sum(grant.free for grant in self.grants.values())

    @property
    def unspent(self) -> int:
        return sum(grant.unspent for grant in self.grants.values())

    @property
    def has_emergency(self) -> bool:
        """Whether a grant without witnesses is held."""
        return any(
            not grant.limits and not grant.closing
            for grant in self.grants.values()
        )

    def note_demand(self, tokens: int, now: float) -> None:
        """Counts a reservation towards the demand."""
        self.rate = self.demand(now) + tokens / RATE_WINDOW_SECONDS
        self.rate_at = now

    def demand(self, now: float) -> float:
        """Returns the present demand in tokens a second."""
        elapsed = now - self.rate_at
        return self.rate * math.exp(-elapsed / RATE_WINDOW_SECONDS)
