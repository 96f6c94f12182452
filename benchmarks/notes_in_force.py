"""Time from accepted to in force at the last of ten real entries.

Notes are published one after another.  With ``--kill-leader`` the leader
is killed while they are, and started again.
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
WAIT_SECONDS = 30.0
STATUS_SECONDS = 1.0


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


async def in_force(client: control.ControlClient, number: int) -> bool:
    """Whether every entry that is connected has the note in force."""
    statuses = await client.statuses(timeout=STATUS_SECONDS)
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
    """Returns the seconds until accepted, and from then until in force."""
    command = make_command(folder, number)
    start = time.perf_counter()
    reply = await client.publish(command, timeout=WAIT_SECONDS)
    assert isinstance(reply, wire.Done), reply
    accepted = time.perf_counter()
    while not await in_force(client, number):
        assert time.perf_counter() - accepted < WAIT_SECONDS, number
        await asyncio.sleep(POLL_SECONDS)
    return accepted - start, time.perf_counter() - accepted


def measure(fleet: _fleet.Fleet, notes: int, kill_every: int):
    """Returns the two durations of every note, in seconds."""
    samples: list[tuple[float, float]] = []
    down = ""
    for number in range(2, notes + 2):
        if kill_every and number % kill_every == 0:
            if down:
                fleet.processes[down].start()
                time.sleep(2.0)
            down = fleet.leader()
            fleet.processes[down].kill()
        samples.append(
            fleet.ask_control(
                lambda c, n=number: publish_one(c, fleet.folder, n)
            )
        )
    return samples


def main() -> None:
    """Prints a row."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--notes", type=int, default=200)
    parser.add_argument("--kill-leader", action="store_true")
    args = parser.parse_args()
    _common.print_head("notes_in_force")
    fleet = _fleet.Fleet(entries=ENTRIES, engines=1, services=0)
    try:
        fleet.start()
        samples = measure(fleet, args.notes, 20 if args.kill_leader else 0)
    finally:
        fleet.close()
    cells = [str(len(samples))]
    for part in range(2):
        values = [sample[part] for sample in samples]
        for share in (0.5, 0.99, 1.0):
            seconds = _common.percentile(values, share)
            cells.append(f"{seconds * 1000:.0f}")
    headings = ["notes"]
    for what in ("accepted", "in force after"):
        headings += [f"{what} {p}, ms" for p in ("p50", "p99", "max")]
    _common.print_table(headings, [cells])


if __name__ == "__main__":
    main()
