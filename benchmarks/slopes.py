"""Slopes for the capacity page: what one more of anything costs.

Everything is measured in this process on the real parts, without sockets;
the sizes of messages are those on the wire before framing.
"""

import argparse
import random
import time
import tracemalloc
import typing

import msgspec

from benchmarks import _common
from galenashed import budget
from galenashed import control
from galenashed.entry import _streams
from galenashed import membership
from galenashed.protocol import control as wire
from galenashed.protocol import spread
from galenashed import routing

KEY_HASH = "0" * 64


def per_call(work: typing.Callable[[int], object], count: int) -> float:
    """Returns the seconds of one call, the best of five runs."""
    best = float("inf")
    for attempt in range(5):
        start = time.process_time()
        for number in range(count):
            work(attempt * count + number)
        best = min(best, (time.process_time() - start) / count)
    return best


def held_bytes(make: typing.Callable[[], object]) -> tuple[int, object]:
    """Returns the bytes that what ``make`` returns holds, and it."""
    tracemalloc.start()
    made = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size, made


def make_target(number: int, sequence: int = 1) -> spread.Target:
    """Returns an announcement as engines make it."""
    return spread.Target(
        name=f"engine-{number}",
        incarnation="0123456789ab",
        started=1.7e9,
        sequence=sequence,
        service="galena-fleet",
        address="10.100.200.30:8000",
        failure_domain="keflavik",
        models=["galena-7b"],
        resumes=True,
        load=spread.Load(running=12, waiting=3),
    )


def make_note(number: int, teams: int, budgets: int) -> wire.Note:
    """Returns a note that brings teams and their budgets."""
    return wire.Note(
        number=number,
        author="ops",
        models=[wire.Model(name="galena-7b", version="1")],
        teams=[
            wire.Team(name=f"team-{n}", key_hash=f"{n:064x}")
            for n in range(teams)
        ],
        budgets=[
            wire.Budget(
                name=f"budget-{n}",
                team=f"team-{n % teams}",
                top_ups=[wire.TopUp(id="first", tokens=10**9)],
            )
            for n in range(budgets)
        ],
    )


class Machine:
    """A control state with an index."""

    def __init__(self) -> None:
        self.state_machine = control.ControlStateMachine()
        self.index = 0

    def apply(self, command, at: float = 0.0) -> wire.Reply:
        """Applies a command as the log does."""
        self.index += 1
        stamped = msgspec.msgpack.encode(wire.Stamped(at, command))
        return self.state_machine.apply(self.index, stamped)

    def publish(self, note: wire.Note) -> None:
        """Publishes a note."""
        digest = control.compute_digest(note)
        self.apply(wire.PublishNote(note=note, digest=digest))


def make_bill(number: int, keyed: bool) -> wire.Bill:
    """Returns a bill as entries make it."""
    return wire.Bill(
        id=f"{number:032x}",
        team="team-1",
        budget="budget-1",
        subject="galena-7b",
        attempt=f"{number:032x}",
        keyed=keyed,
        prompt_tokens=300,
        output_tokens=200,
        parts=[wire.Part("entry-1/0123456789ab/17", 500)],
    )


def measure_routing() -> list[list[str]]:
    """Returns rows on the choice of a target."""
    rows = []
    service = wire.Service(
        name="galena-fleet",
        kind="engine",
        models=["galena-7b"],
        concurrency=64,
    )
    for count in (6, 60, 600):

        def make(count=count):
            router = routing.make_router("affinity", random.Random(1))
            for number in range(count):
                router.update(make_target(number), joined=-100.0)
            return router

        size, router = held_bytes(make)
        router.set_alive(f"engine-{number}" for number in range(count))

        def choose(number, router=router):
            requirements = routing.TargetRequirements(
                service=service,
                model="galena-7b",
                prefix=b"%d" % (number % 100),
            )
            return router.choose(requirements, now=1.0)

        cost = per_call(choose, 2000)
        rows.append(
            [f"choice among {count} targets", f"{cost * 1e6:.1f} us", ""]
        )
        rows.append(
            [f"{count} targets in the router", "", f"{size / count:.0f} B"]
        )
    return rows


def measure_membership() -> list[list[str]]:
    """Returns rows on announcements."""
    count = 600
    directory = membership.Directory(lease=3.0)

    def merge(number):
        target = make_target(number % count, sequence=number // count + 1)
        directory.merge(target, now=float(number), direct=False)

    cost = per_call(merge, count)
    size, _ = held_bytes(
        lambda: [make_target(number) for number in range(count)]
    )
    message = [make_target(number) for number in range(count)]
    encoded = msgspec.msgpack.encode(message)
    decoder = msgspec.msgpack.Decoder(list[spread.Target])
    decode = per_call(lambda _: decoder.decode(encoded), 20) / count
    load = msgspec.msgpack.encode((17, 12, 3))
    return [
        ["merge of a target's announcement", f"{cost * 1e6:.1f} us", ""],
        ["decoding of an announcement", f"{decode * 1e6:.1f} us", ""],
        ["a target in the directory", "", f"{size / count:.0f} B"],
        ["an announcement on the wire", "", f"{len(encoded) / count:.0f} B"],
        ["a load report alone would be", "", f"{len(load)} B"],
    ]


def measure_escrow() -> list[list[str]]:
    """Returns rows on the entry's budgets."""
    policy = budget.POLICIES["refusals-first"]
    escrow = budget.Escrow(holder="entry-1/0123456789ab", policy=policy)

    def open_one(number: int) -> None:
        command = escrow.open_grant(
            f"budget-{number}",
            need=1,
            missing=1,
            now=0.0,
            witnesses=["entry-2/0123456789ab", "entry-3/0123456789ab"],
        )
        granted = wire.Granted(grant=command.grant, amount=10**9)
        escrow.on_opened(command, granted, 0.0)

    count = 1000
    size, _ = held_bytes(lambda: [open_one(n) for n in range(count)])

    def request(number: int) -> None:
        held = escrow.reserve(f"budget-{number % count}", 800, 0.0)
        bill = make_bill(number, keyed=False)
        bill = msgspec.structs.replace(bill, budget=held.budget)
        escrow.bill(held, bill, 0.0)

    cost = per_call(request, 2000)
    return [
        ["reservation and bill at an entry", f"{cost * 1e6:.1f} us", ""],
        ["a budget in use at an entry", "", f"{size / count:.0f} B"],
    ]


def measure_control() -> list[list[str]]:
    """Returns rows on the replicated state."""
    rows = []
    made = Machine()
    teams, budgets = 7_500, 31_000
    note = make_note(1, teams, budgets)
    start = time.process_time()
    size, _ = held_bytes(lambda: made.publish(note))
    took = time.process_time() - start
    rows.append(
        [
            f"note with {teams:,} teams and {budgets:,} budgets",
            f"{took * 1e3:.0f} ms (traced)",
            f"{size / 2**20:.1f} MiB",
        ]
    )
    small = [
        wire.Note(
            number=n,
            author="ops",
            budgets=[
                wire.Budget(
                    name=f"budget-{n}",
                    team=f"team-{n % teams}",
                    top_ups=[wire.TopUp(id=f"n{n}", tokens=5)],
                )
            ],
        )
        for n in range(2, 52)
    ]
    encoded = msgspec.msgpack.encode(small[0])
    start = time.process_time()
    for item in small:
        made.publish(item)
    took = (time.process_time() - start) / len(small)
    rows.append(
        [
            "small note on top, at a replica and at an entry",
            f"{took * 1e3:.1f} ms",
            f"{len(encoded)} B on the wire",
        ]
    )
    rows.extend(measure_commands(made))
    start = time.process_time()
    snapshot = made.state_machine.snapshot()
    took = time.process_time() - start
    rows.append(
        [
            "snapshot of all that",
            f"{took * 1e3:.0f} ms",
            f"{len(snapshot) / 2**20:.1f} MiB",
        ]
    )
    release = msgspec.msgpack.encode(made.state_machine.state.release)
    rows.append(
        [
            "whole release for a new entry",
            "",
            f"{len(release) / 2**20:.1f} MiB",
        ]
    )
    return rows


def measure_commands(made: Machine) -> list[list[str]]:
    """Returns rows on single commands."""
    count = 2000

    def cycle(number: int) -> None:
        holder = "entry-1/0123456789ab"
        grant = f"{holder}/{number + 1}"
        made.apply(
            wire.OpenGrant(
                grant=grant,
                budget=f"budget-{number % 31_000}",
                holder=holder,
                number=number + 1,
                sequence=0,
                need=800,
                want=20_000,
            )
        )
        made.apply(wire.CloseGrant(grant=grant, holder=holder))

    rows = [
        [
            "grant opened and closed, applied",
            f"{per_call(cycle, count) * 1e6:.1f} us",
            "",
        ]
    ]

    def settle(number: int) -> None:
        bills = [make_bill(number * 10 + n, keyed=False) for n in range(10)]
        made.apply(
            wire.SettleBills(
                holder="entry-2/0123456789ab",
                sequence=number + 1,
                first=number * 10 + 1,
                bills=bills,
            )
        )

    cost = per_call(settle, 500) / 10
    wire_size = len(msgspec.msgpack.encode(make_bill(1, keyed=False)))
    rows.append(["bill without a key, applied", f"{cost * 1e6:.1f} us", ""])
    rows.append(["a bill on the wire", "", f"{wire_size} B"])

    def fill_claims():
        for number in range(5000):
            made.apply(
                wire.ClaimCall(
                    team="team-1",
                    key=f"key-{number:032x}",
                    digest=f"{number:064x}",
                    owner=f"entry-1/0123456789ab/{number:032x}",
                )
            )

    size, _ = held_bytes(fill_claims)
    rows.append(["a claim in the state", "", f"{size / 5000:.0f} B"])

    def fill_keyed():
        for number in range(500):
            bills = [
                make_bill(10**6 + number * 10 + n, keyed=True)
                for n in range(10)
            ]
            made.apply(
                wire.SettleBills(
                    holder="entry-3/0123456789ab",
                    sequence=number + 1,
                    first=number * 10 + 1,
                    bills=bills,
                )
            )

    size, _ = held_bytes(fill_keyed)
    rows.append(["a keyed bill in the state", "", f"{size / 5000:.0f} B"])
    return rows


def measure_relay() -> list[list[str]]:
    """Returns rows on the scanner of streams."""
    event = (
        b'data: {"id":"cmpl-x","object":"chat.completion.chunk","created":0,'
        b'"model":"galena-7b","choices":[{"index":0,"finish_reason":null,'
        b'"delta":{"content":"word "}}]}\n\n'
    )
    scanner = _streams.StreamScanner(wants_usage=False)
    cost = per_call(lambda _: scanner.feed(event), 20_000)
    return [["an event in the scanner", f"{cost * 1e6:.2f} us", ""]]


def main() -> None:
    """Prints the table."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    _common.print_head("slopes")
    rows = measure_relay()
    rows += measure_routing()
    rows += measure_membership()
    rows += measure_escrow()
    rows += measure_control()
    _common.print_table(["what", "processor time", "size"], rows)


if __name__ == "__main__":
    main()
