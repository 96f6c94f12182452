"""The sans-IO escrow of an entry: grants, reservations and bills.

A grant may have witnesses: other entries that have heard how far it may be
spent before it is, and that can tell control if this entry is gone.

Within a grant, ``reserved + used <= amount`` at all times, and the sum of
the open grants of a budget is covered by what is prepaid.  So nothing that
is spent here can pass the budget, whatever other entries do.
"""

import typing

from galenashed.budget import _account
from galenashed.budget import _announcer
from galenashed.budget import _bills
from galenashed.budget import _policy
from galenashed.protocol import control as wire
from galenashed.protocol import witness as witness_wire

# Of its own demand an entry lends nothing for this long.
KEPT_SECONDS = 1.0
MIN_HOLD_TOKENS = 500


class WitnessMessage(typing.NamedTuple):
    """A note and the witness that it is for."""

    witness: str
    note: witness_wire.Note


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
            "rounds", need=300, missing=300, now=0.0, witnesses=[]
        )
        escrow.on_opened(command, reply, now=0.1)
        reservation = escrow.reserve("rounds", 300, now=0.1)
    """

    def __init__(self, *, holder: str, policy: _policy.Policy):
        self.holder = holder
        self.policy = policy
        self.accounts: dict[str, _account.Account] = {}
        # Grows each time a witness has closed the grants.
        self.term = 1
        self._by_id: dict[str, _account.Grant] = {}
        self._opened = 0
        self._lent = 0
        self._borrowed = 0
        self.bills = _bills.BillQueue(holder=holder)

    # Reservations

    def reserve(
        self, budget: str, tokens: int, now: float
    ) -> _account.Reservation | None:
        """Sets tokens aside; None if the grants held don't cover them."""
        account = self._account_of(budget, now)
        if account.free < tokens:
            return None
        account.note_demand(tokens, now)
        parts = []
        left = tokens
        for grant in sorted(account.grants.values(), key=_order):
            taken = min(grant.free, left)
            if taken <= 0:
                continue
            grant.reserved += taken
            grant.last_used = now
            parts.append(wire.Part(grant.id, taken))
            left -= taken
        return _account.Reservation(budget=budget, parts=parts)

    def release(self, reservation: _account.Reservation, now: float) -> None:
        """Gives a reservation back unused."""
        self._spend(reservation, 0, now)

    def bill(
        self, reservation: _account.Reservation, bill: wire.Bill, now: float
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
        self.bills.add(final)
        return final

    def copies(
        self,
        number: int,
        bill: wire.Bill,
        choose: typing.Callable[[], list[str]],
    ) -> list[WitnessMessage]:
        """Returns copies of a bill for the witnesses of its grants.

        Only if the grants have none, ``choose`` names others.
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
            if spent and not grant.borrowed:
                parts.append(wire.Part(part.grant, spent))
            if grant.borrowed and grant.used >= grant.amount:
                # Nobody else knows of it.
                del account.grants[grant.id]
        return parts

    # Lending

    def lend(self, budget: str, tokens: int, borrower: str, now: float) -> int:
        """Bills tokens as spent that another entry may spend; how many.

        What this entry needs itself in the next second is not lent.
        """
        account = self.accounts.get(budget)
        if account is None:
            return 0
        own = int(account.demand(now) * KEPT_SECONDS)
        spare = min(tokens, account.free - own)
        if spare <= 0:
            return 0
        rate, rate_at = account.rate, account.rate_at
        reservation = self.reserve(budget, spare, now)
        # Lending is no demand of this entry's callers.
        account.rate, account.rate_at = rate, rate_at
        assert reservation is not None
        self._lent += 1
        name = f"{self.holder}/lent/{self._lent}"
        self.bill(
            reservation,
            wire.Bill(
                id=name,
                team=budget,
                budget=budget,
                subject=f"lent to {borrower}",
                attempt=name,
                keyed=False,
                prompt_tokens=spare,
                output_tokens=0,
                parts=[],
            ),
            now,
        )
        return spare

    def on_borrowed(self, budget: str, tokens: int, now: float) -> None:
        """Takes tokens that another entry has billed."""
        account = self._account_of(budget, now)
        self._borrowed += 1
        grant = _account.Grant(
            id=f"{self.holder}/borrowed/{self._borrowed}",
            amount=tokens,
            now=now,
            witnesses=[],
            borrowed=True,
        )
        account.grants[grant.id] = grant

    def _account_of(self, budget: str, now: float) -> _account.Account:
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

    def unspent(self, budget: str) -> int:
        """Returns the tokens that witnesses have yet to hear of, too."""
        account = self.accounts.get(budget)
        return 0 if account is None else account.unspent

    def open_grant(
        self,
        budget: str,
        *,
        need: int,
        missing: int,
        now: float,
        witnesses: list[str],
    ) -> wire.OpenGrant | None:
        """Returns the command that asks for more tokens.

        ``need`` is the least that is of use, ``missing`` what all waiting
        requests lack.  None while an earlier command has no answer.
        """
        account = self._account_of(budget, now)
        if account.opening is not None:
            return None
        ahead = account.demand(now) * self.policy.horizon
        want = missing + max(self.policy.min_slice, int(ahead))
        if self.policy.emergency and not account.has_emergency:
            witnesses = []
            want = max(need, self.policy.emergency)
        self._opened += 1
        account.opening = wire.OpenGrant(
            grant=f"{self.holder}/{self._opened}",
            budget=budget,
            holder=self.holder,
            number=self._opened,
            sequence=self.bills.sequence,
            need=need,
            want=want,
            term=self.term,
            witnesses=witnesses,
            limit=need if self.policy.announces else None,
        )
        return account.opening

    def hold(
        self, budget: str, missing: int, now: float
    ) -> list[WitnessMessage]:
        """Returns what witnesses must hear for ``missing`` more tokens."""
        account = self._account_of(budget, now)
        ahead = int(account.demand(now) * self.policy.hold_ahead)
        wanted = max(missing, ahead - account.free)
        notes: list[WitnessMessage] = []
        for grant in account.grants.values():
            if grant.closing or not grant.limits:
                continue
            # What was asked before may still be on its way.
            wanted -= max(0, grant.asked - grant.limit)
            step = min(
                grant.amount - grant.asked, max(wanted, MIN_HOLD_TOKENS)
            )
            if wanted <= 0 or step <= 0:
                continue
            grant.asked += step
            wanted -= step
            note = witness_wire.Hold(grant=grant.id, limit=grant.asked)
            notes += [WitnessMessage(name, note) for name in grant.limits]
        return notes

    def wants_held(self, budget: str, now: float) -> bool:
        """Whether what witnesses have heard runs out soon."""
        account = self._account_of(budget, now)
        soon = account.demand(now) * self.policy.hold_ahead / 2
        return account.free < soon and account.free < account.unspent

    def on_held(self, witness: str, note: witness_wire.Hold) -> None:
        """Takes a witness's word that it has heard a note."""
        grant = self._by_id.get(note.grant)
        if grant is not None:
            grant.limits[witness] = max(grant.limits[witness], note.limit)

    def limits(self) -> dict[str, int]:
        """Returns how far each grant may be spent once control has heard."""
        return {
            grant.id: max(grant.asked, grant.reserved + grant.used)
            for grant in self._by_id.values()
            if _announcer.CONTROL in grant.limits
        }

    def on_announced(self, limits: dict[str, int]) -> None:
        """Takes control's word that it has heard of limits."""
        for name, limit in limits.items():
            grant = self._by_id.get(name)
            if grant is not None:
                held = grant.limits[_announcer.CONTROL]
                grant.limits[_announcer.CONTROL] = max(held, limit)

    def lift_limits(self) -> None:
        """Lets all that is held be spent, while control is out of reach."""
        for grant in self._by_id.values():
            if _announcer.CONTROL in grant.limits:
                grant.limits[_announcer.CONTROL] = grant.amount

    def lower_limits(self, now: float) -> None:
        """Goes back to what is announced from now on."""
        for account in self.accounts.values():
            ahead = int(account.demand(now) * self.policy.hold_ahead)
            for grant in account.grants.values():
                if _announcer.CONTROL not in grant.limits:
                    continue
                busy = grant.reserved + grant.used
                grant.asked = min(grant.amount, busy + ahead)
                grant.limits[_announcer.CONTROL] = grant.asked

    def on_witness_lost(self, witness: str) -> list[wire.ShrinkGrant]:
        """Stops spending grants of which a witness hears no more."""
        return self._give_up(
            [g for g in self._by_id.values() if witness in g.limits]
        )

    def on_term_closed(self, term: int) -> list[wire.ShrinkGrant]:
        """Stops spending the grants of a term that a witness has closed."""
        if term < self.term:
            return []
        self.term = term + 1
        return self._give_up([g for g in self._by_id.values() if g.limits])

    def on_witnesses_found(self) -> list[wire.ShrinkGrant]:
        """Stops spending grants made while there were no witnesses."""
        return self._give_up([g for g in self._by_id.values() if not g.limits])

    @property
    def wants_witnesses(self) -> bool:
        """Whether any grant lacks witnesses that it should have."""
        if self.policy.emergency:
            return False
        return any(not grant.limits for grant in self._by_id.values())

    def _give_up(self, grants: list[_account.Grant]) -> list[wire.ShrinkGrant]:
        commands = []
        for grant in grants:
            if grant.closing:
                continue
            if grant.unspent and (grant.reserved or grant.unsettled):
                commands.append(self._shrink(grant))
            grant.closing = True
        return commands

    def wants_more(self, budget: str, now: float) -> bool:
        """Whether what is held runs out within half the horizon."""
        account = self._account_of(budget, now)
        if account.opening is not None or account.shortage is not None:
            return False
        ahead = account.demand(now) * self.policy.horizon / 2
        return account.unspent < ahead

    def on_opened(
        self, command: wire.OpenGrant, reply: wire.Reply, now: float
    ) -> None:
        """Takes the answer to :meth:`open_grant`."""
        account = self.accounts[command.budget]
        is_old = command.witnesses and command.term < self.term
        if account.opening is command:
            account.opening = None
            account.shortage = None
        if isinstance(reply, wire.Granted):
            grant = _account.Grant(
                id=reply.grant,
                amount=reply.amount,
                now=now,
                witnesses=command.witnesses,
            )
            if command.limit is not None:
                grant.limits[_announcer.CONTROL] = command.limit
                grant.asked = command.limit
            # Of a term that was closed meanwhile nothing can be spent.
            grant.closing = bool(is_old)
            account.grants[grant.id] = grant
            self._by_id[grant.id] = grant
        elif isinstance(reply, wire.Short):
            account.shortage = reply

    def clear_shortage(self, budget: str) -> None:
        """Forgets that control had no tokens left."""
        account = self.accounts.get(budget)
        if account is not None:
            account.shortage = None

    def recall(self, budget: str) -> list[wire.ShrinkGrant]:
        """Stops spending what is free of the budget's grants.

        Unused grants are closed next time; of those in use the free part
        is returned by the commands, each to be sent until it is answered.
        """
        account = self.accounts.get(budget)
        commands: list[wire.ShrinkGrant] = []
        for grant in account.grants.values() if account else ():
            if grant.unspent <= 0 or grant.borrowed:
                continue
            if grant.reserved or grant.unsettled:
                commands.append(self._shrink(grant))
            else:
                grant.closing = True
        return commands

    def _shrink(self, grant: _account.Grant) -> wire.ShrinkGrant:
        """Gives up what is neither used nor reserved of a grant."""
        grant.amount = grant.reserved + grant.used
        return wire.ShrinkGrant(
            grant=grant.id, holder=self.holder, amount=grant.amount
        )

    def recall_all(self) -> None:
        """Stops spending altogether; for a shutdown."""
        for account in self.accounts.values():
            for grant in list(account.grants.values()):
                grant.closing = True
                if grant.borrowed and not grant.reserved:
                    del account.grants[grant.id]

    def close_grants(self, now: float) -> list[wire.CloseGrant]:
        """Returns commands that give back used-up and idle grants."""
        commands = []
        for account in self.accounts.values():
            for grant in account.grants.values():
                if self._should_close(account, grant, now):
                    grant.closing = True
                    grant.sent_close = True
                    commands.append(
                        wire.CloseGrant(grant=grant.id, holder=self.holder)
                    )
        return commands

    def _should_close(
        self, account: _account.Account, grant: _account.Grant, now: float
    ) -> bool:
        if grant.reserved or grant.unsettled or grant.sent_close:
            return False
        if grant.borrowed:
            return False
        # What lies ready beside a grant in use is not idle.
        used = max(grant.last_used, account.rate_at)
        idle = now - used >= self.policy.idle
        return grant.closing or idle or grant.used >= grant.amount

    def on_closed(self, command: wire.CloseGrant) -> list[WitnessMessage]:
        """Forgets a grant that control has closed, and has others do so."""
        for account in self.accounts.values():
            account.grants.pop(command.grant, None)
        grant = self._by_id.pop(command.grant, None)
        if grant is None:
            return []
        note = witness_wire.Forget(grant=grant.id)
        return [WitnessMessage(name, note) for name in grant.limits]

    def retry_close(self, command: wire.CloseGrant) -> None:
        """Has a close sent again that got no answer."""
        for account in self.accounts.values():
            grant = account.grants.get(command.grant)
            if grant is not None:
                grant.sent_close = False

    # Bills

    def settle(self) -> wire.SettleBills | None:
        """Returns the next batch of bills; None while one is under way."""
        return self.bills.settle()

    def on_settled(self, reply: wire.Settled) -> None:
        """Takes the answer to :meth:`settle`.

        The tokens of requests that were billed before are free again.
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
        """Whether nothing is held any more."""
        held = any(
            account.grants or account.opening is not None
            for account in self.accounts.values()
        )
        return not held and not self.bills.is_waiting


def _order(grant: _account.Grant) -> int:
    """Returns when a grant's turn comes to be spent.

    What is borrowed goes first, for it can't be given back.  What has no
    witnesses goes last, for it serves when no witness answers.
    """
    if grant.borrowed:
        return 0
    return 1 if grant.limits else 2
