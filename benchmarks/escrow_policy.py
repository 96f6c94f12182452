"""Budgets under demand: overspend, false refusals, spendable share, messages.

Entries hold real escrows before one real replicated state; commands and
answers take a fixed delay.  A refusal is false if the team's unspent tokens
could have covered the request.  Everything is seeded.
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
PROMPT_BOUND = 600
OUTPUT_BOUND = 512
RETRY_SECONDS = 0.1


class Run:
    """One seeded run.

    ``prepaid`` is each budget's size in tokens, ``rate`` the requests a
    second of all entries together.  ``cut`` names entries that are cut off
    from control half way, ``dead`` those that die then.
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
        cut: int = 0,
        dead: int = 0,
        seed: int = 1,
    ):
        self.rng = random.Random(seed)
        self.policy = budget.POLICIES[preset]
        self.entries = entries
        self.rate = rate
        self.seconds = seconds
        self.cut = cut
        self.dead = dead
        self.now = 0.0
        self.state_machine = control.ControlStateMachine()
        self.state_machine.listener = self
        self.index = 0
        self.names = [f"b{n}" for n in range(budgets)]
        weights = [1.0 / (n + 1) ** skew for n in range(budgets)]
        self.weights = list(itertools.accumulate(weights))
        self.prepaid = prepaid
        self.total = dict.fromkeys(self.names, prepaid)
        self.spent = dict.fromkeys(self.names, 0)
        self.reserved = dict.fromkeys(self.names, 0)
        # Shares of the budget: spent, and spent or set aside.
        self.first_refusal: dict[str, tuple[float, float]] = {}
        self.asked = 0
        self.refused = 0
        self.false = 0
        self.commands = 0
        self.events: list = []
        self.order = itertools.count()
        self.escrows = [
            budget.Escrow(holder=f"e{n}/1", policy=self.policy)
            for n in range(entries)
        ]
        self._publish()

    # The state machine's listener

    def on_release(self) -> None:
        """Nothing to tell: budgets do not change."""

    def on_suspects(self) -> None:
        """Nothing to tell."""

    def on_recall(self, name: str) -> None:
        """Reaches the entries a round trip later."""
        for entry in range(self.entries):
            if not self.is_gone(entry):
                self.at(ROUND_TRIP_SECONDS, self.recall, entry, name)

    def recall(self, entry: int, name: str) -> None:
        """Gives back what this entry does not wait for itself."""
        for command in self.escrows[entry].recall(name):
            self.send(entry, command, lambda _: None)
        self.close_grants(entry)

    # Events

    def at(self, delay: float, work, *args) -> None:
        """Has ``work`` done later."""
        item = (self.now + delay, next(self.order), work, args)
        heapq.heappush(self.events, item)

    def run(self) -> "Run":
        """Runs to the end."""
        self.at(0.0, self.arrive)
        for entry in range(self.entries):
            self.at(self.rng.random() * TICK_SECONDS, self.tick, entry)
        while self.events and self.events[0][0] <= self.seconds:
            self.now, _, work, args = heapq.heappop(self.events)
            work(*args)
        return self

    def is_gone(self, entry: int) -> bool:
        """Whether the entry is cut off or dead by now."""
        late = self.now > self.seconds / 2
        return late and entry < self.cut + self.dead

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
                for name in self.names
            ],
        )
        digest = control.compute_digest(note)
        self.apply(wire.PublishNote(note=note, digest=digest))

    def apply(self, command) -> wire.Reply:
        """Commits a command."""
        self.index += 1
        stamped = wire.Stamped(self.now, command)
        return self.state_machine.apply(
            self.index, msgspec.msgpack.encode(stamped)
        )

    def send(self, entry: int, command, on_reply) -> None:
        """Commits a command and answers half a round trip later."""
        self.commands += 1

        def commit() -> None:
            if self.is_gone(entry):
                self.at(1.0, commit)
                return
            reply = self.apply(command)
            self.at(ROUND_TRIP_SECONDS / 2, on_reply, reply)

        self.at(ROUND_TRIP_SECONDS / 2, commit)

    # Entries

    def tick(self, entry: int) -> None:
        """Settles bills and closes grants."""
        self.at(TICK_SECONDS, self.tick, entry)
        if entry < self.dead and self.is_gone(entry):
            return
        escrow = self.escrows[entry]
        batch = escrow.settle()
        if batch is not None:
            self.send(entry, batch, escrow.on_settled)
        self.close_grants(entry)

    def close_grants(self, entry: int) -> None:
        """Sends the closes that are due."""
        escrow = self.escrows[entry]
        for command in escrow.close_grants(self.now):
            self.send(entry, command, lambda _, c=command: escrow.on_closed(c))

    def arrive(self) -> None:
        """One request comes, and the next is planned."""
        self.at(self.rng.expovariate(self.rate), self.arrive)
        entry = self.rng.randrange(self.entries)
        if entry < self.dead and self.is_gone(entry):
            # Callers of a dead entry go to another one.
            entry = self.rng.randrange(self.dead, self.entries)
        name = self.rng.choices(self.names, cum_weights=self.weights)[0]
        prompt = self.rng.randrange(50, PROMPT_BOUND)
        self.asked += 1
        deadline = self.now + self.policy.recall_wait
        self.reserve(entry, name, prompt + OUTPUT_BOUND, deadline)

    def reserve(self, entry, name, bound: int, deadline: float) -> None:
        """Reserves, or asks for a grant and tries again."""
        escrow = self.escrows[entry]
        held = escrow.reserve(name, bound, self.now)
        if held is None:
            self.ask(entry, name, bound, deadline)
            return
        self.reserved[name] += bound
        used = bound - self.rng.randrange(0, OUTPUT_BOUND)
        self.at(self.rng.uniform(0.5, 5.0), self.finish, entry, held, used)
        if escrow.wants_more(name, self.now):
            self.open_grant(entry, name, 1, None)

    def ask(self, entry, name, bound: int, deadline: float) -> None:
        """Asks for a grant that covers the request."""
        if self.is_gone(entry):
            self.refuse(name, bound)
            return
        missing = bound - self.escrows[entry].free(name)

        def on_opened(reply) -> None:
            if isinstance(reply, wire.Short):
                free = self.escrows[entry].free(name)
                hopeful = reply.elsewhere and self.now < deadline
                if not hopeful and reply.available + free < bound:
                    self.refuse(name, bound)
                    return
            self.at(
                RETRY_SECONDS if isinstance(reply, wire.Short) else 0.0,
                self.again,
                entry,
                name,
                bound,
                deadline,
            )

        if not self.open_grant(entry, name, missing, on_opened):
            self.at(
                ROUND_TRIP_SECONDS, self.again, entry, name, bound, deadline
            )

    def again(self, entry, name, bound, deadline) -> None:
        """Tries a waiting request again."""
        self.escrows[entry].clear_shortage(name)
        self.reserve(entry, name, bound, deadline)

    def open_grant(self, entry, name, need: int, then) -> bool:
        """Sends the command; returns whether one was not under way."""
        escrow = self.escrows[entry]
        command = escrow.open_grant(
            name, need=need, missing=need, now=self.now, witnesses=[]
        )
        if command is None:
            return False

        def on_reply(reply) -> None:
            escrow.on_opened(command, reply, self.now)
            if then is not None:
                then(reply)

        self.send(entry, command, on_reply)
        return True

    def finish(self, entry, held, used: int) -> None:
        """A request ends and is billed."""
        if entry < self.dead and self.is_gone(entry):
            return
        self.reserved[held.budget] -= held.tokens
        self.spent[held.budget] += used
        bill = wire.Bill(
            id=str(next(self.order)),
            team="t",
            budget=held.budget,
            subject="m",
            attempt="",
            keyed=False,
            prompt_tokens=used,
            output_tokens=0,
            parts=[],
        )
        self.escrows[entry].bill(held, bill, self.now)

    def refuse(self, name: str, bound: int) -> None:
        """A request is refused; it may be falsely so."""
        self.refused += 1
        spent = self.spent[name] / self.total[name]
        taken = spent + self.reserved[name] / self.total[name]
        self.first_refusal.setdefault(name, (spent, taken))
        unspent = self.total[name] - self.spent[name] - self.reserved[name]
        if unspent >= bound:
            self.false += 1

    def overspend(self) -> int:
        """Returns the tokens spent beyond what was prepaid."""
        self.state_machine.check_invariant()
        return sum(
            max(0, self.spent[name] - self.total[name]) for name in self.names
        )


def median_share(shares: list[float]) -> str:
    """Returns the median as a text."""
    return f"{statistics.median(shares):.1%}" if shares else "-"


def row(title: str, run: Run) -> list[str]:
    """Returns a table row."""
    refusals = run.first_refusal.values()
    rate = run.commands / run.entries / run.seconds
    return [
        title,
        str(run.asked),
        str(run.overspend()),
        f"{run.refused / run.asked:.2%}",
        f"{run.false / run.asked:.3%}",
        median_share([spent for spent, _ in refusals]),
        median_share([taken for _, taken in refusals]),
        f"{rate:.2f}",
    ]


HEADINGS = [
    "run",
    "requests",
    "overspend, tokens",
    "refused",
    "falsely",
    "spent at first refusal, p50",
    "spent or set aside then, p50",
    "messages an entry a second",
]
AMPLE = 10**9


def cases(preset: str, quick: bool, seconds: float):
    """Yields titles and the options of their runs."""
    common = {"preset": preset, "seconds": seconds}
    for entries, budgets, rate in ((10, 10, 50.0), (370, 10, 400.0)):
        for skew in (0.0, 1.0):
            kind = "Zipf" if skew else "uniform"
            size = {"entries": entries, "budgets": budgets, "rate": rate}
            yield (
                f"{entries} entries, {budgets} budgets, {kind}, ample",
                {**common, **size, "skew": skew, "prepaid": AMPLE},
            )
            # Half of the demand is paid for.
            prepaid = int(rate * seconds * 650 / budgets / 2)
            yield (
                f"{entries} entries, {budgets} budgets, {kind}, scarce",
                {**common, **size, "skew": skew, "prepaid": prepaid},
            )
    base = {"entries": 10, "budgets": 10, "rate": 50.0, "skew": 1.0}
    # A budget of which what is under way is a small part.
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
        {**common, **base, "prepaid": AMPLE, "dead": 1},
    )
    yield (
        "10 entries, 3 cut off, ample",
        {**common, **base, "prepaid": AMPLE, "cut": 3},
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
                "prepaid": AMPLE,
            },
        )


def main() -> None:
    """Prints a table a preset."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--preset", nargs="*", default=list(budget.POLICIES))
    parser.add_argument(
        "--only", default="", help="runs whose title holds this text"
    )
    args = parser.parse_args()
    _common.print_head("escrow_policy")
    for preset in args.preset:
        start = time.perf_counter()
        rows = [
            row(title, Run(**options).run())
            for title, options in cases(preset, args.quick, args.seconds)
            if args.only in title
        ]
        print(f"preset {preset}:\n")
        _common.print_table(HEADINGS, rows)
        print(f"({time.perf_counter() - start:.0f} s)\n")


if __name__ == "__main__":
    main()
