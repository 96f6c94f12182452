"""Measures how long a note takes to be in force at all of ten entries.

Notes are published one after another.  The time until control accepts a note
and the time from then until the last entry applies it are listed separately.
With ``--kill-leader`` the leader is killed at every 20th note and restarted
at the next kill.
"""

import argparse
import asyncio
import time

from benchmarks import _common
from galenashed import config
from galenashed import control
from galenashed.protocol import control as wire
from galenashed.tests import _fleet

ENTRIES = 10
POLL_SECONDS = 0.002
TIMEOUT_SECONDS = 30.0
STATUS_TIMEOUT_SECONDS = 1.0


def make_command(folder, number: int) -> wire.PublishNote:
    """Returns the command that publishes a small note."""
    path = folder / f"bench-{number}.toml"
    path.write_text(
        f'[note]\nnumber = {number}\nauthor = "bench"\n'
        f'[[model]]\nname = "model-{number % 15}"\nversion = "{number}"\n',
        encoding="utf-8",
    )
    note = config.load_note(path).ok
    return wire.PublishNote(note=note, digest=control.compute_digest(note))


async def is_in_force(client: control.ControlClient, number: int) -> bool:
    """Whether all entries are connected and have the note in force."""
    statuses = await client.statuses(timeout=STATUS_TIMEOUT_SECONDS)
    followers = [
        follower
        for status in statuses.values()
        if status is not None
        for follower in status.followers
        if follower.connected
    ]
    names = {follower.name for follower in followers}
    return len(names) == ENTRIES and all(f.note >= number for f in followers)


async def publish_one(
    client: control.ControlClient, folder, number: int
) -> tuple[float, float]:
    """Publishes a note.

    Returns the seconds until it is accepted, and from then until it is in
    force at all entries.
    """
    command = make_command(folder, number)
    start = time.perf_counter()
    reply = await client.publish(command, timeout=TIMEOUT_SECONDS)
    assert isinstance(reply, wire.Done), reply
    accepted_at = time.perf_counter()
    while not await is_in_force(client, number):
        assert time.perf_counter() - accepted_at < TIMEOUT_SECONDS, number
        await asyncio.sleep(POLL_SECONDS)
    return accepted_at - start, time.perf_counter() - accepted_at


def measure(fleet: _fleet.Fleet, notes: int, kill_every: int):
    """Returns both durations of every note, in seconds."""
    durations: list[tuple[float, float]] = []
    killed_leader = ""
    for number in range(2, notes + 2):
        if kill_every and number % kill_every == 0:
            if killed_leader:
                fleet.processes[killed_leader].start()
                time.sleep(2.0)
            killed_leader = fleet.leader()
            fleet.processes[killed_leader].kill()
        durations.append(
            fleet.ask_control(
                lambda c, n=number: publish_one(c, fleet.folder, n)
            )
        )
    return durations


def main() -> None:
    """Runs the benchmark and prints one table row."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--notes", type=int, default=200)
    parser.add_argument("--kill-leader", action="store_true")
    args = parser.parse_args()
    _common.print_header("notes_in_force")
    fleet = _fleet.Fleet(entries=ENTRIES, engines=1, services=0)
    try:
        fleet.start()
        durations = measure(fleet, args.notes, 20 if args.kill_leader else 0)
    finally:
        fleet.close()
    cells = [str(len(durations))]
    for phase in range(2):
        values = [pair[phase] for pair in durations]
        for fraction in (0.5, 0.99, 1.0):
            seconds = _common.percentile(values, fraction)
            cells.append(f"{seconds * 1000:.0f}")
    headings = ["notes"]
    for phase_name in ("accepted", "in force after"):
        headings += [f"{phase_name} {p}, ms" for p in ("p50", "p99", "max")]
    _common.print_table(headings, [cells])


if __name__ == "__main__":
    main()
