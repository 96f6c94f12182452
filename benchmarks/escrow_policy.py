"""Compares the budget policies: overspend, false refusals and commands.

A discrete-event simulation runs the real escrows of all entries against one
real control state machine.  Commands and replies take a fixed delay, and all
randomness is seeded.  A refusal is false if the team's unspent tokens could
have covered the request.
"""

import argparse
import heapq
import itertools
import random
import statistics
import time

import msgspec

from benchmarks import _common
from galenashed import budget
from galenashed import control
from galenashed.protocol import control as wire

ROUND_TRIP_SECONDS = 0.01
TICK_SECONDS = 0.1
MAX_PROMPT_TOKENS = 600
MAX_OUTPUT_TOKENS = 512
RETRY_DELAY_SECONDS = 0.1


class Simulation:
    """Seeded simulation of one fleet.

    ``prepaid`` is the size of each budget in tokens, ``rate`` the requests
    per second of all entries together and ``skew`` the exponent of the Zipf
    distribution of requests over budgets.  Halfway through, ``crashed``
    entries crash and ``cut_off`` others lose their connection to control.
    """

    def __init__(
        self,
        *,
        preset: str,
        entries: int,
        budgets: int,
        prepaid: int,
        rate: float,
        seconds: float,
        skew: float,
        cut_off: int = 0,
        crashed: int = 0,
        seed: int = 1,
    ):
        self.rng = random.Random(seed)
        self.policy = budget.POLICIES[preset]
        self.entries = entries
        self.rate = rate
        self.seconds = seconds
        self.cut_off = cut_off
        self.crashed = crashed
        self.now = 0.0
        self.state_machine = control.ControlStateMachine()
        self.state_machine.listener = self
        self.index = 0
        self.budget_names = [f"b{n}" for n in range(budgets)]
        weights = [1.0 / (n + 1) ** skew for n in range(budgets)]
        self.cumulative_weights = list(itertools.accumulate(weights))
        self.prepaid = prepaid
        self.budget_sizes = dict.fromkeys(self.budget_names, prepaid)
        self.spent = dict.fromkeys(self.budget_names, 0)
        self.reserved = dict.fromkeys(self.budget_names, 0)
        # Fractions of the budget at its first refusal: spent, and spent or
        # reserved.
        self.first_refusal: dict[str, tuple[float, float]] = {}
        self.requests = 0
        self.refusals = 0
        self.false_refusals = 0
        self.commands = 0
        self.events: list = []
        self.counter = itertools.count()
        self.escrows = [
            budget.Escrow(holder=f"e{n}/1", policy=self.policy)
            for n in range(entries)
        ]
        self._publish()

    # Listener of the state machine

    def on_release(self) -> None:
        """Does nothing, since the budgets do not change."""

    def on_suspects(self) -> None:
        """Does nothing, since no requests are suspected here."""

    def on_recall(self, name: str) -> None:
        """Recalls grants from the reachable entries after a round trip."""
        for entry in range(self.entries):
            if not self.is_unreachable(entry):
                self.schedule(ROUND_TRIP_SECONDS, self.recall, entry, name)

    def recall(self, entry: int, name: str) -> None:
        """Returns the free tokens of an entry's grants to control."""
        for command in self.escrows[entry].recall(name):
            self.send(entry, command, lambda _: None)
        self.close_grants(entry)

    # Events

    def schedule(self, delay: float, callback, *args) -> None:
        """Schedules a call of ``callback``."""
        item = (self.now + delay, next(self.counter), callback, args)
        heapq.heappush(self.events, item)

    def run(self) -> "Simulation":
        """Processes the events up to the end of the simulated time."""
        self.schedule(0.0, self.arrive)
        for entry in range(self.entries):
            self.schedule(self.rng.random() * TICK_SECONDS, self.tick, entry)
        while self.events and self.events[0][0] <= self.seconds:
            self.now, _, callback, args = heapq.heappop(self.events)
            callback(*args)
        return self

    def is_unreachable(self, entry: int) -> bool:
        """Whether the entry has crashed or is cut off from control."""
        is_past_half = self.now > self.seconds / 2
        return is_past_half and entry < self.cut_off + self.crashed

    def _publish(self) -> None:
        note = wire.Note(
            number=1,
            author="bench",
            teams=[wire.Team(name="t", key_hash="0" * 64)],
            budgets=[
                wire.Budget(
                    name=name,
                    team="t",
                    top_ups=[wire.TopUp(id="x", tokens=self.prepaid)],
                )
                for name in self.budget_names
            ],
        )
        digest = control.compute_digest(note)
        self.apply(wire.PublishNote(note=note, digest=digest))

    def apply(self, command) -> wire.Reply:
        """Applies a command and returns its reply."""
        self.index += 1
        stamped = wire.TimestampedCommand(self.now, command)
        return self.state_machine.apply(
            self.index, msgspec.msgpack.encode(stamped)
        )

    def send(self, entry: int, command, on_reply) -> None:
        """Sends a command to control, half a round trip each way."""
        self.commands += 1

        def commit() -> None:
            if self.is_unreachable(entry):
                self.schedule(1.0, commit)
                return
            reply = self.apply(command)
            self.schedule(ROUND_TRIP_SECONDS / 2, on_reply, reply)

        self.schedule(ROUND_TRIP_SECONDS / 2, commit)

    # Entries

    def tick(self, entry: int) -> None:
        """Settles bills and closes grants, once per tick."""
        self.schedule(TICK_SECONDS, self.tick, entry)
        if entry < self.crashed and self.is_unreachable(entry):
            return
        escrow = self.escrows[entry]
        batch = escrow.settle()
        if batch is not None:
            self.send(entry, batch, escrow.on_settled)
        self.close_grants(entry)

    def close_grants(self, entry: int) -> None:
        """Sends the commands that close grants which are due."""
        escrow = self.escrows[entry]
        for command in escrow.close_grants(self.now):
            self.send(entry, command, lambda _, c=command: escrow.on_closed(c))

    def arrive(self) -> None:
        """Handles an arriving request and schedules the next arrival."""
        self.schedule(self.rng.expovariate(self.rate), self.arrive)
        entry = self.rng.randrange(self.entries)
        if entry < self.crashed and self.is_unreachable(entry):
            # Callers of a crashed entry use another one.
            entry = self.rng.randrange(self.crashed, self.entries)
        budget_name = self.rng.choices(
            self.budget_names, cum_weights=self.cumulative_weights
        )[0]
        prompt = self.rng.randrange(50, MAX_PROMPT_TOKENS)
        self.requests += 1
        deadline = self.now + self.policy.recall_wait
        self.reserve(entry, budget_name, prompt + MAX_OUTPUT_TOKENS, deadline)

    def reserve(
        self, entry, budget_name, tokens: int, deadline: float
    ) -> None:
        """Reserves tokens, or requests a grant and retries."""
        escrow = self.escrows[entry]
        reservation = escrow.reserve(budget_name, tokens, self.now)
        if reservation is None:
            self.request_grant(entry, budget_name, tokens, deadline)
            return
        self.reserved[budget_name] += tokens
        used = tokens - self.rng.randrange(0, MAX_OUTPUT_TOKENS)
        self.schedule(
            self.rng.uniform(0.5, 5.0), self.finish, entry, reservation, used
        )
        if escrow.needs_grant(budget_name, self.now):
            self.open_grant(entry, budget_name, 1, None)

    def request_grant(
        self, entry, budget_name, tokens: int, deadline: float
    ) -> None:
        """Requests a grant; refuses the request if it can't be covered."""
        if self.is_unreachable(entry):
            self.refuse(budget_name, tokens)
            return
        missing = tokens - self.escrows[entry].free(budget_name)

        def on_opened(reply) -> None:
            if isinstance(reply, wire.Short):
                free = self.escrows[entry].free(budget_name)
                can_retry = reply.elsewhere and self.now < deadline
                if not can_retry and reply.available + free < tokens:
                    self.refuse(budget_name, tokens)
                    return
            self.schedule(
                RETRY_DELAY_SECONDS if isinstance(reply, wire.Short) else 0.0,
                self.retry,
                entry,
                budget_name,
                tokens,
                deadline,
            )

        if not self.open_grant(entry, budget_name, missing, on_opened):
            self.schedule(
                ROUND_TRIP_SECONDS,
                self.retry,
                entry,
                budget_name,
                tokens,
                deadline,
            )

    def retry(self, entry, budget_name, tokens, deadline) -> None:
        """Retries a waiting request."""
        self.escrows[entry].clear_shortage(budget_name)
        self.reserve(entry, budget_name, tokens, deadline)

    def open_grant(self, entry, budget_name, need: int, callback) -> bool:
        """Sends a command that opens a grant, unless one is in flight.

        Returns whether the command was sent.
        """
        escrow = self.escrows[entry]
        command = escrow.open_grant(
            budget_name, need=need, missing=need, now=self.now, witnesses=[]
        )
        if command is None:
            return False

        def on_reply(reply) -> None:
            escrow.on_opened(command, reply, self.now)
            if callback is not None:
                callback(reply)

        self.send(entry, command, on_reply)
        return True

    def finish(self, entry, reservation, used: int) -> None:
        """Ends a request and bills it."""
        if entry < self.crashed and self.is_unreachable(entry):
            return
        self.reserved[reservation.budget] -= reservation.tokens
        self.spent[reservation.budget] += used
        bill = wire.Bill(
            id=str(next(self.counter)),
            team="t",
            budget=reservation.budget,
            subject="m",
            attempt="",
            keyed=False,
            prompt_tokens=used,
            output_tokens=0,
            parts=[],
        )
        self.escrows[entry].bill(reservation, bill, self.now)

    def refuse(self, budget_name: str, tokens: int) -> None:
        """Records a refusal, and whether it was a false one."""
        self.refusals += 1
        spent = self.spent[budget_name] / self.budget_sizes[budget_name]
        spent_or_reserved = (
            spent + self.reserved[budget_name] / self.budget_sizes[budget_name]
        )
        self.first_refusal.setdefault(budget_name, (spent, spent_or_reserved))
        unspent = (
            self.budget_sizes[budget_name]
            - self.spent[budget_name]
            - self.reserved[budget_name]
        )
        if unspent >= tokens:
            self.false_refusals += 1

    def overspend(self) -> int:
        """Returns the tokens spent beyond the prepaid ones."""
        self.state_machine.check_invariant()
        return sum(
            max(0, self.spent[name] - self.budget_sizes[name])
            for name in self.budget_names
        )


def format_median(fractions: list[float]) -> str:
    """Formats the median of fractions, or "-" if there are none."""
    return f"{statistics.median(fractions):.1%}" if fractions else "-"


def make_row(title: str, simulation: Simulation) -> list[str]:
    """Returns the table row of a simulation."""
    refusals = simulation.first_refusal.values()
    rate = simulation.commands / simulation.entries / simulation.seconds
    return [
        title,
        str(simulation.requests),
        str(simulation.overspend()),
        f"{simulation.refusals / simulation.requests:.2%}",
        f"{simulation.false_refusals / simulation.requests:.3%}",
        format_median([spent for spent, _ in refusals]),
        format_median(
            [spent_or_reserved for _, spent_or_reserved in refusals]
        ),
        f"{rate:.2f}",
    ]


HEADINGS = [
    "case",
    "requests",
    "overspend, tokens",
    "refused",
    "falsely refused",
    "spent at first refusal, p50",
    "spent or reserved at first refusal, p50",
    "commands per entry per second",
]
AMPLE_TOKENS = 10**9


def cases(preset: str, quick: bool, seconds: float):
    """Yields the title and the options of each simulation."""
    common = {"preset": preset, "seconds": seconds}
    for entries, budgets, rate in ((10, 10, 50.0), (370, 10, 400.0)):
        for skew in (0.0, 1.0):
            popularity = "Zipf" if skew else "uniform"
            size = {"entries": entries, "budgets": budgets, "rate": rate}
            yield (
                f"{entries} entries, {budgets} budgets, {popularity}, ample",
                {**common, **size, "skew": skew, "prepaid": AMPLE_TOKENS},
            )
            # The prepaid tokens cover about half of the demand.
            prepaid = int(rate * seconds * 650 / budgets / 2)
            yield (
                f"{entries} entries, {budgets} budgets, {popularity}, scarce",
                {**common, **size, "skew": skew, "prepaid": prepaid},
            )
    base = {"entries": 10, "budgets": 10, "rate": 50.0, "skew": 1.0}
    # Budgets of which the requests in flight reserve only a small part.
    yield (
        "10 entries, 10 large budgets, uniform, scarce",
        {
            **common,
            "entries": 10,
            "budgets": 10,
            "rate": 50.0,
            "skew": 0.0,
            "seconds": 10 * seconds,
            "prepaid": int(50.0 * 10 * seconds * 650 / 10 / 2),
        },
    )
    yield (
        "10 entries, one dies, ample",
        {**common, **base, "prepaid": AMPLE_TOKENS, "crashed": 1},
    )
    yield (
        "10 entries, 3 cut off, ample",
        {**common, **base, "prepaid": AMPLE_TOKENS, "cut_off": 3},
    )
    if not quick:
        yield (
            "370 entries, 31,000 budgets, Zipf, ample",
            {
                **common,
                "entries": 370,
                "budgets": 31_000,
                "rate": 400.0,
                "skew": 1.0,
                "prepaid": AMPLE_TOKENS,
            },
        )


def main() -> None:
    """Prints a table for each preset."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--preset", nargs="*", default=list(budget.POLICIES))
    parser.add_argument(
        "--only",
        default="",
        help="run only the cases whose title contains this text",
    )
    args = parser.parse_args()
    _common.print_header("escrow_policy")
    for preset in args.preset:
        start = time.perf_counter()
        rows = [
            make_row(title, Simulation(**options).run())
            for title, options in cases(preset, args.quick, args.seconds)
            if args.only in title
        ]
        print(f"preset {preset}:\n")
        _common.print_table(HEADINGS, rows)
        print(f"({time.perf_counter() - start:.0f} s)\n")


if __name__ == "__main__":
    main()
