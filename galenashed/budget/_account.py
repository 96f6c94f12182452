"""Grants, reservations and demand of one budget at an entry."""

import math
import typing

from galenashed.protocol import control as wire

# Time constant of the exponential decay of the demand.
RATE_WINDOW_SECONDS = 5.0


class Grant:
    """Tokens that this entry may spend.

    ``unsettled`` counts bills that control has not acknowledged.
    ``limits`` maps each witness to the spending limit that it has
    acknowledged; ``sent_limit`` is the highest limit sent to the witnesses.
    ``stored_bound`` is the most that may be spent according to the disk of
    this entry, None if the disk does not bound it.  A ``borrowed`` grant
    holds tokens that another entry has billed as spent; control does not know
    it.  ``guards`` are the entries that must record it before the limit that
    control has acknowledged is exceeded; ``lifted`` is set while it may be.
    """

    __slots__ = (
        "amount",
        "borrowed",
        "close_sent",
        "closing",
        "guards",
        "id",
        "last_used",
        "lifted",
        "limits",
        "reserved",
        "sent_limit",
        "stored_bound",
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
        guards: typing.Sequence[str] = (),
    ):
        self.borrowed = borrowed
        self.guards = guards
        self.lifted = False
        self.id = id
        self.amount = amount
        self.limits = dict.fromkeys(witnesses, 0)
        self.sent_limit = 0
        self.stored_bound: int | None = None
        self.reserved = 0
        self.used = 0
        self.unsettled = 0
        self.closing = False
        self.close_sent = False
        self.last_used = now

    @property
    def limit(self) -> int:
        """Spending limit that every witness has acknowledged, in tokens."""
        return min([self.amount, *self.limits.values()])

    @property
    def in_use(self) -> int:
        """Tokens that are reserved or spent."""
        return self.reserved + self.used

    @property
    def announced(self) -> int:
        """Tokens that can be reserved as far as the limit allows."""
        return 0 if self.closing else self.limit - self.in_use

    @property
    def free(self) -> int:
        """Tokens that can be reserved now."""
        if self.closing or self.stored_bound is None:
            return self.announced
        return min(self.limit, self.stored_bound) - self.in_use

    @property
    def unspent(self) -> int:
        """Tokens that can be reserved once limits are raised to the amount."""
        return 0 if self.closing else self.amount - self.reserved - self.used

    def shrink(self, kept: int) -> None:
        """Gives up all but ``kept`` tokens and those in use.

        A limit sent before that exceeds the new amount raises nothing any
        more, and must not be taken for one that will.
        """
        self.amount = min(self.amount, self.in_use + kept)
        self.sent_limit = min(self.sent_limit, self.amount)


class Reservation:
    """Tokens reserved for one request from one or more grants."""

    __slots__ = ("budget", "done", "parts")

    def __init__(self, *, budget: str, parts: list[wire.BillPart]):
        self.budget = budget
        self.parts = parts
        self.done = False

    @property
    def tokens(self) -> int:
        return sum(part.tokens for part in self.parts)


class Account:
    """Grants and demand of one budget at this entry."""

    __slots__ = (
        "grants",
        "is_scarce",
        "max_spare",
        "pending_open",
        "rate",
        "rate_updated_at",
        "shortage",
    )

    def __init__(self, *, now: float):
        self.grants: dict[str, Grant] = {}
        # Whether the budget may soon be used up, as far as control has told.
        self.is_scarce = False
        # The most tokens to request beyond the demand; None for no limit.
        self.max_spare: int | None = None
        self.pending_open: wire.OpenGrant | None = None
        self.shortage: wire.Short | None = None
        # Tokens per second, decaying exponentially.
        self.rate = 0.0
        self.rate_updated_at = now

    @property
    def free(self) -> int:
        return sum(grant.free for grant in self.grants.values())

    @property
    def announced(self) -> int:
        return sum(grant.announced for grant in self.grants.values())

    @property
    def unspent(self) -> int:
        return sum(grant.unspent for grant in self.grants.values())

    @property
    def has_unwitnessed_grant(self) -> bool:
        """Whether an open grant has no witnesses."""
        return any(
            not grant.limits and not grant.closing
            for grant in self.grants.values()
        )

    def record_demand(self, tokens: int, now: float) -> None:
        """Adds a reservation to the demand."""
        self.rate = self.demand(now) + tokens / RATE_WINDOW_SECONDS
        self.rate_updated_at = now

    def demand(self, now: float) -> float:
        """Returns the current demand in tokens per second."""
        elapsed = now - self.rate_updated_at
        return self.rate * math.exp(-elapsed / RATE_WINDOW_SECONDS)
