"""Relaying streams: processor time an event, and added delays.

Each round runs the same streams through an entry and straight to the
stand-in engines, in turn, so that both see the same machine.
"""

import argparse
import asyncio
import time

import aiohttp

from benchmarks import _common
from galenashed.tests import _fleet

ENGINES = 4
TOKEN_SECONDS = 0.043
OUTPUT_TOKENS = 100
ROUNDS = 3
IDLE_SECONDS = 5.0


class Sample:
    """What one side of a round took; times in seconds."""

    def __init__(self) -> None:
        self.first: list[float] = []
        self.between: list[float] = []
        self.events = 0
        self.cpu = 0.0


async def read_stream(
    session, address: str, text: str, sample: Sample, delay: float
):
    """Reads one stream to its end."""
    await asyncio.sleep(delay)
    body = {
        "model": _fleet.MODEL,
        "stream": True,
        "max_tokens": OUTPUT_TOKENS,
        "messages": [{"role": "user", "content": text}],
    }
    start = time.perf_counter()
    last = None
    url = f"http://{address}/v1/chat/completions"
    async with session.post(url, json=body) as resp:
        assert resp.status == 200, await resp.text()
        async for chunk in resp.content.iter_any():
            now = time.perf_counter()
            events = chunk.count(b"\n\n")
            sample.events += events
            if last is None:
                sample.first.append(now - start)
            elif events:
                sample.between.append(now - last)
            last = now


async def run_side(
    addresses: list[str], streams: int, sample: Sample, tag, spread: float
):
    """Runs all streams of one side, begun over ``spread`` seconds."""
    headers = {"Authorization": f"Bearer {_fleet.TEAM_KEY}"}
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(
        connector=connector, headers=headers
    ) as session:
        await asyncio.gather(
            *[
                read_stream(
                    session,
                    addresses[n % len(addresses)],
                    f"{tag} stream {n}",
                    sample,
                    spread * n / streams,
                )
                for n in range(streams)
            ]
        )


def measure_idle(pid: int) -> float:
    """Returns the share of a core that an idle entry takes."""
    before = _common.cpu_seconds(pid)
    time.sleep(IDLE_SECONDS)
    return (_common.cpu_seconds(pid) - before) / IDLE_SECONDS


def measure(
    fleet: _fleet.Fleet, streams: int, spread: float
) -> tuple[Sample, Sample]:
    """Returns the samples through the entry and of the direct way."""
    relayed, direct = Sample(), Sample()
    engines = [fleet.addresses[name] for name in fleet.engine_names]
    pid = fleet.processes["e1"].popen.pid
    idle = measure_idle(pid)
    for number in range(ROUNDS):
        before = _common.cpu_seconds(pid)
        start = time.perf_counter()
        entry = [fleet.addresses["e1"]]
        tag = f"r{number}"
        asyncio.run(run_side(entry, streams, relayed, tag, spread))
        relayed.cpu += _common.cpu_seconds(pid) - before
        # What an idle entry would have taken is not the streams'.
        relayed.cpu -= idle * (time.perf_counter() - start)
        tag = f"d{number}"
        asyncio.run(run_side(engines, streams, direct, tag, spread))
    return relayed, direct


def row(streams: int, relayed: Sample, direct: Sample) -> list[str]:
    """Returns a table row; delays in milliseconds."""
    cells = [str(streams)]
    cells.append(f"{relayed.cpu / relayed.events * 1e6:.0f}")
    for kind in ("first", "between"):
        for share in (0.5, 0.95, 0.99):
            ours = _common.percentile(getattr(relayed, kind), share)
            theirs = _common.percentile(getattr(direct, kind), share)
            cells.append(
                f"{theirs * 1e3:.1f} -> {ours * 1e3:.1f}"
                f" ({(ours - theirs) * 1e3:+.1f})"
            )
    return cells


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, nargs="*", default=[1, 20, 200])
    parser.add_argument(
        "--spread",
        type=float,
        default=2.0,
        help="seconds over which the streams of a round begin",
    )
    parser.add_argument(
        "--token-seconds",
        type=float,
        default=TOKEN_SECONDS,
        help="seconds between the tokens of a stream",
    )
    args = parser.parse_args()
    _common.print_head("entry_relay")
    note = _fleet.NOTE.replace("concurrency = 64", "concurrency = 1000")
    fleet = _fleet.Fleet(
        entries=1,
        engines=ENGINES,
        services=0,
        note=note,
        engine_args=(
            *("--token-seconds", str(args.token_seconds)),
            *("--output-tokens", str(OUTPUT_TOKENS)),
            *("--max-running", "1000"),
        ),
    )
    try:
        fleet.start()
        # Slow start and first grants are not what is measured.
        asyncio.run(
            run_side([fleet.addresses["e1"]], 8, Sample(), "warm-up", 0.0)
        )
        time.sleep(5.0)
        rows = [
            row(streams, *measure(fleet, streams, args.spread))
            for streams in args.streams
        ]
    finally:
        fleet.close()
    _common.print_table(
        [
            "streams",
            "entry CPU an event, us",
            "first token p50, ms",
            "p95",
            "p99",
            "between tokens p50, ms",
            "p95",
            "p99",
        ],
        rows,
    )


if __name__ == "__main__":
    main()
