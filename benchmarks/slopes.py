"""Measures the marginal CPU time and memory of targets, budgets and bills.

The capacity page of the documentation lists the results.  Everything runs
in this process without sockets.  Sizes of messages are those of the encoded
messages before framing.
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
from galenashed.protocol import gossip
from galenashed import routing

KEY_HASH = "0" * 64


def seconds_per_call(
    func: typing.Callable[[int], object], count: int
) -> float:
    """Returns the CPU seconds of one call, the best of five runs."""
    best = float("inf")
    for attempt in range(5):
        start = time.process_time()
        for number in range(count):
            func(attempt * count + number)
        best = min(best, (time.process_time() - start) / count)
    return best


def measure_allocation(
    factory: typing.Callable[[], object],
) -> tuple[int, object]:
    """Calls ``factory``; returns the bytes it allocated and its result."""
    tracemalloc.start()
    result = factory()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size, result


def make_target(number: int, sequence: int = 1) -> gossip.Target:
    """Returns an announcement such as an engine sends."""
    return gossip.Target(
        name=f"engine-{number}",
        incarnation="0123456789ab",
        started=1.7e9,
        sequence=sequence,
        service="galena-fleet",
        address="10.100.200.30:8000",
        failure_domain="keflavik",
        models=["galena-7b"],
        resumes=True,
        load=gossip.Load(running=12, waiting=3),
    )


def make_note(number: int, teams: int, budgets: int) -> wire.Note:
    """Returns a note that creates teams and their budgets."""
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


class LocalControl:
    """Control state machine that applies commands without replication."""

    def __init__(self) -> None:
        self.state_machine = control.ControlStateMachine()
        self.index = 0

    def apply(self, command, at: float = 0.0) -> wire.Reply:
        """Applies an encoded command at the next log index."""
        self.index += 1
        stamped = msgspec.msgpack.encode(wire.TimestampedCommand(at, command))
        return self.state_machine.apply(self.index, stamped)

    def publish(self, note: wire.Note) -> None:
        """Publishes a note."""
        digest = control.compute_digest(note)
        self.apply(wire.PublishNote(note=note, digest=digest))


def make_bill(number: int, keyed: bool) -> wire.Bill:
    """Returns a bill such as an entry makes."""
    return wire.Bill(
        id=f"{number:032x}",
        team="team-1",
        budget="budget-1",
        subject="galena-7b",
        attempt=f"{number:032x}",
        keyed=keyed,
        prompt_tokens=300,
        output_tokens=200,
        parts=[wire.BillPart("entry-1/0123456789ab/17", 500)],
    )


def measure_routing() -> list[list[str]]:
    """Returns the table rows of choosing a target."""
    rows = []
    service = wire.Service(
        name="galena-fleet",
        kind="engine",
        models=["galena-7b"],
        concurrency=64,
    )
    for count in (6, 60, 600):

        def make_router(count=count):
            router = routing.make_router("affinity", random.Random(1))
            for number in range(count):
                router.update(make_target(number), joined=-100.0)
            return router

        size, router = measure_allocation(make_router)
        router.set_alive(f"engine-{number}" for number in range(count))

        def choose(number, router=router):
            requirements = routing.TargetRequirements(
                service=service,
                model="galena-7b",
                prefix=b"%d" % (number % 100),
            )
            return router.choose(requirements, now=1.0)

        seconds = seconds_per_call(choose, 2000)
        rows.append(
            [f"choice among {count} targets", f"{seconds * 1e6:.1f} us", ""]
        )
        rows.append(
            [f"{count} targets in the router", "", f"{size / count:.0f} B"]
        )
    return rows


def measure_membership() -> list[list[str]]:
    """Returns the table rows of targets' announcements."""
    count = 600
    directory = membership.Directory(lease=3.0)

    def merge(number):
        target = make_target(number % count, sequence=number // count + 1)
        directory.merge(target, now=float(number), from_announcer=False)

    seconds = seconds_per_call(merge, count)
    size, _ = measure_allocation(
        lambda: [make_target(number) for number in range(count)]
    )
    announcements = [make_target(number) for number in range(count)]
    encoded = msgspec.msgpack.encode(announcements)
    decoder = msgspec.msgpack.Decoder(list[gossip.Target])
    decode_seconds = (
        seconds_per_call(lambda _: decoder.decode(encoded), 20) / count
    )
    load = msgspec.msgpack.encode((17, 12, 3))
    return [
        ["merge of a target's announcement", f"{seconds * 1e6:.1f} us", ""],
        ["decoding of an announcement", f"{decode_seconds * 1e6:.1f} us", ""],
        ["an announcement in memory", "", f"{size / count:.0f} B"],
        ["an announcement on the wire", "", f"{len(encoded) / count:.0f} B"],
        ["a load report alone", "", f"{len(load)} B"],
    ]


def measure_escrow() -> list[list[str]]:
    """Returns the table rows of budgets at an entry."""
    policy = budget.POLICIES["refusals-first"]
    escrow = budget.Escrow(holder="entry-1/0123456789ab", policy=policy)

    def open_grant(number: int) -> None:
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
    size, _ = measure_allocation(lambda: [open_grant(n) for n in range(count)])

    def reserve_and_bill(number: int) -> None:
        reservation = escrow.reserve(f"budget-{number % count}", 800, 0.0)
        bill = make_bill(number, keyed=False)
        bill = msgspec.structs.replace(bill, budget=reservation.budget)
        escrow.bill(reservation, bill, 0.0)

    seconds = seconds_per_call(reserve_and_bill, 2000)
    return [
        ["reservation and bill at an entry", f"{seconds * 1e6:.1f} us", ""],
        ["a budget in use at an entry", "", f"{size / count:.0f} B"],
    ]


def measure_control() -> list[list[str]]:
    """Returns the table rows of the replicated control state."""
    rows = []
    local_control = LocalControl()
    teams, budgets = 7_500, 31_000
    note = make_note(1, teams, budgets)
    start = time.process_time()
    size, _ = measure_allocation(lambda: local_control.publish(note))
    elapsed = time.process_time() - start
    rows.append(
        [
            f"note with {teams:,} teams and {budgets:,} budgets",
            f"{elapsed * 1e3:.0f} ms (with tracemalloc)",
            f"{size / 2**20:.1f} MiB",
        ]
    )
    small_notes = [
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
    encoded = msgspec.msgpack.encode(small_notes[0])
    start = time.process_time()
    for small_note in small_notes:
        local_control.publish(small_note)
    elapsed = (time.process_time() - start) / len(small_notes)
    rows.append(
        [
            "small note after that, at a replica and at an entry",
            f"{elapsed * 1e3:.1f} ms",
            f"{len(encoded)} B on the wire",
        ]
    )
    rows.extend(measure_commands(local_control))
    start = time.process_time()
    snapshot = local_control.state_machine.snapshot()
    elapsed = time.process_time() - start
    rows.append(
        [
            "snapshot of that state",
            f"{elapsed * 1e3:.0f} ms",
            f"{len(snapshot) / 2**20:.1f} MiB",
        ]
    )
    release = msgspec.msgpack.encode(local_control.state_machine.state.release)
    rows.append(
        [
            "full release for a new entry",
            "",
            f"{len(release) / 2**20:.1f} MiB",
        ]
    )
    return rows


def measure_commands(local_control: LocalControl) -> list[list[str]]:
    """Returns the table rows of single commands."""
    count = 2000

    def open_and_close(number: int) -> None:
        holder = "entry-1/0123456789ab"
        grant = f"{holder}/{number + 1}"
        local_control.apply(
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
        local_control.apply(wire.CloseGrant(grant=grant, holder=holder))

    rows = [
        [
            "grant opened and closed, applied",
            f"{seconds_per_call(open_and_close, count) * 1e6:.1f} us",
            "",
        ]
    ]

    def settle(number: int) -> None:
        bills = [make_bill(number * 10 + n, keyed=False) for n in range(10)]
        local_control.apply(
            wire.SettleBills(
                holder="entry-2/0123456789ab",
                sequence=number + 1,
                first=number * 10 + 1,
                bills=bills,
            )
        )

    seconds = seconds_per_call(settle, 500) / 10
    encoded_size = len(msgspec.msgpack.encode(make_bill(1, keyed=False)))
    rows.append(["bill without a key, applied", f"{seconds * 1e6:.1f} us", ""])
    rows.append(["a bill on the wire", "", f"{encoded_size} B"])

    def add_claims():
        for number in range(5000):
            local_control.apply(
                wire.ClaimCall(
                    team="team-1",
                    key=f"key-{number:032x}",
                    digest=f"{number:064x}",
                    owner=f"entry-1/0123456789ab/{number:032x}",
                )
            )

    size, _ = measure_allocation(add_claims)
    rows.append(["a claim in the state", "", f"{size / 5000:.0f} B"])

    def add_keyed_bills():
        for number in range(500):
            bills = [
                make_bill(10**6 + number * 10 + n, keyed=True)
                for n in range(10)
            ]
            local_control.apply(
                wire.SettleBills(
                    holder="entry-3/0123456789ab",
                    sequence=number + 1,
                    first=number * 10 + 1,
                    bills=bills,
                )
            )

    size, _ = measure_allocation(add_keyed_bills)
    rows.append(["a keyed bill in the state", "", f"{size / 5000:.0f} B"])
    return rows


def measure_relay() -> list[list[str]]:
    """Returns the table row of the stream scanner."""
    event = (
        b'data: {"id":"cmpl-x","object":"chat.completion.chunk","created":0,'
        b'"model":"galena-7b","choices":[{"index":0,"finish_reason":null,'
        b'"delta":{"content":"word "}}]}\n\n'
    )
    scanner = _streams.EventStreamScanner(wants_usage=False)
    seconds = seconds_per_call(lambda _: scanner.feed(event), 20_000)
    return [["an event in the scanner", f"{seconds * 1e6:.2f} us", ""]]


def main() -> None:
    """Prints the table."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    _common.print_header("slopes")
    rows = measure_relay()
    rows += measure_routing()
    rows += measure_membership()
    rows += measure_escrow()
    rows += measure_control()
    _common.print_table(["item", "CPU time", "size"], rows)


if __name__ == "__main__":
    main()
