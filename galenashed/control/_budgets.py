"""Budgets, grants and bills in the replicated state.

Opening a grant moves tokens from free to outstanding, a bill moves them from
outstanding to settled, and closing or shrinking a grant moves them from
outstanding back to free.  Tokens that a failed holder may have spent move to
settled without a bill.  Top-ups add free tokens and cuts remove free tokens
only.  There are no other transitions.  Therefore
``settled + outstanding <= prepaid`` holds even if messages are lost or
duplicated.
"""

import collections
import typing

import msgspec

from galenashed.control import _state
from galenashed.protocol import control as wire

# A grant gets at most the free tokens divided by this number, unless its
# holder needs more.  The last tokens of a budget are thus spread over many
# small grants.
GRANT_SHARE_DIVISOR = 4
BILL_RETENTION_SECONDS = 24 * 3600.0
HOLDER_RETENTION_SECONDS = 7 * 24 * 3600.0
WRITE_OFF_SECONDS = 3600.0
MAX_RECENT_BILLS = 10_000
# Holders that a reply to a refused grant request names.
MAX_HOLDERS_NAMED = 3
# Ten times the period of announcements.
SILENT_HOLDER_SECONDS = 3.0
# The announced limits of a dead holder are trusted only up to this silence.
# A holder exceeds them only after ``budget.LIFT_LIMITS_AFTER_SECONDS``, which
# is longer; the difference allows for clock jumps.
MAX_TRUSTED_SILENCE_SECONDS = 2.8


class HeldTokens(typing.NamedTuple):
    """Unbilled tokens in the grants of an instance.

    It may spend those ``unannounced`` only after an announcement, or once it
    has been cut off from control for long.  ``silent`` are the seconds since
    its last announcement, by the clock of its machine; None if there is none.
    """

    instance: str
    tokens: int
    unannounced: int
    silent: float | None


class UnannouncedGrant(typing.NamedTuple):
    """A grant of which ``tokens`` are beyond the announced ``limit``."""

    grant: str
    holder: str
    term: int
    guards: list[str]
    limit: int
    tokens: int


class WrittenOff(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens of a grant that were counted as spent without a bill."""

    grant: str
    budget: str
    tokens: int


def top_up(state: _state.ControlState, budget: wire.Budget) -> None:
    """Applies the top-ups and cuts of a note that are not applied yet."""
    budget_state = state.budgets.get(budget.name)
    if budget_state is None:
        budget_state = _state.BudgetState(name=budget.name, team=budget.team)
        state.budgets[budget.name] = budget_state
    for item in budget.top_ups:
        if item.id in budget_state.top_ups:
            continue
        budget_state.top_ups[item.id] = item.tokens
        _adjust(budget_state, item.tokens)


def set_total(state: _state.ControlState, team: str, total: int) -> bool:
    """Sets the prepaid total of a team of the routing table.

    Returns whether the new total is so low that granted tokens must be
    returned before it takes full effect.
    """
    budget_state = state.budgets.get(team)
    if budget_state is None:
        budget_state = _state.BudgetState(name=team, team=team)
        state.budgets[team] = budget_state
    budget_state.routed = True
    _adjust(
        budget_state, total - (budget_state.prepaid - budget_state.pending_cut)
    )
    return budget_state.pending_cut > 0


def _adjust(budget_state: _state.BudgetState, tokens: int) -> None:
    """Changes the prepaid amount by ``tokens``.

    A reduction takes only free tokens; the rest becomes a pending cut.
    """
    if tokens >= 0:
        covered = min(budget_state.pending_cut, tokens)
        budget_state.pending_cut -= covered
        budget_state.prepaid += tokens - covered
    else:
        budget_state.pending_cut -= tokens
        _apply_cut(budget_state)


def _apply_cut(budget_state: _state.BudgetState) -> None:
    """Applies the pending cut as far as tokens are free."""
    taken = min(budget_state.pending_cut, budget_state.free)
    budget_state.pending_cut -= taken
    budget_state.prepaid -= taken


def open_grant(state: _state.ControlState, cmd: wire.OpenGrant) -> wire.Reply:
    """Opens a grant; idempotent by the name of the grant."""
    budget_state = state.budgets.get(cmd.budget)
    if budget_state is None or not _is_in_force(state, budget_state):
        return wire.Refused(findings=[f"no budget {cmd.budget!r}"])
    if cmd.need < 1:
        return wire.Refused(findings=[f"need must be over 0: {cmd.need}"])
    existing = budget_state.grants.get(cmd.grant)
    if existing is not None:
        return wire.Granted(grant=cmd.grant, amount=existing.amount)
    holder = _get_or_create_holder(state, cmd.holder, cmd.sequence)
    if cmd.number <= holder.opened:
        # A delayed duplicate whose grant has been closed or refused since:
        # no caller waits for it.
        return wire.Closed(grant=cmd.grant)
    holder.opened = cmd.number
    holder.at = state.now
    if cmd.need > budget_state.free:
        return _make_short(state, budget_state, cmd.holder)
    share = max(cmd.need, budget_state.free // GRANT_SHARE_DIVISOR)
    amount = min(max(cmd.want, cmd.need), share)
    budget_state.grants[cmd.grant] = _state.GrantState(
        holder=cmd.holder,
        amount=amount,
        term=cmd.term,
        witnesses=cmd.witnesses,
        limit=cmd.limit,
    )
    budget_state.outstanding += amount
    return wire.Granted(grant=cmd.grant, amount=amount)


def _is_in_force(
    state: _state.ControlState, budget_state: _state.BudgetState
) -> bool:
    return budget_state.routed or budget_state.name in state.release.budgets


def _get_or_create_holder(
    state, name: str, sequence: int
) -> _state.HolderState:
    """Returns the holder's record.

    A missing record is created at ``sequence``, so that a holder whose record
    has expired continues its numbering of batches.
    """
    holder = state.holders.get(name)
    if holder is None:
        holder = _state.HolderState(sequence=sequence)
        state.holders[name] = holder
    return holder


def _make_short(
    state: _state.ControlState, budget_state: _state.BudgetState, holder: str
) -> wire.Short:
    """Returns the reply to a holder that needs more than is free."""
    silent = 0
    held: collections.Counter[str] = collections.Counter()
    announced: collections.Counter[str] = collections.Counter()
    for grant in budget_state.grants.values():
        if grant.holder == holder:
            continue
        tokens = grant.amount - grant.settled
        held[grant.holder] += tokens
        limit = grant.amount if grant.limit is None else grant.limit
        announced[grant.holder] += min(tokens, max(0, limit - grant.settled))
        if _is_silent(state, grant):
            silent += tokens
    return wire.Short(
        available=budget_state.free,
        elsewhere=held.total(),
        silent=silent,
        lost=budget_state.lost,
        holders=[
            wire.HeldShare(
                holder=name, tokens=tokens, announced=announced[name]
            )
            for name, tokens in held.most_common(MAX_HOLDERS_NAMED)
        ],
    )


def _is_silent(state: _state.ControlState, grant: _state.GrantState) -> bool:
    """Whether a holder that should announce its limits does not.

    Such a holder doesn't hear either that others need its tokens.
    """
    holder = state.holders.get(grant.holder)
    if holder is None or grant.limit is None:
        return False
    return state.now - holder.at > SILENT_HOLDER_SECONDS


def close_grant(
    state: _state.ControlState, cmd: wire.CloseGrant, budget: str, index: int
) -> wire.Reply:
    """Closes an open grant and frees its unsettled tokens."""
    budget_state = state.budgets[budget]
    grant = budget_state.grants.pop(cmd.grant)
    budget_state.outstanding -= grant.amount - grant.settled
    _apply_cut(budget_state)
    return wire.Done(index=index)


def shrink_grant(
    state: _state.ControlState, cmd: wire.ShrinkGrant, budget: str, index: int
) -> wire.Reply:
    """Frees part of a grant; delayed duplicates have no effect."""
    budget_state = state.budgets[budget]
    _shrink(budget_state, budget_state.grants[cmd.grant], cmd.amount)
    return wire.Done(index=index)


def _shrink(
    budget_state: _state.BudgetState, grant: _state.GrantState, amount: int
) -> None:
    kept = max(amount, grant.settled)
    if kept < grant.amount:
        budget_state.outstanding -= grant.amount - kept
        grant.amount = kept
        _apply_cut(budget_state)


def settle_bills(
    state: _state.ControlState,
    cmd: wire.SettleBills,
    budget_of_grant: dict[str, str],
) -> wire.Reply:
    """Settles a batch of bills.

    ``budget_of_grant`` maps each open grant to the name of its budget.
    """
    holder = _get_or_create_holder(state, cmd.holder, cmd.sequence - 1)
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
        elif _check_duplicate(state, bill):
            duplicates.append(bill.attempt)
        else:
            _charge(state, bill, cmd.holder, budget_of_grant)
    holder.sequence = cmd.sequence
    holder.billed = cmd.first + len(cmd.bills) - 1
    holder.duplicates = duplicates
    holder.at = state.now
    return wire.Settled(sequence=cmd.sequence, duplicates=duplicates)


def recover_holder(
    state: _state.ControlState,
    cmd: wire.RecoverHolder,
    budget_of_grant: dict[str, str],
) -> int:
    """Settles bills and shrinks grants of a holder that a witness reports.

    Tokens that it may have spent without billing them stay outstanding.
    Returns the number of tokens freed.
    """
    holder = _get_or_create_holder(state, cmd.holder, 0)
    for copy in cmd.copies:
        if copy.number <= holder.billed or copy.number in holder.recovered:
            continue
        holder.recovered.append(copy.number)
        if not _check_duplicate(state, copy.bill):
            _charge(state, copy.bill, cmd.holder, budget_of_grant)
    freed = 0
    for name, budget in budget_of_grant.items():
        budget_state = state.budgets[budget]
        grant = budget_state.grants[name]
        if not _is_reported_by_witness(grant, cmd):
            continue
        previous_amount = grant.amount
        _shrink(budget_state, grant, cmd.limits.get(name, 0))
        freed += previous_amount - grant.amount
        if grant.recovered_at is None:
            grant.recovered_at = state.now
    holder.at = state.now
    return freed


def record_holding(
    state: _state.ControlState,
    cmd: wire.Holding,
    budget_of_grant: dict[str, str],
) -> list[str]:
    """Records the announced spending limits of a holder.

    Delayed duplicates have no effect, because values only increase.  Returns
    the names of their budgets.
    """
    holder = _get_or_create_holder(state, cmd.holder, 0)
    budgets = set()
    for name, limit in cmd.limits.items():
        budget = budget_of_grant.get(name)
        if budget is None:
            continue
        budgets.add(budget)
        grant = state.budgets[budget].grants[name]
        if grant.holder == cmd.holder and grant.limit is not None:
            grant.limit = max(grant.limit, limit)
    if holder.heard_at is None or cmd.sent_at > holder.heard_at:
        holder.heard_at = cmd.sent_at
    holder.at = state.now
    return sorted(budgets)


def succeed_holder(
    state: _state.ControlState,
    cmd: wire.SucceedHolder,
    budget_of_grant: dict[str, str],
) -> wire.Succession:
    """Frees the tokens that dead holders can't have spent.

    Tokens that they may have spent without billing them count as spent.
    """
    freed = lost = unannounced = 0
    longest_silence: float | None = None
    for name, budget in list(budget_of_grant.items()):
        budget_state = state.budgets[budget]
        grant = budget_state.grants[name]
        place = grant.holder.rpartition("/")[0]
        if place != cmd.place or grant.holder == cmd.holder:
            continue
        silent_seconds = _silent_seconds(state, grant, cmd)
        if silent_seconds is not None:
            longest_silence = max(silent_seconds, longest_silence or 0.0)
        if (
            silent_seconds is not None
            and silent_seconds <= MAX_TRUSTED_SILENCE_SECONDS
        ):
            previous_amount = grant.amount
            _shrink(budget_state, grant, min(grant.amount, grant.limit or 0))
            freed += previous_amount - grant.amount
        unbilled = grant.amount - grant.settled
        if grant.limit is not None:
            unannounced += min(unbilled, max(0, grant.amount - grant.limit))
        budget_state.outstanding -= unbilled
        budget_state.settled += unbilled
        budget_state.lost += unbilled
        lost += unbilled
        del budget_state.grants[name]
        del budget_of_grant[name]
    return wire.Succession(
        freed=freed,
        lost=lost,
        silent=longest_silence,
        unannounced=unannounced,
    )


def _silent_seconds(state, grant, cmd: wire.SucceedHolder) -> float | None:
    """Returns the seconds between a holder's last announcement and succession.

    The end is the start of its successor.  Returns None if the holder
    announced no limits, or if the wall clock of the machine was set back by
    more than the silence.  A monotonic clock would not jump, but it restarts
    when the machine loses power.
    """
    holder = state.holders.get(grant.holder)
    if grant.limit is None or holder is None:
        return None
    if holder.heard_at is None or holder.heard_at > cmd.started_at:
        return None
    return cmd.started_at - holder.heard_at


def _is_reported_by_witness(
    grant: _state.GrantState, cmd: wire.RecoverHolder
) -> bool:
    """Returns whether the sender is a witness of a grant in its term."""
    same = (grant.holder, grant.term) == (cmd.holder, cmd.term)
    return same and cmd.witness in grant.witnesses


def write_off(
    state: _state.ControlState, budget_of_grant: dict[str, str]
) -> list[WrittenOff]:
    """Counts the unbilled tokens of grants recovered long ago as spent."""
    cutoff = state.now - WRITE_OFF_SECONDS
    written_off = []
    for name, budget in list(budget_of_grant.items()):
        budget_state = state.budgets[budget]
        grant = budget_state.grants[name]
        if grant.recovered_at is None or grant.recovered_at > cutoff:
            continue
        tokens = grant.amount - grant.settled
        budget_state.outstanding -= tokens
        budget_state.settled += tokens
        budget_state.lost += tokens
        del budget_state.grants[name]
        written_off.append(
            WrittenOff(grant=name, budget=budget, tokens=tokens)
        )
    return written_off


def _check_duplicate(state: _state.ControlState, bill: wire.Bill) -> bool:
    """Returns whether another attempt of the request was already billed.

    Records the attempt if the request was not billed before.
    """
    if not bill.keyed:
        return False
    records = state.billed.setdefault(bill.team, {})
    record = records.get(bill.id)
    if record is not None:
        return record.attempt != bill.attempt
    records[bill.id] = _state.BillRecord(attempt=bill.attempt, at=state.now)
    return False


def _charge(state, bill: wire.Bill, holder: str, budget_of_grant) -> None:
    for part in bill.parts:
        budget = budget_of_grant.get(part.grant)
        if budget is None:
            continue
        budget_state = state.budgets[budget]
        grant = budget_state.grants[part.grant]
        if grant.holder != holder:
            continue
        tokens = min(part.tokens, grant.amount - grant.settled)
        grant.settled += tokens
        budget_state.settled += tokens
        budget_state.outstanding -= tokens
    state.recent_bills.append(wire.shorten_bill(bill))
    if len(state.recent_bills) > 2 * MAX_RECENT_BILLS:
        del state.recent_bills[:MAX_RECENT_BILLS]


def shorten_recent_bills(state: _state.ControlState) -> None:
    """Bounds the texts of bills in a snapshot of an earlier build.

    These texts are read by queries only, so that replicas of such a build
    still reach the same decisions.
    """
    state.recent_bills = [
        wire.shorten_bill(bill) for bill in state.recent_bills
    ]


def expire(state: _state.ControlState) -> None:
    """Deletes expired bill records and inactive holders without grants."""
    cutoff = state.now - BILL_RETENTION_SECONDS
    for team, records in list(state.billed.items()):
        _delete_records_before(records, cutoff)
        if not records:
            del state.billed[team]
    active_holders = {
        grant.holder
        for budget_state in state.budgets.values()
        for grant in budget_state.grants.values()
    }
    cutoff = state.now - HOLDER_RETENTION_SECONDS
    for name, holder in list(state.holders.items()):
        if holder.at < cutoff and name not in active_holders:
            del state.holders[name]


def _delete_records_before(records: dict, cutoff: float) -> None:
    """Deletes records older than ``cutoff``; they are ordered by time."""
    while records:
        first = next(iter(records))
        if records[first].at >= cutoff:
            return
        del records[first]


def compute_totals(state: _state.ControlState) -> dict[str, int]:
    """Returns the sums over all budgets, in tokens, by field name."""
    budgets = state.budgets.values()
    return {
        "prepaid": sum(budget_state.prepaid for budget_state in budgets),
        "settled": sum(budget_state.settled for budget_state in budgets),
        "outstanding": sum(
            budget_state.outstanding for budget_state in budgets
        ),
        "lost": sum(budget_state.lost for budget_state in budgets),
    }


def list_largest_holders(
    state: _state.ControlState, count: int
) -> list[HeldTokens]:
    """Returns the instances that hold the most unbilled tokens."""
    tokens: collections.Counter[str] = collections.Counter()
    unannounced: collections.Counter[str] = collections.Counter()
    for budget_state in state.budgets.values():
        for grant in budget_state.grants.values():
            instance = grant.holder.rpartition("/")[0]
            tokens[instance] += grant.amount - grant.settled
            if grant.limit is not None:
                unannounced[instance] += max(0, grant.amount - grant.limit)
    heard: dict[str, float] = {}
    for name, holder in state.holders.items():
        instance = name.rpartition("/")[0]
        if holder.heard_at is not None:
            heard[instance] = max(heard.get(instance, 0.0), holder.heard_at)
    return [
        HeldTokens(
            instance,
            held,
            unannounced[instance],
            round(state.now - heard[instance], 1)
            if instance in heard
            else None,
        )
        for instance, held in tokens.most_common(count)
    ]


def list_unannounced(state: _state.ControlState) -> list[UnannouncedGrant]:
    """Returns the grants with tokens beyond their announced limits."""
    return [
        UnannouncedGrant(
            name,
            grant.holder,
            grant.term,
            grant.witnesses,
            grant.limit,
            grant.amount - max(grant.limit, grant.settled),
        )
        for budget_state in state.budgets.values()
        for name, grant in budget_state.grants.items()
        if grant.limit is not None
        and grant.amount > max(grant.limit, grant.settled)
    ]


def make_balance(budget_state: _state.BudgetState) -> wire.Balance:
    """Returns the balance of a budget."""
    return wire.Balance(
        budget=budget_state.name,
        team=budget_state.team,
        prepaid=budget_state.prepaid,
        settled=budget_state.settled,
        outstanding=budget_state.outstanding,
        unwitnessed=sum(
            grant.amount - grant.settled
            for grant in budget_state.grants.values()
            if not grant.witnesses
        ),
        pending_cut=budget_state.pending_cut,
        grants=len(budget_state.grants),
    )
