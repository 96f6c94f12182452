"""Measures the throughput of one entry, and memory before and after."""

import argparse
import asyncio
import time

import aiohttp

from benchmarks import _common
from galenashed.tests import _fleet

ENGINES = 3
CONCURRENCY = 64


async def send_all(address: str, count: int, latencies: list[float]) -> None:
    """Sends ``count`` requests with a limited number in flight."""
    remaining = iter(range(count))
    headers = {"Authorization": f"Bearer {_fleet.TEAM_KEY}"}
    url = f"http://{address}/v1/chat/completions"

    async def send_remaining(session) -> None:
        for number in remaining:
            body = {
                "model": _fleet.MODEL,
                "max_tokens": 1,
                "messages": [{"role": "user", "content": f"ask {number}"}],
            }
            start = time.perf_counter()
            async with session.post(url, json=body) as resp:
                text = await resp.read()
                assert resp.status == 200, text
            latencies.append(time.perf_counter() - start)

    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(
        connector=connector, headers=headers
    ) as session:
        await asyncio.gather(
            *[send_remaining(session) for _ in range(CONCURRENCY)]
        )


def main() -> None:
    """Runs the benchmark and prints its results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=10_000)
    parser.add_argument(
        "--entries",
        type=int,
        default=1,
        help="entries; the first gets all requests, the others are witnesses",
    )
    args = parser.parse_args()
    _common.print_header("entry_requests")
    note = _fleet.NOTE.replace("concurrency = 64", "concurrency = 1000")
    note = note.replace("tokens = 1000000", "tokens = 1000000000")
    fleet = _fleet.Fleet(
        entries=args.entries,
        engines=ENGINES,
        services=0,
        note=note,
        engine_args=("--token-seconds", "0", "--max-running", "1000"),
    )
    try:
        fleet.start()
        if args.entries > 1:
            fleet.wait_peers("e1")
        measure(fleet, args.requests)
    finally:
        fleet.close()


def measure(fleet: _fleet.Fleet, count: int) -> None:
    """Sends the requests and prints throughput, CPU time and memory."""
    names = [*fleet.entry_names, *fleet.control_names]
    pids = {name: fleet.processes[name].popen.pid for name in names}
    address = fleet.addresses["e1"]
    idle_mib = {name: _common.resident_mib(pid) for name, pid in pids.items()}
    asyncio.run(send_all(address, 1000, []))
    time.sleep(5.0)
    warm_mib = {name: _common.resident_mib(pid) for name, pid in pids.items()}
    cpu_before = {name: _common.cpu_seconds(pid) for name, pid in pids.items()}
    latencies: list[float] = []
    start = time.perf_counter()
    asyncio.run(send_all(address, count, latencies))
    elapsed = time.perf_counter() - start
    time.sleep(1.0)
    final_mib = {name: _common.resident_mib(pid) for name, pid in pids.items()}
    rows = []
    for name, pid in pids.items():
        cpu_used = _common.cpu_seconds(pid) - cpu_before[name]
        rows.append(
            [
                name,
                f"{cpu_used / elapsed:.0%}",
                f"{cpu_used / count * 1e6:.0f}",
                f"{idle_mib[name]:.1f}",
                f"{warm_mib[name]:.1f}",
                f"{final_mib[name]:.1f}",
            ]
        )
    print(f"{count} requests, {CONCURRENCY} at a time, in {elapsed:.1f} s:")
    print(f"{count / elapsed:.0f} requests per second,")
    p50, p95 = (_common.percentile(latencies, s) for s in (0.5, 0.95))
    print(f"p50 {p50 * 1e3:.1f} ms, p95 {p95 * 1e3:.1f} ms\n")
    _common.print_table(
        [
            "process",
            "share of a core",
            "CPU per request, us",
            "idle, MiB",
            "after 1,000 requests, MiB",
            f"after {count:,} more, MiB",
        ],
        rows,
    )


if __name__ == "__main__":
    main()
