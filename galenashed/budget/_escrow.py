"""Sans-IO escrow of an entry: grants, reservations and bills.

A grant may have witnesses: other entries that acknowledge a spending limit
before this entry spends up to it, and that report the limit to control if
this entry fails.  A grant may also be bounded by a record on the disk of this
entry, from which its successor there learns how much cannot have been spent.

Within a grant, ``reserved + used <= amount`` holds at all times, and control
keeps the sum of the open grants of a budget within its prepaid tokens.
Spending here therefore cannot exceed the budget, whatever other entries do.
"""

import typing

import msgspec

from galenashed.budget import _account
from galenashed.budget import _announcer
from galenashed.budget import _bills
from galenashed.budget import _placement
from galenashed.budget import _policy
from galenashed.protocol import control as wire
from galenashed.protocol import witness as witness_wire

# An entry keeps this many seconds of its own demand when it lends tokens.
LENDING_RESERVE_SECONDS = 1.0
MIN_LIMIT_STEP_TOKENS = 500
# How long the bounds on the disk should last at the current demand.
BOUND_HORIZON_SECONDS = 0.5


class WitnessMessage(typing.NamedTuple):
    """A note and the name of the witness to send it to."""

    witness: str
    note: witness_wire.WitnessRecord


class Spending(typing.NamedTuple):
    """What an entry has and uses of its grants, in tokens.

    If it fails, control can count as spent all that is ``reserved``,
    ``unsettled`` or ``announced``; of the latter, ``stored`` is what bounds on
    the disk allow.  ``headroom`` is what it needs to announce at its present
    ``demand`` (tokens per second), and ``unspent`` what it holds in all.
    """

    demand: int
    reserved: int
    unsettled: int
    announced: int
    headroom: int
    stored: int
    unspent: int


class Escrow:
    """Grants, reservations and unsettled bills of one entry incarnation.

    Parameters
    ----------
    holder : str
        Unique name of the incarnation; only it may spend its grants.
    policy : Policy
        Sizes and lifetimes of grants.

    Example::

        escrow = Escrow(holder="entry-1/7f3a", policy=policy)
        command = escrow.open_grant(
            "rounds", need=300, missing=300, now=0.0, witnesses=[]
        )
        escrow.on_opened(command, reply, now=0.1)
        reservation = escrow.reserve("rounds", 300, now=0.1)
    """

    def __init__(self, *, holder: str, policy: _policy.Policy):
        self.holder = holder
        self.policy = policy
        self.accounts: dict[str, _account.Account] = {}
        # Incremented each time a witness has closed the grants.
        self.term = 1
        self._by_id: dict[str, _account.Grant] = {}
        self._grants_requested = 0
        self._loans_given = 0
        self._loans_received = 0
        self.bills = _bills.BillQueue(holder=holder)

    # Reservations

    def reserve(
        self, budget: str, tokens: int, now: float
    ) -> _account.Reservation | None:
        """Reserves tokens; returns None if the grants do not cover them."""
        account = self._get_account(budget, now)
        if account.free < tokens:
            return None
        account.record_demand(tokens, now)
        parts = []
        remaining = tokens
        for grant in sorted(account.grants.values(), key=_spending_order):
            taken = min(grant.free, remaining)
            if taken <= 0:
                continue
            grant.reserved += taken
            grant.last_used = now
            parts.append(wire.BillPart(grant.id, taken))
            remaining -= taken
        return _account.Reservation(budget=budget, parts=parts)

    def release(self, reservation: _account.Reservation, now: float) -> None:
        """Releases a reservation unused."""
        self._spend(reservation, 0, now)

    def bill(
        self, reservation: _account.Reservation, bill: wire.Bill, now: float
    ) -> wire.Bill:
        """Bills a request and releases the rest of its reservation.

        Returns a copy of ``bill`` whose ``parts`` name the grants that the
        tokens are taken from.  Usage beyond the reservation is not billed.
        """
        tokens = bill.prompt_tokens + bill.output_tokens
        parts = self._spend(reservation, tokens, now)
        account = self.accounts[reservation.budget]
        for part in parts:
            account.grants[part.grant].unsettled += 1
        final = wire.shorten_bill(msgspec.structs.replace(bill, parts=parts))
        self.bills.add(final)
        return final

    def make_bill_copies(
        self,
        number: int,
        bill: wire.Bill,
        choose: typing.Callable[[], list[str]],
    ) -> list[WitnessMessage]:
        """Returns copies of a bill for the witnesses of its grants.

        If the grants have no witnesses, ``choose`` selects the recipients.
        """
        names = dict.fromkeys(
            name
            for part in bill.parts
            for name in self._by_id[part.grant].limits
        )
        copy = wire.BillCopy(number=number, bill=bill)
        return [WitnessMessage(name, copy) for name in names or choose()]

    def _spend(
        self, reservation: _account.Reservation, tokens: int, now: float
    ) -> list[wire.BillPart]:
        assert not reservation.done, "the reservation has already ended"
        reservation.done = True
        account = self.accounts[reservation.budget]
        remaining = tokens
        parts = []
        for part in reservation.parts:
            grant = account.grants[part.grant]
            spent = min(part.tokens, remaining)
            remaining -= spent
            grant.reserved -= part.tokens
            grant.used += spent
            grant.last_used = now
            if spent and not grant.borrowed:
                parts.append(wire.BillPart(part.grant, spent))
            if grant.borrowed and grant.used >= grant.amount:
                # Control does not know borrowed grants, so there is nothing
                # to close.
                del account.grants[grant.id]
        return parts

    # Lending

    def lend(self, budget: str, tokens: int, borrower: str, now: float) -> int:
        """Lends tokens to another entry and returns how many.

        Lent tokens are billed here as spent.  The expected demand of this
        entry for the next second is not lent.
        """
        account = self.accounts.get(budget)
        if account is None:
            return 0
        lendable = min(self.lendable(budget, tokens, now), account.free)
        if lendable <= 0:
            return 0
        rate, rate_updated_at = account.rate, account.rate_updated_at
        reservation = self.reserve(budget, lendable, now)
        # A loan must not count as demand of this entry's own callers.
        account.rate, account.rate_updated_at = rate, rate_updated_at
        assert reservation is not None
        self._loans_given += 1
        loan_id = f"{self.holder}/lent/{self._loans_given}"
        self.bill(
            reservation,
            wire.Bill(
                id=loan_id,
                team=budget,
                budget=budget,
                subject=f"lent to {borrower}",
                attempt=loan_id,
                keyed=False,
                prompt_tokens=lendable,
                output_tokens=0,
                parts=[],
            ),
            now,
        )
        return lendable

    def lendable(self, budget: str, tokens: int, now: float) -> int:
        """Returns how many of ``tokens`` can be lent, as far as limits go."""
        account = self.accounts.get(budget)
        if account is None:
            return 0
        own_demand = int(account.demand(now) * LENDING_RESERVE_SECONDS)
        return max(0, min(tokens, account.announced - own_demand))

    def on_borrowed(self, budget: str, tokens: int, now: float) -> None:
        """Adds tokens that another entry has lent and already billed."""
        account = self._get_account(budget, now)
        self._loans_received += 1
        grant = _account.Grant(
            id=f"{self.holder}/borrowed/{self._loans_received}",
            amount=tokens,
            now=now,
            witnesses=[],
            borrowed=True,
        )
        account.grants[grant.id] = grant

    def _get_account(self, budget: str, now: float) -> _account.Account:
        account = self.accounts.get(budget)
        if account is None:
            account = _account.Account(now=now)
            self.accounts[budget] = account
        return account

    # Grants

    def free(self, budget: str) -> int:
        """Returns the tokens of a budget that can be reserved at once."""
        account = self.accounts.get(budget)
        return 0 if account is None else account.free

    def announced(self, budget: str) -> int:
        """Returns the tokens that can be reserved once the disk allows."""
        account = self.accounts.get(budget)
        return 0 if account is None else account.announced

    def unspent(self, budget: str) -> int:
        """Returns the unspent tokens, including those above the limits."""
        account = self.accounts.get(budget)
        return 0 if account is None else account.unspent

    def summarize(self, now: float) -> Spending:
        """Returns what the open grants are used for, over all budgets."""
        grants = self._by_id.values()
        return Spending(
            demand=int(sum(a.demand(now) for a in self.accounts.values())),
            reserved=sum(grant.reserved for grant in grants),
            unsettled=self.bills.unsettled_tokens,
            announced=sum(a.announced for a in self.accounts.values()),
            headroom=sum(
                min(_placement.limit_headroom(a, self.policy, now), a.unspent)
                for a in self.accounts.values()
            ),
            stored=sum(a.free for a in self.accounts.values()),
            unspent=sum(a.unspent for a in self.accounts.values()),
        )

    def open_grant(
        self,
        budget: str,
        *,
        need: int,
        missing: int,
        now: float,
        witnesses: list[str],
        exact: bool = False,
        waiting: int = 0,
    ) -> wire.OpenGrant | None:
        """Returns a command that requests another grant.

        ``witnesses`` are its guards if the policy announces limits.

        ``need`` is the smallest useful amount, ``missing`` the shortfall of
        all waiting requests, which need ``waiting`` tokens together.  Tokens
        ahead of demand are added unless the grant is to be ``exact``.
        Returns None while an earlier command for the budget is unanswered.
        """
        account = self._get_account(budget, now)
        if account.pending_open is not None:
            return None
        want = missing
        if not exact:
            want = _placement.wanted_tokens(
                account, self.policy, now, missing=missing, waiting=waiting
            )
        limit = None
        if self.policy.announces_limits:
            limit = _placement.initial_limit(
                account,
                self.policy,
                now,
                need=need,
                want=want,
                waiting=waiting,
            )
        if self.policy.emergency_tokens and not account.has_unwitnessed_grant:
            witnesses = []
            want = max(need, self.policy.emergency_tokens)
        self._grants_requested += 1
        account.pending_open = wire.OpenGrant(
            grant=f"{self.holder}/{self._grants_requested}",
            budget=budget,
            holder=self.holder,
            number=self._grants_requested,
            sequence=self.bills.sequence,
            need=need,
            want=want,
            term=self.term,
            witnesses=witnesses,
            limit=limit,
        )
        return account.pending_open

    def raise_limits(
        self, budget: str, missing: int, now: float, *, waiting: int = 0
    ) -> list[WitnessMessage]:
        """Returns notes that raise limits to free ``missing`` tokens.

        ``waiting`` are those that all waiting requests need together.
        """
        account = self._get_account(budget, now)
        wanted = _placement.missing_limits(
            account, self.policy, now, missing=missing, waiting=waiting
        )
        notes: list[WitnessMessage] = []
        for grant in account.grants.values():
            if grant.closing or not grant.limits:
                continue
            # Limits that were sent earlier may not be acknowledged yet.
            wanted -= max(0, grant.sent_limit - grant.limit)
            step = min(
                grant.amount - grant.sent_limit,
                max(wanted, MIN_LIMIT_STEP_TOKENS),
            )
            if wanted <= 0 or step <= 0:
                continue
            grant.sent_limit += step
            wanted -= step
            note = witness_wire.Hold(grant=grant.id, limit=grant.sent_limit)
            notes += [WitnessMessage(name, note) for name in grant.limits]
        return notes

    def raise_all_limits(self, now: float) -> None:
        """Raises the limits that the next announcement to control names."""
        for budget, account in self.accounts.items():
            if account.announced < account.unspent:
                self.raise_limits(budget, 0, now)

    def needs_higher_limits(self, budget: str, now: float) -> bool:
        """Whether the acknowledged limits will soon be used up."""
        account = self._get_account(budget, now)
        threshold = _placement.limit_headroom(account, self.policy, now) / 2
        return account.announced < min(threshold, account.unspent)

    def on_limit_acknowledged(
        self, witness: str, note: witness_wire.Hold
    ) -> None:
        """Applies a limit that a witness has acknowledged."""
        grant = self._by_id.get(note.grant)
        if grant is not None:
            grant.limits[witness] = max(grant.limits[witness], note.limit)

    def limits(self) -> dict[str, int]:
        """Returns the limits to announce to control, by grant."""
        return {
            grant.id: max(grant.sent_limit, grant.reserved + grant.used)
            for grant in self._by_id.values()
            if _announcer.CONTROL in grant.limits
        }

    def on_limits_announced(
        self, limits: dict[str, int], scarce: typing.Collection[str] = ()
    ) -> None:
        """Applies limits that control has acknowledged.

        ``scarce`` are the budgets that will soon be used up.
        """
        for budget, account in self.accounts.items():
            if not limits.keys().isdisjoint(account.grants):
                account.is_scarce = budget in scarce
        for name, limit in limits.items():
            grant = self._by_id.get(name)
            if grant is not None:
                acknowledged = grant.limits[_announcer.CONTROL]
                grant.limits[_announcer.CONTROL] = max(acknowledged, limit)

    @property
    def is_guarded(self) -> bool:
        """Whether any open grant has guards."""
        return any(
            grant.guards and not grant.closing
            for grant in self._by_id.values()
        )

    @property
    def has_guarded_limits(self) -> bool:
        """Whether limits hold that a guard would have to lift."""
        return any(
            grant.guards and not grant.closing and not grant.lifted
            for grant in self._by_id.values()
        )

    def lift_limits(self, *, guarded: bool = True) -> None:
        """Raises limits to the full grants while control is unreachable.

        Those of grants with guards only if ``guarded``: guards must have
        recorded it before.
        """
        for grant in self._by_id.values():
            if _announcer.CONTROL in grant.limits and (
                guarded or not grant.guards
            ):
                grant.limits[_announcer.CONTROL] = grant.amount
                grant.lifted = True

    def lower_limits(self, now: float) -> None:
        """Lowers lifted limits to current use plus expected demand.

        Whether a budget is scarce is not known until control has told it.
        """
        for account in self.accounts.values():
            account.is_scarce = True
            expected = _placement.limit_headroom(account, self.policy, now)
            for grant in account.grants.values():
                if not grant.lifted:
                    continue
                in_use = grant.reserved + grant.used
                grant.sent_limit = min(grant.amount, in_use + expected)
                grant.limits[_announcer.CONTROL] = grant.sent_limit
                grant.lifted = False

    def on_witness_lost(self, witness: str) -> list[wire.ShrinkGrant]:
        """Stops spending the grants that have a lost witness."""
        return self._retire_grants(
            [g for g in self._by_id.values() if witness in g.limits]
        )

    def on_term_closed(self, term: int) -> list[wire.ShrinkGrant]:
        """Stops spending the grants of a term closed by a witness or guard."""
        if term < self.term:
            return []
        self.term = term + 1
        return self._retire_grants(
            [g for g in self._by_id.values() if g.limits]
        )

    def on_witnesses_available(self) -> list[wire.ShrinkGrant]:
        """Stops spending grants that were opened without witnesses."""
        return self._retire_grants(
            [g for g in self._by_id.values() if not g.limits]
        )

    @property
    def needs_witnesses(self) -> bool:
        """Whether any grant lacks witnesses that it should have."""
        if self.policy.emergency_tokens:
            return False
        return any(not grant.limits for grant in self._by_id.values())

    def _retire_grants(
        self, grants: list[_account.Grant]
    ) -> list[wire.ShrinkGrant]:
        commands = []
        for grant in grants:
            if grant.closing:
                continue
            if grant.unspent and (grant.reserved or grant.unsettled):
                commands.append(self._shrink(grant))
            grant.closing = True
        return commands

    def needs_grant(self, budget: str, now: float) -> bool:
        """Whether the held tokens last less than half the horizon."""
        account = self._get_account(budget, now)
        if account.pending_open is not None or account.shortage is not None:
            return False
        expected = account.demand(now) * self.policy.horizon / 2
        return account.unspent < expected

    def set_max_spare(self, budget: str, tokens: int, now: float) -> None:
        """Limits the tokens of a budget that are requested beyond demand."""
        self._get_account(budget, now).max_spare = tokens

    def on_opened(
        self, command: wire.OpenGrant, reply: wire.Reply, now: float
    ) -> None:
        """Applies the reply to a command of :meth:`open_grant`."""
        account = self.accounts[command.budget]
        is_term_closed = command.witnesses and command.term < self.term
        if account.pending_open is command:
            account.pending_open = None
            account.shortage = None
        if isinstance(reply, wire.Granted):
            announces = command.limit is not None
            grant = _account.Grant(
                id=reply.grant,
                amount=reply.amount,
                now=now,
                witnesses=[] if announces else command.witnesses,
                guards=command.witnesses if announces else [],
            )
            if command.limit is not None:
                grant.sent_limit = min(command.limit, reply.amount)
                grant.limits[_announcer.CONTROL] = grant.sent_limit
            # A grant of a term that has since been closed is not spent.
            grant.closing = bool(is_term_closed)
            account.grants[grant.id] = grant
            self._by_id[grant.id] = grant
        elif isinstance(reply, wire.Short):
            account.shortage = reply

    def clear_shortage(self, budget: str) -> None:
        """Clears a shortage that control has reported."""
        account = self.accounts.get(budget)
        if account is not None:
            account.shortage = None

    def recall(self, budget: str, kept: int = 0) -> list[wire.ShrinkGrant]:
        """Stops spending the free part of a budget's grants, but ``kept``.

        Unused grants are closed by the next :meth:`close_grants`.  Each of
        the commands must be sent until it is answered.
        """
        account = self.accounts.get(budget)
        commands: list[wire.ShrinkGrant] = []
        for grant in _placement.order_for_return(account):
            kept_here = min(kept, grant.unspent)
            kept -= kept_here
            if kept_here == grant.unspent:
                continue
            if kept_here or grant.reserved or grant.unsettled:
                commands.append(self._shrink(grant, kept_here))
            else:
                grant.closing = True
        return commands

    def _shrink(
        self, grant: _account.Grant, kept: int = 0
    ) -> wire.ShrinkGrant:
        """Shrinks a grant to its used, reserved and ``kept`` tokens."""
        grant.shrink(kept)
        return wire.ShrinkGrant(
            grant=grant.id, holder=self.holder, amount=grant.amount
        )

    def set_policy(self, policy: _policy.Policy) -> None:
        """Sets the policy for grants from now on; it must announce alike."""
        if policy.announces_limits != self.policy.announces_limits:
            raise ValueError("both policies must announce limits, or neither")
        self.policy = policy

    def recall_all(self) -> None:
        """Stops spending from all grants, for a shutdown."""
        for account in self.accounts.values():
            for grant in list(account.grants.values()):
                grant.closing = True
                if grant.borrowed and not grant.reserved:
                    del account.grants[grant.id]

    def close_grants(self, now: float) -> list[wire.CloseGrant]:
        """Returns commands that close used-up, idle and retired grants."""
        commands = []
        for account in self.accounts.values():
            for grant in account.grants.values():
                if self._should_close(account, grant, now):
                    grant.closing = True
                    grant.close_sent = True
                    commands.append(
                        wire.CloseGrant(grant=grant.id, holder=self.holder)
                    )
        return commands

    def _should_close(
        self, account: _account.Account, grant: _account.Grant, now: float
    ) -> bool:
        if grant.reserved or grant.unsettled or grant.close_sent:
            return False
        if grant.borrowed:
            return False
        # A spare grant is not idle while the budget has any demand.
        last_used = max(grant.last_used, account.rate_updated_at)
        idle = now - last_used >= self.policy.idle
        return grant.closing or idle or grant.used >= grant.amount

    def on_closed(self, command: wire.CloseGrant) -> list[WitnessMessage]:
        """Removes a closed grant; returns notes that tell its witnesses."""
        for account in self.accounts.values():
            account.grants.pop(command.grant, None)
        grant = self._by_id.pop(command.grant, None)
        if grant is None:
            return []
        note = witness_wire.Forget(grant=grant.id)
        return [WitnessMessage(name, note) for name in grant.limits]

    def retry_close(self, command: wire.CloseGrant) -> None:
        """Lets an unanswered close command be sent again."""
        for account in self.accounts.values():
            grant = account.grants.get(command.grant)
            if grant is not None:
                grant.close_sent = False

    # Bounds on the disk of this entry

    def plan_bounds(
        self, needs: dict[str, int], now: float, *, add: bool
    ) -> dict[str, int]:
        """Returns the bounds to store, by grant, in tokens.

        ``needs`` are the tokens of waiting requests, by budget.  Grants that
        the disk does not bound yet are included if ``add`` is set.
        """
        bounds = {}
        for budget, account in self.accounts.items():
            expected = int(account.demand(now) * BOUND_HORIZON_SECONDS)
            ahead = max(needs.get(budget, 0), expected)
            for grant in sorted(account.grants.values(), key=_spending_order):
                if grant.borrowed or (grant.stored_bound is None and not add):
                    continue
                step = 0 if grant.closing else min(ahead, grant.unspent)
                bounds[grant.id] = grant.in_use + step
                ahead -= step
        return bounds

    def on_bounds_sent(self, bounds: dict[str, int]) -> None:
        """Obeys bounds that the disk may have from now on."""
        for name, bound in bounds.items():
            grant = self._by_id[name]
            if grant.stored_bound is None:
                grant.stored_bound = bound
            grant.stored_bound = min(grant.stored_bound, bound)

    def on_bounds_stored(self, bounds: dict[str, int]) -> None:
        """Allows to spend up to bounds that the disk has."""
        for name, bound in bounds.items():
            grant = self._by_id.get(name)
            if grant is not None:
                grant.stored_bound = bound

    def needs_higher_bounds(self, budget: str, now: float) -> bool:
        """Whether the stored bounds will soon be used up."""
        account = self._get_account(budget, now)
        threshold = account.demand(now) * BOUND_HORIZON_SECONDS / 2
        return account.free < min(threshold, account.announced)

    def retire_bounded(self) -> list[wire.ShrinkGrant]:
        """Stops spending the grants that the disk bounds."""
        return self._retire_grants(
            [g for g in self._by_id.values() if g.stored_bound is not None]
        )

    # Bills

    def settle(self) -> wire.SettleBills | None:
        """Returns the next batch of bills; None while one is in flight."""
        return self.bills.settle()

    def on_settled(self, reply: wire.Settled) -> None:
        """Applies the reply to a batch of :meth:`settle`.

        Tokens of requests that had already been billed become free again.
        """
        duplicates = set(reply.duplicates)
        for bill in self.bills.on_settled(reply):
            account = self.accounts[bill.budget]
            for part in bill.parts:
                grant = account.grants[part.grant]
                grant.unsettled -= 1
                if bill.attempt in duplicates:
                    grant.used -= part.tokens

    @property
    def is_empty(self) -> bool:
        """Whether no grants, requested grants or unsettled bills remain."""
        has_grants = any(
            account.grants or account.pending_open is not None
            for account in self.accounts.values()
        )
        return not has_grants and not self.bills.is_waiting


def _spending_order(grant: _account.Grant) -> int:
    """Returns the sort key by which grants are spent.

    Borrowed tokens go first because they cannot be returned.  Grants without
    witnesses go last because they are the reserve for when no witness
    answers.
    """
    if grant.borrowed:
        return 0
    return 1 if grant.limits else 2
