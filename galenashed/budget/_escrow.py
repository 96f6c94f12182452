"""The sans-IO escrow of an entry: grants, reservations and bills.

Within a grant, ``reserved + used <= amount`` at all times, and the sum of
the open grants of a budget is covered by what is prepaid.  So nothing that
is spent here can pass the budget, whatever other entries do.
"""

import math

from galenashed.budget import _policy
from galenashed.protocol import control as wire

RATE_WINDOW_SECONDS = 5.0


class Grant:
    """Tokens that this entry may spend.

    ``unsettled`` counts bills that control has not acknowledged.
    """

    __slots__ = (
        "amount",
        "closing",
        "id",
        "last_used",
        "reserved",
        "sent_close",
        "unsettled",
        "used",
    )

    def __init__(self, *, id: str, amount: int, now: float):
        self.id = id
        self.amount = amount
        self.reserved = 0
        self.used = 0
        self.unsettled = 0
        self.closing = False
        self.sent_close = False
        self.last_used = now

    @property
    def free(self) -> int:
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

    __slots__ = ("grants", "opening", "rate", "rate_at", "short")

    def __init__(self, *, now: float):
        self.grants: dict[str, Grant] = {}
        self.opening: wire.OpenGrant | None = None
        self.short: wire.Short | None = None
        # Tokens a second, decaying exponentially.
        self.rate = 0.0
        self.rate_at = now

    @property
    def free(self) -> int:
        return sum(grant.free for grant in self.grants.values())

    def note_demand(self, tokens: int, now: float) -> None:
        """Counts a reservation towards the demand."""
        self.rate = self.demand(now) + tokens / RATE_WINDOW_SECONDS
        self.rate_at = now

    def demand(self, now: float) -> float:
        """Returns the present demand in tokens a second."""
        elapsed = now - self.rate_at
        return self.rate * math.exp(-elapsed / RATE_WINDOW_SECONDS)


class Escrow:
    """All that one incarnation of one entry holds.

    Parameters
    ----------
    holder : str
        The incarnation's unique name; grants belong to it alone.
    policy : Policy
        Sizes of grants.

    Example::

        escrow = Escrow(holder="entry-1/7f3a", policy=policy)
        command = escrow.open_grant(
            "rounds", need=300, missing=300, now=0.0
        )
        escrow.on_opened(command, reply, now=0.1)
        reservation = escrow.reserve("rounds", 300, now=0.1)
    """

    def __init__(self, *, holder: str, policy: _policy.Policy):
        self.holder = holder
        self.policy = policy
        self.accounts: dict[str, Account] = {}
        self._opened = 0
        self._sequence = 0
        self._bills: list[wire.Bill] = []
        self._in_flight: wire.SettleBills | None = None

    # Reservations

    def reserve(
        self, budget: str, tokens: int, now: float
    ) -> Reservation | None:
        """Sets tokens aside; None if the grants held don't cover them."""
        account = self._account(budget, now)
        if account.free < tokens:
            return None
        account.note_demand(tokens, now)
        parts = []
        left = tokens
        for grant in account.grants.values():
            taken = min(grant.free, left)
            if taken <= 0:
                continue
            grant.reserved += taken
            grant.last_used = now
            parts.append(wire.Part(grant.id, taken))
            left -= taken
        return Reservation(budget=budget, parts=parts)

    def release(self, reservation: Reservation, now: float) -> None:
        """Gives a reservation back unused."""
        self._spend(reservation, 0, now)

    def bill(
        self, reservation: Reservation, bill: wire.Bill, now: float
    ) -> wire.Bill:
        """Bills a request and frees the rest of its reservation.

        ``bill.parts`` is replaced by the parts that the billed tokens come
        from; use beyond the reservation is not billed.
        """
        tokens = bill.prompt_tokens + bill.output_tokens
        parts = self._spend(reservation, tokens, now)
        account = self.accounts[reservation.budget]
        for part in parts:
            account.grants[part.grant].unsettled += 1
        final = wire.Bill(
            id=bill.id,
            team=bill.team,
            budget=bill.budget,
            subject=bill.subject,
            attempt=bill.attempt,
            keyed=bill.keyed,
            prompt_tokens=bill.prompt_tokens,
            output_tokens=bill.output_tokens,
            parts=parts,
        )
        self._bills.append(final)
        return final

    def _spend(
        self, reservation: Reservation, tokens: int, now: float
    ) -> list[wire.Part]:
        assert not reservation.done, "a reservation ends once"
        reservation.done = True
        account = self.accounts[reservation.budget]
        left = tokens
        parts = []
        for part in reservation.parts:
            grant = account.grants[part.grant]
            spent = min(part.tokens, left)
            left -= spent
            grant.reserved -= part.tokens
            grant.used += spent
            grant.last_used = now
            if spent:
                parts.append(wire.Part(part.grant, spent))
        return parts

    def _account(self, budget: str, now: float) -> Account:
        account = self.accounts.get(budget)
        if account is None:
            account = Account(now=now)
            self.accounts[budget] = account
        return account

    # Grants

    def free(self, budget: str) -> int:
        """Returns the tokens of a budget that can be reserved at once."""
        account = self.accounts.get(budget)
        return 0 if account is None else account.free

    def open_grant(
        self, budget: str, *, need: int, missing: int, now: float
    ) -> wire.OpenGrant | None:
        """Returns the command that asks for more tokens.

        ``need`` is the least that is of use, ``missing`` what all waiting
        requests lack.  None while an earlier command has no answer.
        """
        account = self._account(budget, now)
        if account.opening is not None:
            return None
        ahead = account.demand(now) * self.policy.horizon
        want = missing + max(self.policy.min_slice, int(ahead))
        self._opened += 1
        account.opening = wire.OpenGrant(
            grant=f"{self.holder}/{self._opened}",
            budget=budget,
            holder=self.holder,
            number=self._opened,
            sequence=self._sequence,
            need=need,
            want=want,
        )
        return account.opening

    def wants_more(self, budget: str, now: float) -> bool:
        """Whether what is held runs out within half the horizon."""
        account = self._account(budget, now)
        if account.opening is not None or account.short is not None:
            return False
        ahead = account.demand(now) * self.policy.horizon / 2
        return account.free < ahead

    def on_opened(
        self, command: wire.OpenGrant, reply: wire.Reply, now: float
    ) -> None:
        """Takes the answer to :meth:`open_grant`."""
        account = self.accounts[command.budget]
        if account.opening is command:
            account.opening = None
            account.short = None
        if isinstance(reply, wire.Granted):
            grant = Grant(id=reply.grant, amount=reply.amount, now=now)
            account.grants[grant.id] = grant
        elif isinstance(reply, wire.Short):
            account.short = reply

    def clear_short(self, budget: str) -> None:
        """Forgets that control had no tokens left."""
        account = self.accounts.get(budget)
        if account is not None:
            account.short = None

    def recall(self, budget: str) -> None:
        """Stops spending from the budget's grants, so that they close."""
        account = self.accounts.get(budget)
        if account is None:
            return
        for grant in account.grants.values():
            if grant.amount - grant.reserved - grant.used > 0:
                grant.closing = True

    def recall_all(self) -> None:
        """Stops spending altogether; for a shutdown."""
        for account in self.accounts.values():
            for grant in account.grants.values():
                grant.closing = True

    def close_grants(self, now: float) -> list[wire.CloseGrant]:
        """Returns commands that give back used-up and idle grants."""
        commands = []
        for account in self.accounts.values():
            for grant in account.grants.values():
                if self._should_close(grant, now):
                    grant.closing = True
                    grant.sent_close = True
                    commands.append(
                        wire.CloseGrant(grant=grant.id, holder=self.holder)
                    )
        return commands

    def _should_close(self, grant: Grant, now: float) -> bool:
        if grant.reserved or grant.unsettled or grant.sent_close:
            return False
        idle = now - grant.last_used >= self.policy.idle
        return grant.closing or idle or grant.used >= grant.amount

    def on_closed(self, command: wire.CloseGrant) -> None:
        """Forgets a grant that control has closed."""
        for account in self.accounts.values():
            account.grants.pop(command.grant, None)

    def retry_close(self, command: wire.CloseGrant) -> None:
        """Has a close sent again that got no answer."""
        for account in self.accounts.values():
            grant = account.grants.get(command.grant)
            if grant is not None:
                grant.sent_close = False

    # Bills

    def settle(self) -> wire.SettleBills | None:
        """Returns the next batch of bills; None while one is under way.

        A batch that got no answer is returned again by :meth:`unsettled`.
        """
        if self._in_flight is not None or not self._bills:
            return None
        self._in_flight = wire.SettleBills(
            holder=self.holder,
            sequence=self._sequence + 1,
            bills=self._bills,
        )
        self._bills = []
        return self._in_flight

    def on_settled(self, reply: wire.Settled) -> None:
        """Takes the answer to :meth:`settle`.

        The tokens of requests that were billed before are free again.
        """
        batch = self._in_flight
        assert batch is not None and reply.sequence == batch.sequence
        self._in_flight = None
        self._sequence = batch.sequence
        duplicates = set(reply.duplicates)
        for bill in batch.bills:
            account = self.accounts[bill.budget]
            for part in bill.parts:
                grant = account.grants[part.grant]
                grant.unsettled -= 1
                if bill.attempt in duplicates:
                    grant.used -= part.tokens

    @property
    def has_bills(self) -> bool:
        """Whether any bill has not been acknowledged."""
        return bool(self._bills or self._in_flight)

    @property
    def is_empty(self) -> bool:
        """Whether nothing is held any more."""
        held = any(
            account.grants or account.opening is not None
            for account in self.accounts.values()
        )
        return not held and not self.has_bills
