"""Asyncio manager of an entry's escrow and its traffic with control."""

import asyncio
import math
import time
import typing

import loguru

from galenashed.budget import _account
from galenashed.budget import _announcer
from galenashed.budget import _bounds_writer
from galenashed.budget import _durability
from galenashed.budget import _measured_control
from galenashed.budget import _placement
from galenashed.budget import _policy
from galenashed.budget import _ports
from galenashed.budget import _round_trips
from galenashed.budget import _waiters
from galenashed.protocol import control as wire
from galenashed.protocol import witness as witness_wire
from galenashed import telemetry

LOG = loguru.logger

TICK_SECONDS = 0.05
# Delay before other entries are asked for a loan: several times the usual
# time that control takes to answer a grant request.
BORROW_AFTER_SECONDS = 0.04
OPEN_TIMEOUT_SECONDS = 2.0
HOLDING_TIMEOUT_SECONDS = 1.0
SETTLE_TIMEOUT_SECONDS = 5.0
SHORT_RETRY_SECONDS = 0.1
# How long a loan waits until the disk allows it; half of the time that the
# borrower waits.
LEND_WAIT_SECONDS = 0.05


def _boot_time() -> float:
    """Returns the seconds of a clock that counts suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class BudgetManager:
    """Reserves and bills tokens for the requests of one entry.

    Parameters
    ----------
    escrow : Escrow
        Escrow of the entry; only the budget manager modifies it.
    control : Proposer
        Client that commits grants and bills.
    witnesses : Witnesses
        Client of the entries that act as witnesses.
    unavailable : type of Exception
        Exception that ``control.propose`` raises when it gets no answer.
    control_reachable : callable
        Returns whether control can be reached.
    loan_client : LoanClient
        Borrows from other entries when control does not answer in time.
    guards : Guards
        Entries that record when announced limits are exceeded.
    bounds_store : BoundsStore or None
        Disk that bounds what may be spent; None for an entry without one.
    log : DecisionLog or None
        Receives a line for each grant that control is slow to open.
    """

    def __init__(
        self,
        *,
        escrow,
        control: _ports.Proposer,
        witnesses: _ports.Witnesses,
        unavailable,
        control_reachable: typing.Callable[[], bool] = lambda: True,
        loan_client: _ports.LoanClient | None = None,
        guards: _ports.Guards | None = None,
        bounds_store: _ports.BoundsStore | None = None,
        log: telemetry.DecisionLog | telemetry.NullDecisionLog | None = None,
    ):
        self.loan_client = loan_client or _ports.NullLoanClient()
        self.guards = guards or _ports.NullGuards()
        # The guards of the grants of this term.
        self._term_guards: list[str] = []
        self._is_lifting = False
        self._borrowing: set[str] = set()
        self.control_reachable = control_reachable
        self.announcer = _announcer.Announcer()
        self.escrow = escrow
        self.round_trips = _round_trips.RoundTrips()
        self.control = _measured_control.MeasuredControl(
            control=control,
            round_trips=self.round_trips,
            log=log or telemetry.NullDecisionLog(),
        )
        self.witnesses = witnesses
        self.unavailable = unavailable
        self._waiters = _waiters.WaitQueue(escrow=escrow)
        self._tasks: set[asyncio.Task] = set()
        self._ticker: asyncio.Task | None = None
        self._settled = asyncio.Event()
        self._bill_added = asyncio.Event()
        self._durability = _durability.DurabilityTracker()
        self._bounds_writer: _bounds_writer.BoundsWriter | None = None
        if bounds_store is not None:
            self._bounds_writer = _bounds_writer.BoundsWriter(
                escrow=escrow,
                store=bounds_store,
                waiting=self._waiters.sum_needs,
                on_stored=self._serve_all_waiters,
                on_slow=self._on_slow_disk,
                on_stalled=self._on_stalled_disk,
            )

    async def start(self) -> None:
        """Starts the tasks that settle bills, and keep bounds on the disk."""
        if self._bounds_writer is not None:
            await self._bounds_writer.start()
        self._ticker = telemetry.start_task(
            self._tick_forever(), "budget manager"
        )

    async def close(self) -> None:
        """Settles outstanding bills and returns every grant."""
        while not self.escrow.is_empty:
            # Repeated because a requested grant may arrive meanwhile.
            self.escrow.recall_all()
            self._tick()
            await asyncio.sleep(TICK_SECONDS)
        await self.abort()

    async def abort(self) -> None:
        """Stops at once and leaves open grants for control to recover."""
        tasks = list(self._tasks)
        if self._ticker is not None:
            tasks.append(self._ticker)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._bounds_writer is not None:
            await self._bounds_writer.close()

    async def reserve(
        self,
        budget: str,
        tokens: int,
        *,
        priority: int = 0,
        time_limit: float = math.inf,
    ) -> _account.Reservation:
        """Reserves tokens for a request.

        Among waiting requests a lower ``priority`` goes first, then an earlier
        ``time_limit``, a monotonic time.
        Raises BudgetExhaustedError if the budget does not cover the request,
        or the control client's error if the tokens held do not suffice and
        control does not answer, or if too many bills wait for it.
        """
        if self.escrow.bills.is_full:
            raise self.unavailable(
                f"{self.escrow.bills.waiting} bills wait for control"
            )
        now = time.monotonic()
        reservation = self.escrow.reserve(budget, tokens, now)
        if reservation is not None:
            if self.escrow.needs_grant(budget, now):
                self._open_grant(budget, 1, 1)
            if self.escrow.needs_higher_limits(budget, now):
                self._raise_limits(budget, 0)
            if self.escrow.needs_higher_bounds(budget, now):
                self._request_bounds(budget)
            return reservation
        waiter = self._waiters.add(
            budget,
            tokens,
            deadline=now + self.escrow.policy.recall_wait,
            priority=priority,
            time_limit=time_limit,
        )
        self._request_tokens(budget)
        is_answer_due = self.control_reachable()
        if is_answer_due or self._waits_for_disk(waiter):
            delay = BORROW_AFTER_SECONDS
        else:
            delay = 0.0
        timer = asyncio.get_running_loop().call_later(
            delay, self._borrow, waiter
        )
        try:
            return await waiter.fut
        except asyncio.CancelledError:
            self._waiters.discard(waiter, time.monotonic())
            raise
        finally:
            timer.cancel()

    async def lend(self, budget: str, tokens: int, borrower: str) -> int:
        """Lends tokens to another entry and returns how many."""
        now = time.monotonic()
        if budget in self._waiters.budgets or self.escrow.bills.is_full:
            return 0
        lendable = self.escrow.lendable(budget, tokens, now)
        if self._bounds_writer is not None and (
            self.escrow.free(budget) < lendable
        ):
            self._bounds_writer.request(budget, lendable)
            await self._bounds_writer.wait(LEND_WAIT_SECONDS)
        lent = self.escrow.lend(budget, tokens, borrower, now)
        if lent:
            self._bill_added.set()
            if self.escrow.needs_higher_limits(budget, now):
                self._raise_limits(budget, 0)
        return lent

    def _borrow(self, waiter: _waiters.Waiter) -> None:
        """Asks other entries for the tokens that a waiting request lacks."""
        if waiter.fut.done() or waiter.budget in self._borrowing:
            return
        self._borrowing.add(waiter.budget)
        self._spawn(self._request_loan(waiter))

    async def _request_loan(self, waiter: _waiters.Waiter) -> None:
        need = max(1, waiter.tokens - self.escrow.free(waiter.budget))
        try:
            lent = await self.loan_client.borrow(waiter.budget, need)
        finally:
            self._borrowing.discard(waiter.budget)
        if lent:
            self.add_loan(waiter.budget, lent)
        elif not self.control_reachable() and not self._waits_for_disk(waiter):
            # Neither control nor any reachable entry can provide tokens.
            held = self.escrow.unspent(waiter.budget)
            free = self.escrow.free(waiter.budget)
            self._waiters.fail(
                waiter.budget,
                self.unavailable(
                    f"control is out of reach; of {held} tokens held,"
                    f" {free} are announced, {waiter.tokens} are needed"
                ),
                time.monotonic(),
            )
        for other in self._waiters:
            if lent and other.budget == waiter.budget:
                self._borrow(other)
                return

    def add_loan(self, budget: str, tokens: int) -> None:
        """Adds tokens that another entry has lent."""
        self.escrow.on_borrowed(budget, tokens, time.monotonic())
        self._serve_waiters(budget)

    def set_policy(self, policy: _policy.Policy) -> None:
        """Sets the policy; it must announce limits like the one before."""
        self.escrow.set_policy(policy)

    def prefetch(self, budget: str, tokens: int) -> None:
        """Requests a grant before any request needs the tokens."""
        missing = tokens - self.escrow.unspent(budget)
        if missing > 0:
            self._open_grant(budget, 1, missing, exact=True)

    def set_max_spare(self, budget: str, tokens: int) -> None:
        """Limits the tokens of a budget that are requested beyond demand."""
        self.escrow.set_max_spare(budget, tokens, time.monotonic())

    def release(self, reservation: _account.Reservation) -> None:
        """Releases a reservation unused."""
        self.escrow.release(reservation, time.monotonic())
        self._serve_waiters(reservation.budget)

    def bill(
        self, reservation: _account.Reservation, bill: wire.Bill
    ) -> wire.Bill:
        """Bills a request and returns the bill that will be settled."""
        final = self.escrow.bill(reservation, bill, time.monotonic())
        number = self.escrow.bills.latest
        copies = self.escrow.make_bill_copies(
            number, final, self.witnesses.choose
        )
        if copies:
            self._durability.expect(number)
            self.witnesses.send(copies)
        self._bill_added.set()
        self._serve_waiters(reservation.budget)
        return final

    async def wait_until_durable(self) -> None:
        """Waits until the latest bill would survive a crash of this process.

        A bill is durable once a witness or control has it.  The wait has a
        short timeout because the answer to the caller is held back
        meanwhile.  Returns at once if the bill has no witness.
        """
        await self._durability.wait(self.escrow.bills.latest)

    def recall(self, budget: str) -> None:
        """Returns tokens because another entry needs them."""
        if budget in self._waiters.budgets:
            return
        kept = _placement.kept_when_recalled(
            self.escrow.accounts.get(budget), time.monotonic()
        )
        for command in self.escrow.recall(budget, kept):
            self._spawn(self._send_shrink(command))
        self._close_grants()

    async def flush(self) -> None:
        """Waits until all bills have been acknowledged."""
        while self.escrow.bills.is_waiting:
            self._settled.clear()
            await self._settled.wait()

    # Witnesses

    def _raise_limits(
        self, budget: str, missing: int, *, waiting: int = 0
    ) -> None:
        notes = self.escrow.raise_limits(
            budget, missing, time.monotonic(), waiting=waiting
        )
        entry_notes = [n for n in notes if n.witness != _announcer.CONTROL]
        if entry_notes:
            self.witnesses.send(entry_notes)
        if len(entry_notes) < len(notes):
            self.announcer.expedite()
            self._announce()

    # Bounds on the disk

    def _request_bounds(self, budget: str) -> None:
        """Has the disk allow what is needed next, if it bounds spending."""
        if self._bounds_writer is not None:
            self._bounds_writer.request(budget)

    def _waits_for_disk(self, waiter: _waiters.Waiter) -> bool:
        """Whether only the disk does not allow a request's tokens yet."""
        return self.escrow.announced(waiter.budget) >= waiter.tokens

    def _on_slow_disk(self) -> None:
        """Requests tokens that the disk does not bound."""
        for budget in self._waiters.budgets:
            self._request_tokens(budget)

    def _on_stalled_disk(self) -> None:
        """Replaces grants that the disk bounds, while control can.

        Without control, requests have to wait for the disk.
        """
        if self.control_reachable():
            self._on_grants_retired(self.escrow.retire_bounded())

    # Limits announced to control

    def _announce(self) -> None:
        """Announces the limits to control if an announcement is due."""
        now = time.monotonic()
        control_reachable = self.control_reachable()
        if self.announcer.may_lift_limits(
            now=now, control_reachable=control_reachable
        ):
            self.announcer.limits_lifted = True
            self.escrow.lift_limits(guarded=False)
            LOG.warning("control is unreachable: spending limits are lifted")
        if self.announcer.limits_lifted and not control_reachable:
            self._lift_guarded()
        if not self.escrow.limits():
            return
        if not self.announcer.is_due(
            now=now, control_reachable=control_reachable
        ):
            return
        if self.announcer.limits_lifted:
            self.escrow.lower_limits(now)
        self.escrow.raise_all_limits(now)
        command = wire.Holding(
            holder=self.escrow.holder,
            sent_at=time.time(),
            limits=self.escrow.limits(),
        )
        self.announcer.on_sent(now=now)
        self._spawn(self._send_holding(command))

    def _lift_guarded(self) -> None:
        """Lifts the limits of grants whose guards have recorded it."""
        if not self._is_lifting and self.escrow.has_guarded_limits:
            self._is_lifting = True
            self._spawn(self._ask_guards())

    async def _ask_guards(self) -> None:
        term = self.escrow.term
        try:
            recorded = await self.guards.lift(self._term_guards, term)
        finally:
            self._is_lifting = False
        if (
            recorded
            and self.announcer.limits_lifted
            and term == self.escrow.term
        ):
            self.escrow.lift_limits()
            self._serve_all_waiters()

    def _on_contact(self, sent: float) -> None:
        """Closes the term if contact with control had been lost for long.

        Control may then have freed what was not announced, and must not be
        taken at its word if it acknowledges higher limits.
        """
        if not self.announcer.on_contact(sent=sent, now=_boot_time()):
            return
        if self.escrow.is_guarded and not self._is_lifted:
            self._close_term()

    def _renew_guards(self) -> None:
        """Replaces grants whose guards are gone by others."""
        if (
            self.guards.names != self._term_guards
            and self.control_reachable()
            and not self.announcer.limits_lifted
            and not self._is_lifted
        ):
            self._close_term()

    @property
    def _is_lifted(self) -> bool:
        """Whether guards have recorded that this term may exceed limits."""
        return self.guards.is_lifted(self.escrow.term)

    def _close_term(self) -> None:
        """Returns all grants, and requests others with the present guards."""
        unspent = {
            budget: account.unspent
            for budget, account in self.escrow.accounts.items()
        }
        self._term_guards = list(self.guards.names)
        self._on_grants_retired(self.escrow.on_term_closed(self.escrow.term))
        for budget, tokens in unspent.items():
            if tokens:
                self._open_grant(budget, 1, tokens, exact=True)

    async def _send_holding(self, command: wire.Holding) -> None:
        sent = _boot_time()
        try:
            reply = await self.control.propose(
                command, timeout=HOLDING_TIMEOUT_SECONDS
            )
        except self.unavailable:
            self.announcer.on_result(now=time.monotonic(), acknowledged=False)
            return
        self.announcer.on_result(now=time.monotonic(), acknowledged=True)
        self._on_contact(sent)
        if not self.announcer.limits_lifted:
            self.guards.lower()
        scarce = reply.scarce if isinstance(reply, wire.Done) else []
        self.escrow.on_limits_announced(command.limits, scarce)
        for budget in self._waiters.budgets:
            self._serve_waiters(budget)
            self._request_tokens_if_waiting(budget)
        self._announce()

    def on_witness_acknowledged(
        self, witness: str, notes: list[witness_wire.WitnessRecord]
    ) -> None:
        """Applies the notes that a witness has acknowledged."""
        for note in notes:
            if isinstance(note, witness_wire.Hold):
                self.escrow.on_limit_acknowledged(witness, note)
            elif isinstance(note, wire.BillCopy):
                self._durability.mark_durable(note.number)
        for budget in self._waiters.budgets:
            self._serve_waiters(budget)
            self._request_tokens_if_waiting(budget)

    def on_witness_lost(self, witness: str) -> None:
        """Retires the grants of a witness that is no longer reachable."""
        self._on_grants_retired(self.escrow.on_witness_lost(witness))

    def on_term_closed(self, term: int) -> None:
        """Retires the grants of a term that a witness has closed."""
        self._on_grants_retired(self.escrow.on_term_closed(term))

    def _on_grants_retired(self, commands: list[wire.ShrinkGrant]) -> None:
        for command in commands:
            self._spawn(self._send_shrink(command))
        self._close_grants()
        for budget in self._waiters.budgets:
            self._request_tokens_if_waiting(budget)

    # Waiters

    def _request_tokens_if_waiting(self, budget: str) -> None:
        if budget in self._waiters.budgets:
            self._request_tokens(budget)

    def _request_tokens(self, budget: str) -> None:
        """Requests the tokens that the waiting requests of a budget lack.

        The first waiting request sets the minimum of a new grant.  Limits at
        witnesses are raised first because witnesses answer sooner than
        control.
        """
        wanted = self._waiters.list_needs(budget)
        self._raise_limits(
            budget,
            sum(wanted) - self.escrow.announced(budget),
            waiting=sum(wanted),
        )
        self._request_bounds(budget)
        held = self.escrow.unspent(budget)
        if self._bounds_writer is not None and self._bounds_writer.is_slow:
            held = self.escrow.free(budget)
        if held < wanted[0]:
            need = max(1, wanted[0] - held)
            self._open_grant(
                budget,
                need,
                max(need, sum(wanted) - held),
                waiting=sum(wanted),
            )

    def _serve_all_waiters(self) -> None:
        for budget in self._waiters.budgets:
            self._serve_waiters(budget)

    def _serve_waiters(self, budget: str) -> None:
        self._waiters.serve(budget, time.monotonic())

    def _open_grant(
        self,
        budget: str,
        need: int,
        missing: int,
        *,
        exact: bool = False,
        waiting: int = 0,
    ) -> None:
        command = self.escrow.open_grant(
            budget,
            need=need,
            missing=missing,
            exact=exact,
            waiting=waiting,
            now=time.monotonic(),
            witnesses=(
                self._term_guards
                if self.escrow.policy.announces_limits
                else self.witnesses.choose()
            ),
        )
        if command is not None:
            self._spawn(self._send_open(command))

    async def _send_open(self, command: wire.OpenGrant) -> None:
        sent = _boot_time()
        try:
            reply = await self._commit_open(command)
        except self.unavailable as exc:
            refused = wire.Refused(findings=[str(exc)])
            self.escrow.on_opened(command, refused, time.monotonic())
            # The grant may still be committed, and only its holder can
            # return it.
            self._spawn(self._resolve_open(command))
            self._waiters.fail(command.budget, exc, time.monotonic())
            return
        self._on_contact(sent)
        self.escrow.on_opened(command, reply, time.monotonic())
        self._request_bounds(command.budget)
        self._serve_waiters(command.budget)
        if isinstance(reply, wire.Refused):
            self._waiters.fail(
                command.budget,
                _waiters.BudgetExhaustedError(
                    needed=command.need, available=0, held_elsewhere=0
                ),
                time.monotonic(),
            )
        elif isinstance(reply, wire.Short):
            await self._on_short(command.budget, reply)
        self._request_tokens_if_waiting(command.budget)

    async def _commit_open(self, command: wire.OpenGrant) -> wire.Reply:
        return await self.control.propose(
            command, timeout=OPEN_TIMEOUT_SECONDS
        )

    async def _resolve_open(self, command: wire.OpenGrant) -> None:
        """Repeats an unanswered grant request until its outcome is known."""
        while True:
            sent = _boot_time()
            try:
                reply = await self._commit_open(command)
            except self.unavailable:
                continue
            self._on_contact(sent)
            if isinstance(reply, wire.Granted):
                self.escrow.on_opened(command, reply, time.monotonic())
                self._request_tokens_if_waiting(command.budget)
            return

    async def _on_short(self, budget: str, reply: wire.Short) -> None:
        """Refuses waiting requests, unless other entries may return tokens."""
        self._waiters.on_short(budget, reply, time.monotonic())
        await asyncio.sleep(SHORT_RETRY_SECONDS)
        self.escrow.clear_shortage(budget)

    # Bills and grants

    @property
    def _max_tick_interval(self) -> float:
        """Seconds between ticks while no bills are added."""
        if self.escrow.policy.announces_limits:
            return _announcer.PERIOD_SECONDS
        return TICK_SECONDS * 10

    async def _tick_forever(self) -> None:
        while True:
            try:
                async with asyncio.timeout(self._max_tick_interval):
                    await self._bill_added.wait()
            except TimeoutError:
                pass
            self._bill_added.clear()
            self._tick()
            # Batches bills that are added within one interval.
            await asyncio.sleep(TICK_SECONDS)

    def _tick(self) -> None:
        batch = self.escrow.settle()
        if batch is not None:
            self._spawn(self._send_bills(batch))
        if self.escrow.needs_witnesses and self.witnesses.choose():
            self._on_grants_retired(self.escrow.on_witnesses_available())
        self._close_grants()
        self._renew_guards()
        self._announce()

    def _close_grants(self) -> None:
        for command in self.escrow.close_grants(time.monotonic()):
            self._spawn(self._send_close(command))

    async def _send_bills(self, batch: wire.SettleBills) -> None:
        while True:
            try:
                reply = await self.control.propose(
                    batch, timeout=SETTLE_TIMEOUT_SECONDS
                )
            except self.unavailable:
                LOG.warning(
                    "control is unavailable, retrying to settle {} bills",
                    len(batch.bills),
                )
                continue
            break
        if isinstance(reply, wire.Settled):
            self.escrow.on_settled(reply)
            for number in range(batch.first, batch.first + len(batch.bills)):
                self._durability.mark_durable(number)
        else:
            LOG.error("control refused a batch of bills: {}", reply)
        self._settled.set()
        self._bill_added.set()

    async def _send_shrink(self, command: wire.ShrinkGrant) -> None:
        while True:
            try:
                await self.control.propose(
                    command, timeout=SETTLE_TIMEOUT_SECONDS
                )
            except self.unavailable:
                continue
            return

    async def _send_close(self, command: wire.CloseGrant) -> None:
        try:
            reply = await self.control.propose(
                command, timeout=SETTLE_TIMEOUT_SECONDS
            )
        except self.unavailable:
            self.escrow.retry_close(command)
            return
        if isinstance(reply, wire.Refused):
            LOG.error(
                "control refused to close grant {}: {}", command.grant, reply
            )
        self.witnesses.send(self.escrow.on_closed(command))

    def _spawn(self, coro) -> None:
        task = telemetry.start_task(coro, "budget command")
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
