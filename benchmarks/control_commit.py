"""Measures commit latency, throughput and failover of the replicated log.

Latency depends on the disk, so it is also printed as a ratio to the time of
one synced write plus one round trip, measured in the same run.
"""

import argparse
import asyncio
import os
import statistics
import time

from benchmarks import _common
from galenashed import control
from galenashed.protocol import control as wire
from galenashed.protocol import methods
from galenashed.protocol import rpc
from galenashed.tests import _fleet

SEQUENTIAL_COMMANDS = 500
COMMANDS_IN_FLIGHT = 256
CONCURRENT_COMMANDS = 20_000
LEADER_KILLS = 5


def measure_synced_write(folder) -> float:
    """Returns the median seconds of a 200-byte write with fdatasync."""
    samples = []
    fd = os.open(folder / "probe", os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    for _ in range(300):
        start = time.perf_counter()
        os.write(fd, b"x" * 200)
        os.fdatasync(fd)
        samples.append(time.perf_counter() - start)
    os.close(fd)
    return statistics.median(samples)


async def measure_round_trip(address: str) -> float:
    """Returns the median seconds of a call that proposes no commands."""
    channel = rpc.Channel(address=address, key=_fleet.PEER_KEY)
    samples = []
    for _ in range(300):
        start = time.perf_counter()
        await channel.call(methods.PROPOSE, [], timeout=5.0)
        samples.append(time.perf_counter() - start)
    await channel.close()
    return statistics.median(samples)


async def commit_sequentially(client) -> list[float]:
    """Returns the commit latencies of commands sent one after another."""
    samples = []
    for _ in range(SEQUENTIAL_COMMANDS):
        start = time.perf_counter()
        await client.propose(wire.Barrier(), timeout=10.0)
        samples.append(time.perf_counter() - start)
    return samples


async def commit_concurrently(client, count: int) -> float:
    """Returns the commands per second with many in flight."""
    remaining = iter(range(count))

    async def propose_remaining() -> None:
        for _ in remaining:
            await client.propose(wire.Barrier(), timeout=30.0)

    start = time.perf_counter()
    await asyncio.gather(
        *[propose_remaining() for _ in range(COMMANDS_IN_FLIGHT)]
    )
    return count / (time.perf_counter() - start)


async def measure_failover(fleet, client) -> float:
    """Kills the leader; returns the seconds until the next commit."""
    leader = await asyncio.to_thread(fleet.leader)
    fleet.processes[leader].kill()
    start = time.perf_counter()
    await client.propose(wire.Barrier(), timeout=30.0)
    outage = time.perf_counter() - start
    fleet.processes[leader].start()
    # All three replicas must be up again before the next kill.
    while not await are_replicas_in_sync(client):
        await asyncio.sleep(0.1)
    return outage


async def are_replicas_in_sync(client) -> bool:
    """Whether all replicas answer and have applied the same index."""
    statuses = (await client.statuses(timeout=1.0)).values()
    if any(status is None for status in statuses):
        return False
    return len({status.applied for status in statuses}) == 1


async def measure(fleet: _fleet.Fleet) -> None:
    """Prints the tables."""
    addresses = {name: fleet.addresses[name] for name in fleet.control_names}
    client = control.ControlClient(replicas=addresses, key=_fleet.PEER_KEY)
    await client.start()
    await commit_concurrently(client, 1000)
    leader = await asyncio.to_thread(fleet.leader)
    write_seconds = measure_synced_write(fleet.folder)
    round_trip_seconds = await measure_round_trip(addresses[leader])
    latencies = await commit_sequentially(client)
    pids = {n: fleet.processes[n].popen.pid for n in fleet.control_names}
    cpu_before = {n: _common.cpu_seconds(pid) for n, pid in pids.items()}
    rate = await commit_concurrently(client, CONCURRENT_COMMANDS)
    cpu_used = {
        n: _common.cpu_seconds(p) - cpu_before[n] for n, p in pids.items()
    }
    follower_cpu = [cpu_used[n] for n in pids if n != leader]
    p50, p95 = (_common.percentile(latencies, s) for s in (0.5, 0.95))
    expected = write_seconds + round_trip_seconds
    _common.print_table(
        ["figure", "value"],
        [
            ["synced write, p50", f"{write_seconds * 1e3:.3f} ms"],
            ["round trip, p50", f"{round_trip_seconds * 1e3:.3f} ms"],
            ["commit, p50", f"{p50 * 1e3:.3f} ms"],
            ["commit, p95", f"{p95 * 1e3:.3f} ms"],
            ["commit p50 / (write + round trip)", f"{p50 / expected:.2f}"],
            ["commit p95 / (write + round trip)", f"{p95 / expected:.2f}"],
            [
                f"commands per second, {COMMANDS_IN_FLIGHT} in flight",
                f"{rate:.0f}",
            ],
            [
                "leader CPU per command",
                f"{cpu_used[leader] / CONCURRENT_COMMANDS * 1e6:.0f} us",
            ],
            [
                "follower CPU per command, max",
                f"{max(follower_cpu) / CONCURRENT_COMMANDS * 1e6:.0f} us",
            ],
        ],
    )
    await print_idle_usage(fleet, pids, leader)
    outages = [
        await measure_failover(fleet, client) for _ in range(LEADER_KILLS)
    ]
    formatted = ", ".join(f"{outage:.2f}" for outage in sorted(outages))
    print(f"failover after kill -9, {LEADER_KILLS} runs: {formatted} s\n")
    await client.close()


async def print_idle_usage(fleet, pids, leader: str) -> None:
    """Prints the CPU and memory usage of idle replicas."""
    await asyncio.sleep(2.0)
    cpu_before = {n: _common.cpu_seconds(pid) for n, pid in pids.items()}
    await asyncio.sleep(10.0)
    rows = [
        [
            name + (" (leader)" if name == leader else ""),
            f"{(_common.cpu_seconds(pid) - cpu_before[name]) / 10.0:.2%}",
            f"{_common.resident_mib(pid):.1f}",
        ]
        for name, pid in pids.items()
    ]
    print("idle, without entries:\n")
    _common.print_table(["replica", "share of a core", "resident, MiB"], rows)


def main() -> None:
    """Runs the benchmark and prints its tables."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    _common.print_header("control_commit")
    fleet = _fleet.Fleet(entries=0, engines=0, services=0)
    try:
        fleet.start()
        asyncio.run(measure(fleet))
    finally:
        fleet.close()


if __name__ == "__main__":
    main()
