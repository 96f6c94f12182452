"""Budgets, grants and bills within the replicated state.

A grant moves tokens from free to outstanding, a bill from outstanding to
settled, a closed or shrunk grant from outstanding back to free.  No other
path exists, so ``settled + outstanding <= prepaid`` holds whatever is lost or
repeated.
"""

import msgspec

from galenashed.control import _state
from galenashed.protocol import control as wire

# One grant takes at most this part of what is free, so that the last tokens
# of a budget are spread over many small grants.
GRANT_SHARE_DIVISOR = 4
BILL_RETENTION_SECONDS = 24 * 3600.0
HOLDER_RETENTION_SECONDS = 7 * 24 * 3600.0
WRITE_OFF_SECONDS = 3600.0
MAX_RECENT_BILLS = 10_000
# A holder spends what it has not announced only after it has been silent
# for longer, by a margin for clocks that jump; see ``budget.CUT_SECONDS``.
SUCCESSION_SECONDS = 2.8


class WrittenOff(msgspec.Struct, frozen=True, kw_only=True):
    """What of a grant was counted as spent without a bill, in tokens."""

    grant: str
    budget: str
    tokens: int


def top_up(state: _state.ControlState, budget: wire.Budget) -> None:
    """Applies the top-ups and cuts of a note that are not yet applied."""
    held = state.budgets.get(budget.name)
    if held is None:
        held = _state.BudgetState(name=budget.name, team=budget.team)
        state.budgets[budget.name] = held
    for item in budget.top_ups:
        if item.id in held.top_ups:
            continue
        held.top_ups[item.id] = item.tokens
        _adjust(held, item.tokens)


def set_total(state: _state.ControlState, team: str, total: int) -> bool:
    """Sets what a team of the routing table has prepaid, in all.

    Returns whether tokens that are granted have to come back for it.
    """
    held = state.budgets.get(team)
    if held is None:
        held = _state.BudgetState(name=team, team=team)
        state.budgets[team] = held
    held.routed = True
    _adjust(held, total - (held.prepaid - held.pending_cut))
    return held.pending_cut > 0


def _adjust(held: _state.BudgetState, tokens: int) -> None:
    """Adds to what is prepaid, or takes from it as far as it is free."""
    if tokens >= 0:
        covered = min(held.pending_cut, tokens)
        held.pending_cut -= covered
        held.prepaid += tokens - covered
    else:
        held.pending_cut -= tokens
        _apply_cut(held)


def _apply_cut(held: _state.BudgetState) -> None:
    """Takes as much of a pending cut as is free."""
    taken = min(held.pending_cut, held.free)
    held.pending_cut -= taken
    held.prepaid -= taken


def open_grant(state: _state.ControlState, cmd: wire.OpenGrant) -> wire.Reply:
    """Grants tokens; the same grant asked for again is the same grant."""
    held = state.budgets.get(cmd.budget)
    if held is None or not _in_force(state, held):
        return wire.Refused(findings=[f"no budget {cmd.budget!r}"])
    if cmd.need < 1:
        return wire.Refused(findings=[f"need must be over 0: {cmd.need}"])
    existing = held.grants.get(cmd.grant)
    if existing is not None:
        return wire.Granted(grant=cmd.grant, amount=existing.amount)
    holder = _holder(state, cmd.holder, cmd.sequence)
    if cmd.number <= holder.opened:
        # A late copy of a command whose grant has been closed since, or
        # which was answered by a refusal: nobody waits for it any more.
        return wire.Closed(grant=cmd.grant)
    holder.opened = cmd.number
    holder.at = state.now
    if cmd.need > held.free:
        return wire.Short(
            available=held.free,
            elsewhere=_granted_elsewhere(held, cmd.holder),
        )
    share = max(cmd.need, held.free // GRANT_SHARE_DIVISOR)
    amount = min(max(cmd.want, cmd.need), share)
    held.grants[cmd.grant] = _state.GrantState(
        holder=cmd.holder,
        amount=amount,
        term=cmd.term,
        witnesses=cmd.witnesses,
        limit=cmd.limit,
    )
    held.outstanding += amount
    return wire.Granted(grant=cmd.grant, amount=amount)


def _in_force(state: _state.ControlState, held: _state.BudgetState) -> bool:
    return held.routed or held.name in state.release.budgets


def _holder(state, name: str, sequence: int) -> _state.HolderState:
    """Returns the holder's record; a forgotten one goes on from before."""
    held = state.holders.get(name)
    if held is None:
        held = _state.HolderState(sequence=sequence)
        state.holders[name] = held
    return held


def _granted_elsewhere(held: _state.BudgetState, holder: str) -> int:
    elsewhere = 0
    for grant in held.grants.values():
        if grant.holder != holder:
            elsewhere += grant.amount - grant.settled
    return elsewhere


def close_grant(
    state: _state.ControlState, cmd: wire.CloseGrant, budget: str, index: int
) -> wire.Reply:
    """Frees the rest of a grant; a grant closed before is no error."""
    held = state.budgets[budget]
    grant = held.grants.pop(cmd.grant)
    held.outstanding -= grant.amount - grant.settled
    _apply_cut(held)
    return wire.Done(index=index)


def shrink_grant(
    state: _state.ControlState, cmd: wire.ShrinkGrant, budget: str, index: int
) -> wire.Reply:
    """Frees a part of a grant; late copies of the command change nothing."""
    held = state.budgets[budget]
    _shrink(held, held.grants[cmd.grant], cmd.amount)
    return wire.Done(index=index)


def _shrink(
    held: _state.BudgetState, grant: _state.GrantState, amount: int
) -> None:
    kept = max(amount, grant.settled)
    if kept < grant.amount:
        held.outstanding -= grant.amount - kept
        grant.amount = kept
        _apply_cut(held)


def settle(
    state: _state.ControlState, cmd: wire.SettleBills, grants: dict[str, str]
) -> wire.Reply:
    """Bills a batch; ``grants`` maps open grants to their budgets."""
    holder = _holder(state, cmd.holder, cmd.sequence - 1)
    if cmd.sequence == holder.sequence:
        return wire.Settled(
            sequence=cmd.sequence, duplicates=holder.duplicates
        )
    if cmd.sequence != holder.sequence + 1:
        return wire.Refused(
            findings=[
                f"batch {cmd.sequence} of {cmd.holder!r} is out of order;"
                f" allowed: {holder.sequence + 1}"
            ]
        )
    duplicates = []
    for number, bill in enumerate(cmd.bills, cmd.first):
        if number in holder.recovered:
            holder.recovered.remove(number)
        elif _is_duplicate(state, bill):
            duplicates.append(bill.attempt)
        else:
            _charge(state, bill, cmd.holder, grants)
    holder.sequence = cmd.sequence
    holder.billed = cmd.first + len(cmd.bills) - 1
    holder.duplicates = duplicates
    holder.at = state.now
    return wire.Settled(sequence=cmd.sequence, duplicates=duplicates)


def recover(
    state: _state.ControlState, cmd: wire.RecoverHolder, grants: dict[str, str]
) -> int:
    """Bills and shrinks for a holder that is gone; returns tokens freed.

    What it may have spent and not billed stays outstanding.
    """
    holder = _holder(state, cmd.holder, 0)
    for copy in cmd.copies:
        if copy.number <= holder.billed or copy.number in holder.recovered:
            continue
        holder.recovered.append(copy.number)
        if not _is_duplicate(state, copy.bill):
            _charge(state, copy.bill, cmd.holder, grants)
    freed = 0
    for name, budget in grants.items():
        held = state.budgets[budget]
        grant = held.grants[name]
        if not _is_witnessed(grant, cmd):
            continue
        before = grant.amount
        _shrink(held, grant, cmd.limits.get(name, 0))
        freed += before - grant.amount
        if grant.recovered_at is None:
            grant.recovered_at = state.now
    holder.at = state.now
    return freed


def note_holding(
    state: _state.ControlState, cmd: wire.Holding, grants: dict[str, str]
) -> None:
    """Notes how far a holder may spend; late copies change nothing."""
    holder = _holder(state, cmd.holder, 0)
    for name, limit in cmd.limits.items():
        budget = grants.get(name)
        if budget is None:
            continue
        grant = state.budgets[budget].grants[name]
        if grant.holder == cmd.holder and grant.limit is not None:
            grant.limit = max(grant.limit, limit)
    if holder.heard_at is None or cmd.sent_at > holder.heard_at:
        holder.heard_at = cmd.sent_at
    holder.at = state.now


def succeed(
    state: _state.ControlState, cmd: wire.SucceedHolder, grants: dict[str, str]
) -> wire.Succession:
    """Frees what holders that are gone can't have spent.

    What they may have spent and not billed counts as spent.
    """
    freed = lost = 0
    longest: float | None = None
    for name, budget in list(grants.items()):
        held = state.budgets[budget]
        grant = held.grants[name]
        place = grant.holder.rpartition("/")[0]
        if place != cmd.place or grant.holder == cmd.holder:
            continue
        silent = _silence(state, grant, cmd)
        if silent is not None:
            longest = max(silent, longest or 0.0)
        if silent is not None and silent <= SUCCESSION_SECONDS:
            before = grant.amount
            _shrink(held, grant, min(grant.amount, grant.limit or 0))
            freed += before - grant.amount
        spent = grant.amount - grant.settled
        held.outstanding -= spent
        held.settled += spent
        held.lost += spent
        lost += spent
        del held.grants[name]
        del grants[name]
    return wire.Succession(freed=freed, lost=lost, silent=longest)


def _silence(state, grant, cmd: wire.SucceedHolder) -> float | None:
    """Returns the seconds from a dead holder's last word to its successor.

    None if it never gave any, or if the machine's time of day has been set
    back by more than the silence.  The time since boot would not jump, but
    means nothing once the machine has lost power.
    """
    holder = state.holders.get(grant.holder)
    if grant.limit is None or holder is None:
        return None
    if holder.heard_at is None or holder.heard_at > cmd.started_at:
        return None
    return cmd.started_at - holder.heard_at


def _is_witnessed(grant: _state.GrantState, cmd: wire.RecoverHolder) -> bool:
    """Whether the sender may speak for a grant."""
    same = (grant.holder, grant.term) == (cmd.holder, cmd.term)
    return same and cmd.witness in grant.witnesses


def write_off(
    state: _state.ControlState, grants: dict[str, str]
) -> list[WrittenOff]:
    """Counts as spent what holders that are gone have not billed."""
    horizon = state.now - WRITE_OFF_SECONDS
    found = []
    for name, budget in list(grants.items()):
        held = state.budgets[budget]
        grant = held.grants[name]
        if grant.recovered_at is None or grant.recovered_at > horizon:
            continue
        tokens = grant.amount - grant.settled
        held.outstanding -= tokens
        held.settled += tokens
        held.lost += tokens
        del held.grants[name]
        found.append(WrittenOff(grant=name, budget=budget, tokens=tokens))
    return found


def _is_duplicate(state: _state.ControlState, bill: wire.Bill) -> bool:
    """Whether the request was billed; if not, notes that it is now."""
    if not bill.keyed:
        return False
    records = state.billed.setdefault(bill.team, {})
    record = records.get(bill.id)
    if record is not None:
        return record.attempt != bill.attempt
    records[bill.id] = _state.BillRecord(attempt=bill.attempt, at=state.now)
    return False


def _charge(state, bill: wire.Bill, holder: str, grants) -> None:
    for part in bill.parts:
        budget = grants.get(part.grant)
        if budget is None:
            continue
        held = state.budgets[budget]
        grant = held.grants[part.grant]
        if grant.holder != holder:
            continue
        tokens = min(part.tokens, grant.amount - grant.settled)
        grant.settled += tokens
        held.settled += tokens
        held.outstanding -= tokens
    state.recent_bills.append(bill)
    if len(state.recent_bills) > 2 * MAX_RECENT_BILLS:
        del state.recent_bills[:MAX_RECENT_BILLS]


def expire(state: _state.ControlState) -> None:
    """Forgets billed keys and silent holders after their retention."""
    horizon = state.now - BILL_RETENTION_SECONDS
    for team, records in list(state.billed.items()):
        _drop_before(records, horizon)
        if not records:
            del state.billed[team]
    live = {
        grant.holder
        for held in state.budgets.values()
        for grant in held.grants.values()
    }
    horizon = state.now - HOLDER_RETENTION_SECONDS
    for name, holder in list(state.holders.items()):
        if holder.at < horizon and name not in live:
            del state.holders[name]


def _drop_before(records: dict, horizon: float) -> None:
    """Drops old records; they stand in order of their time."""
    while records:
        first = next(iter(records))
        if records[first].at >= horizon:
            return
        del records[first]


def totals(state: _state.ControlState) -> dict[str, int]:
    """Returns the sums over all budgets, in tokens, by their names."""
    budgets = state.budgets.values()
    return {
        "prepaid": sum(held.prepaid for held in budgets),
        "settled": sum(held.settled for held in budgets),
        "outstanding": sum(held.outstanding for held in budgets),
        "lost": sum(held.lost for held in budgets),
    }


def balance(held: _state.BudgetState) -> wire.Balance:
    """Returns what a budget stands at."""
    return wire.Balance(
        budget=held.name,
        team=held.team,
        prepaid=held.prepaid,
        settled=held.settled,
        outstanding=held.outstanding,
        unwitnessed=sum(
            grant.amount - grant.settled
            for grant in held.grants.values()
            if not grant.witnesses
        ),
        pending_cut=held.pending_cut,
        grants=len(held.grants),
    )
