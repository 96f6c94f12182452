"""Budgets, grants and bills within the replicated state.

A grant moves tokens from free to outstanding, a bill from outstanding to
settled, a closed grant from outstanding back to free.  No other path exists,
so ``settled + outstanding <= prepaid`` holds whatever is lost or repeated.
"""

from galenashed.control import _state
from galenashed.protocol import control as wire

# One grant takes at most this part of what is free, so that the last tokens
# of a budget are spread over many small grants.
GRANT_SHARE_DIVISOR = 4
BILL_RETENTION_SECONDS = 24 * 3600.0
HOLDER_RETENTION_SECONDS = 7 * 24 * 3600.0
MAX_RECENT_BILLS = 10_000


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
        if item.tokens >= 0:
            covered = min(held.pending_cut, item.tokens)
            held.pending_cut -= covered
            held.prepaid += item.tokens - covered
        else:
            held.pending_cut -= item.tokens
            _apply_cut(held)


def _apply_cut(held: _state.BudgetState) -> None:
    """Takes as much of a pending cut as is free."""
    taken = min(held.pending_cut, held.free)
    held.pending_cut -= taken
    held.prepaid -= taken


def open_grant(state: _state.ControlState, cmd: wire.OpenGrant) -> wire.Reply:
    """Grants tokens; the same grant asked for again is the same grant."""
    held = state.budgets.get(cmd.budget)
    if held is None or cmd.budget not in state.release.budgets:
        return wire.Refused(findings=[f"no budget {cmd.budget!r}"])
    if cmd.need < 1:
        return wire.Refused(findings=[f"need must be over 0: {cmd.need}"])
    existing = held.grants.get(cmd.grant)
    if existing is not None:
        return wire.Granted(grant=cmd.grant, amount=existing.amount)
    holder = _holder(state, cmd.holder, cmd.sequence)
    if cmd.number <= holder.opened:
        # A late copy of a command whose grant has been closed since.
        return wire.Closed(grant=cmd.grant)
    if cmd.need > held.free:
        return wire.Short(
            available=held.free,
            elsewhere=_granted_elsewhere(held, cmd.holder),
        )
    share = max(cmd.need, held.free // GRANT_SHARE_DIVISOR)
    amount = min(max(cmd.want, cmd.need), share)
    held.grants[cmd.grant] = _state.GrantState(
        holder=cmd.holder, amount=amount
    )
    held.outstanding += amount
    holder.opened = cmd.number
    holder.at = state.now
    return wire.Granted(grant=cmd.grant, amount=amount)


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
    for bill in cmd.bills:
        if _is_duplicate(state, bill):
            duplicates.append(bill.attempt)
        else:
            _charge(state, bill, cmd.holder, grants)
    holder.sequence = cmd.sequence
    holder.duplicates = duplicates
    holder.at = state.now
    return wire.Settled(sequence=cmd.sequence, duplicates=duplicates)


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


def balance(held: _state.BudgetState) -> wire.Balance:
    """Returns what a budget stands at."""
    return wire.Balance(
        budget=held.name,
        team=held.team,
        prepaid=held.prepaid,
        settled=held.settled,
        outstanding=held.outstanding,
        pending_cut=held.pending_cut,
        grants=len(held.grants),
    )
