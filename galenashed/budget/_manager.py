"""The asyncio task that owns an entry's escrow and talks to control."""

import asyncio
import time
import typing

import loguru

from galenashed.budget import _account
from galenashed.budget import _announcer
from galenashed.budget import _durability
from galenashed.budget import _ports
from galenashed.protocol import control as wire
from galenashed.protocol import witness as witness_wire
from galenashed import telemetry

LOG = loguru.logger

TICK_SECONDS = 0.05
# What a grant from control takes, several times over; then others are asked.
BORROW_AFTER_SECONDS = 0.04
OPEN_TIMEOUT_SECONDS = 2.0
HOLDING_TIMEOUT_SECONDS = 1.0
SETTLE_TIMEOUT_SECONDS = 5.0
SHORT_RETRY_SECONDS = 0.1
FRUITLESS_SECONDS = 5.0


class BudgetExhaustedError(Exception):
    """The budget does not cover the request.

    ``elsewhere`` is what other entries hold of it, in tokens.
    """

    def __init__(self, *, needed: int, available: int, elsewhere: int):
        super().__init__(
            f"the request may take {needed} tokens; {available} are left"
        )
        self.needed = needed
        self.available = available
        self.elsewhere = elsewhere


class _Waiter:
    __slots__ = ("budget", "deadline", "fut", "tokens")

    def __init__(self, *, budget, tokens, deadline, fut):
        self.budget = budget
        self.tokens = tokens
        self.deadline = deadline
        self.fut = fut


class BudgetManager:
    """Reserves and bills for the requests of one entry.

    Parameters
    ----------
    escrow : Escrow
        Owned by the budget manager.
    control : Proposer
        Commits grants and bills.
    witnesses : Witnesses
        Other entries.
    unavailable : type of Exception
        What ``control.propose`` raises when it has no answer.
    control_reachable : callable
        Returns whether control is within reach.
    loan_client : LoanClient
        Other entries, asked when control does not answer in time.
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
    ):
        self.loan_client = loan_client or _ports.NullLoanClient()
        self._borrowing: set[str] = set()
        self.control_reachable = control_reachable
        self.announcer = _announcer.Announcer()
        self.escrow = escrow
        self.control = control
        self.witnesses = witnesses
        self.unavailable = unavailable
        self._waiters: list[_Waiter] = []
        self._fruitless: dict[str, tuple[float, int]] = {}
        self._tasks: set[asyncio.Task] = set()
        self._ticker: asyncio.Task | None = None
        self._settled = asyncio.Event()
        self._bill_added = asyncio.Event()
        self._durability = _durability.DurabilityTracker()

    async def start(self) -> None:
        """Starts the task that settles bills and closes grants."""
        self._ticker = telemetry.start_task(
            self._tick_forever(), "budget desk"
        )

    async def close(self) -> None:
        """Bills what is open and gives every grant back."""
        while not self.escrow.is_empty:
            # Again each time: a grant may have been on its way.
            self.escrow.recall_all()
            self._tick()
            await asyncio.sleep(TICK_SECONDS)
        await self.abort()

    async def abort(self) -> None:
        """Stops at once, leaving the grants to control."""
        tasks = list(self._tasks)
        if self._ticker is not None:
            tasks.append(self._ticker)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def reserve(self, budget: str, tokens: int) -> _account.Reservation:
        """Sets tokens aside for a request.

        Raises BudgetExhaustedError, or the control client's error if the
        tokens held don't suffice and control does not answer.
        """
        now = time.monotonic()
        reservation = self.escrow.reserve(budget, tokens, now)
        if reservation is not None:
            if self.escrow.wants_more(budget, now):
                self._open(budget, 1, 1)
            if self.escrow.wants_held(budget, now):
                self._hold(budget, 0)
            return reservation
        fut = asyncio.get_running_loop().create_future()
        waiter = _Waiter(
            budget=budget,
            tokens=tokens,
            deadline=now + self.escrow.policy.recall_wait,
            fut=fut,
        )
        self._waiters.append(waiter)
        self._ask_for(budget)
        delay = BORROW_AFTER_SECONDS if self.control_reachable() else 0.0
        timer = asyncio.get_running_loop().call_later(
            delay, self._borrow, waiter
        )
        try:
            return await fut
        except asyncio.CancelledError:
            self._drop(waiter)
            raise
        finally:
            timer.cancel()

    def lend(self, budget: str, tokens: int, borrower: str) -> int:
        """Gives tokens to another entry; returns how many."""
        now = time.monotonic()
        if any(waiter.budget == budget for waiter in self._waiters):
            return 0
        given = self.escrow.lend(budget, tokens, borrower, now)
        if given:
            self._bill_added.set()
            if self.escrow.wants_held(budget, now):
                self._hold(budget, 0)
        return given

    def _borrow(self, waiter: _Waiter) -> None:
        """Asks other entries for what a waiting request lacks."""
        if waiter.fut.done() or waiter.budget in self._borrowing:
            return
        self._borrowing.add(waiter.budget)
        self._spawn(self._send_loan(waiter))

    async def _send_loan(self, waiter: _Waiter) -> None:
        need = max(1, waiter.tokens - self.escrow.free(waiter.budget))
        try:
            given = await self.loan_client.borrow(waiter.budget, need)
        finally:
            self._borrowing.discard(waiter.budget)
        if given:
            self.escrow.on_borrowed(waiter.budget, given, time.monotonic())
            self._serve(waiter.budget)
        elif not self.control_reachable():
            # Neither control nor the entries within reach have any.
            held = self.escrow.unspent(waiter.budget)
            free = self.escrow.free(waiter.budget)
            self._fail(
                waiter.budget,
                self.unavailable(
                    f"control is out of reach; of {held} tokens held,"
                    f" {free} are announced, {waiter.tokens} are needed"
                ),
            )
        for other in self._waiters:
            if given and other.budget == waiter.budget:
                self._borrow(other)
                return

    def prefetch(self, budget: str, tokens: int) -> None:
        """Asks for tokens before any request needs them."""
        missing = tokens - self.escrow.unspent(budget)
        if missing > 0:
            self._open(budget, 1, missing)

    def _drop(self, waiter: _Waiter) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        fut = waiter.fut
        if fut.done() and not fut.cancelled() and fut.exception() is None:
            self.escrow.release(fut.result(), time.monotonic())

    def release(self, reservation: _account.Reservation) -> None:
        """Gives a reservation back unused."""
        self.escrow.release(reservation, time.monotonic())
        self._serve(reservation.budget)

    def bill(
        self, reservation: _account.Reservation, bill: wire.Bill
    ) -> wire.Bill:
        """Bills a request; returns the bill as it is settled."""
        final = self.escrow.bill(reservation, bill, time.monotonic())
        number = self.escrow.bills.latest
        copies = self.escrow.copies(number, final, self.witnesses.choose)
        if copies:
            self._durability.expect(number)
            self.witnesses.send(copies)
        self._bill_added.set()
        self._serve(reservation.budget)
        return final

    async def wait_until_durable(self) -> None:
        """Waits until the latest bill outlives this process.

        That is once a witness or control has it; not for long, for the
        caller's answer waits too.  At once if the bill has no witness.
        """
        await self._durability.wait(self.escrow.bills.latest)

    def recall(self, budget: str) -> None:
        """Gives idle tokens back, for another entry needs them."""
        if any(waiter.budget == budget for waiter in self._waiters):
            return
        for command in self.escrow.recall(budget):
            self._spawn(self._send_shrink(command))
        self._close_grants()

    async def flush(self) -> None:
        """Waits until the bills of this moment are acknowledged."""
        while self.escrow.bills.is_waiting:
            self._settled.clear()
            await self._settled.wait()

    # Witnesses

    def _hold(self, budget: str, missing: int) -> None:
        notes = self.escrow.hold(budget, missing, time.monotonic())
        others = [n for n in notes if n.witness != _announcer.CONTROL]
        if others:
            self.witnesses.send(others)
        if len(others) < len(notes):
            self.announcer.hasten()
            self._announce()

    # Limits that control hears of

    def _announce(self) -> None:
        """Tells control how far the grants are spent, if that is due."""
        now = time.monotonic()
        control_reachable = self.control_reachable()
        if self.announcer.may_lift(
            now=now, control_reachable=control_reachable
        ):
            self.announcer.lifted = True
            self.escrow.lift_limits()
            LOG.warning("control is out of reach: grants are spent freely")
        if not self.escrow.limits():
            return
        if not self.announcer.is_due(
            now=now, control_reachable=control_reachable
        ):
            return
        if self.announcer.lifted:
            self.escrow.lower_limits(now)
        command = wire.Holding(
            holder=self.escrow.holder,
            sent_at=time.time(),
            limits=self.escrow.limits(),
        )
        self.announcer.on_sent(now=now)
        self._spawn(self._send_holding(command))

    async def _send_holding(self, command: wire.Holding) -> None:
        try:
            await self.control.propose(
                command, timeout=HOLDING_TIMEOUT_SECONDS
            )
        except self.unavailable:
            self.announcer.on_answer(now=time.monotonic(), heard=False)
            return
        self.announcer.on_answer(now=time.monotonic(), heard=True)
        self.escrow.on_announced(command.limits)
        for budget in {waiter.budget for waiter in self._waiters}:
            self._serve(budget)
            self._ask_again(budget)
        self._announce()

    def on_witness_acknowledged(
        self, witness: str, notes: list[witness_wire.Note]
    ) -> None:
        """Takes a witness's word that it has heard notes."""
        for note in notes:
            if isinstance(note, witness_wire.Hold):
                self.escrow.on_held(witness, note)
            elif isinstance(note, wire.BillCopy):
                self._durability.note(note.number)
        for budget in {waiter.budget for waiter in self._waiters}:
            self._serve(budget)
            self._ask_again(budget)

    def on_witness_lost(self, witness: str) -> None:
        """Gives up the grants that a witness answers for no more."""
        self._on_given_up(self.escrow.on_witness_lost(witness))

    def on_term_closed(self, term: int) -> None:
        """Gives up the grants of a term, which a witness has closed."""
        self._on_given_up(self.escrow.on_term_closed(term))

    def _on_given_up(self, commands: list[wire.ShrinkGrant]) -> None:
        for command in commands:
            self._spawn(self._send_shrink(command))
        self._close_grants()
        for budget in {waiter.budget for waiter in self._waiters}:
            self._ask_again(budget)

    # Waiters

    def _ask_again(self, budget: str) -> None:
        if any(waiter.budget == budget for waiter in self._waiters):
            self._ask_for(budget)

    def _ask_for(self, budget: str) -> None:
        """Asks for what the first waiting request needs, at best for all.

        Witnesses come first: they answer sooner than control.
        """
        wanted = [w.tokens for w in self._waiters if w.budget == budget]
        self._hold(budget, sum(wanted) - self.escrow.free(budget))
        unspent = self.escrow.unspent(budget)
        if unspent < wanted[0]:
            need = max(1, wanted[0] - unspent)
            self._open(budget, need, max(need, sum(wanted) - unspent))

    def _serve(self, budget: str) -> None:
        """Gives waiting requests their tokens, in order."""
        now = time.monotonic()
        for waiter in list(self._waiters):
            if waiter.budget != budget:
                continue
            if waiter.fut.done():
                self._waiters.remove(waiter)
                continue
            reservation = self.escrow.reserve(budget, waiter.tokens, now)
            if reservation is None:
                break
            self._waiters.remove(waiter)
            waiter.fut.set_result(reservation)

    def _open(self, budget: str, need: int, missing: int) -> None:
        command = self.escrow.open_grant(
            budget,
            need=need,
            missing=missing,
            now=time.monotonic(),
            witnesses=self.witnesses.choose(),
        )
        if command is not None:
            self._spawn(self._send_open(command))

    async def _send_open(self, command: wire.OpenGrant) -> None:
        try:
            reply = await self._commit_open(command)
        except self.unavailable as exc:
            refused = wire.Refused(findings=[str(exc)])
            self.escrow.on_opened(command, refused, time.monotonic())
            # The grant may still be made; only its holder can give it back.
            self._spawn(self._take_back(command))
            self._fail(command.budget, exc)
            return
        self.escrow.on_opened(command, reply, time.monotonic())
        self._serve(command.budget)
        if isinstance(reply, wire.Refused):
            self._fail(
                command.budget,
                BudgetExhaustedError(
                    needed=command.need, available=0, elsewhere=0
                ),
            )
        elif isinstance(reply, wire.Short):
            await self._on_short(command.budget, reply)
        self._ask_again(command.budget)

    async def _commit_open(self, command: wire.OpenGrant) -> wire.Reply:
        return await self.control.propose(
            command, timeout=OPEN_TIMEOUT_SECONDS
        )

    async def _take_back(self, command: wire.OpenGrant) -> None:
        """Learns what became of a grant whose answer was lost."""
        while True:
            try:
                reply = await self._commit_open(command)
            except self.unavailable:
                continue
            if isinstance(reply, wire.Granted):
                self.escrow.on_opened(command, reply, time.monotonic())
                self._ask_again(command.budget)
            return

    async def _on_short(self, budget: str, reply: wire.Short) -> None:
        """Refuses, or waits a little for what others give back."""
        now = time.monotonic()
        account = self.escrow.accounts[budget]
        hopeful = self._is_hopeful(budget, reply, now)
        for waiter in list(self._waiters):
            if waiter.budget != budget or waiter.fut.done():
                continue
            within = reply.available + account.unspent >= waiter.tokens
            if within or (hopeful and now < waiter.deadline):
                continue
            if hopeful:
                until = now + FRUITLESS_SECONDS
                self._fruitless[budget] = (until, reply.elsewhere)
            self._waiters.remove(waiter)
            error = BudgetExhaustedError(
                needed=waiter.tokens,
                available=reply.available + account.unspent,
                elsewhere=reply.elsewhere,
            )
            waiter.fut.set_exception(error)
        await asyncio.sleep(SHORT_RETRY_SECONDS)
        self.escrow.clear_shortage(budget)

    def _is_hopeful(self, budget: str, reply: wire.Short, now: float) -> bool:
        """Whether waiting for what others hold may help.

        Not if it did not a moment ago and they hold no less since, as when
        an entry is dead or cut off.
        """
        until, elsewhere = self._fruitless.get(budget, (0.0, 0))
        if now < until and reply.elsewhere >= elsewhere:
            return False
        return reply.elsewhere > 0

    def _fail(self, budget: str, exc: Exception) -> None:
        for waiter in list(self._waiters):
            if waiter.budget == budget:
                self._waiters.remove(waiter)
                if not waiter.fut.done():
                    waiter.fut.set_exception(exc)

    # Bills and grants

    @property
    def _longest_pause(self) -> float:
        """Seconds without bills after which there is a tick all the same."""
        if self.escrow.policy.announces:
            return _announcer.PERIOD_SECONDS
        return TICK_SECONDS * 10

    async def _tick_forever(self) -> None:
        while True:
            try:
                async with asyncio.timeout(self._longest_pause):
                    await self._bill_added.wait()
            except TimeoutError:
                pass
            self._bill_added.clear()
            self._tick()
            # Bills that come close together travel in one command.
            await asyncio.sleep(TICK_SECONDS)

    def _tick(self) -> None:
        batch = self.escrow.settle()
        if batch is not None:
            self._spawn(self._send_bills(batch))
        if self.escrow.wants_witnesses and self.witnesses.choose():
            self._on_given_up(self.escrow.on_witnesses_found())
        self._close_grants()
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
                LOG.warning("bills wait for control: {}", len(batch.bills))
                continue
            break
        if isinstance(reply, wire.Settled):
            self.escrow.on_settled(reply)
            for number in range(batch.first, batch.first + len(batch.bills)):
                self._durability.note(number)
        else:
            LOG.error("bills were refused: {}", reply)
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
            LOG.error("grant {} was not closed: {}", command.grant, reply)
        self.witnesses.send(self.escrow.on_closed(command))

    def _spawn(self, coro) -> None:
        task = telemetry.start_task(coro, "budget command")
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
