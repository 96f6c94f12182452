"""Measures the CPU time per relayed event and the added latency of an entry.

Each round runs the same streams first through an entry and then directly to
the stand-in engines, so that both are measured under the same machine load.
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
IDLE_SAMPLE_SECONDS = 5.0


class Measurements:
    """Latencies, events and CPU time of one path; times in seconds."""

    def __init__(self) -> None:
        self.first_token: list[float] = []
        self.inter_token: list[float] = []
        self.events = 0
        self.cpu = 0.0


async def read_stream(
    session, address: str, text: str, measurements: Measurements, delay: float
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
    previous = None
    url = f"http://{address}/v1/chat/completions"
    async with session.post(url, json=body) as resp:
        assert resp.status == 200, await resp.text()
        async for chunk in resp.content.iter_any():
            now = time.perf_counter()
            events = chunk.count(b"\n\n")
            measurements.events += events
            if previous is None:
                measurements.first_token.append(now - start)
            elif events:
                measurements.inter_token.append(now - previous)
            previous = now


async def run_streams(
    addresses: list[str],
    streams: int,
    measurements: Measurements,
    prompt_tag,
    ramp_seconds: float,
):
    """Runs all streams of one path, started over ``ramp_seconds``."""
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
                    f"{prompt_tag} stream {n}",
                    measurements,
                    ramp_seconds * n / streams,
                )
                for n in range(streams)
            ]
        )


def measure_idle_cpu(pid: int) -> float:
    """Returns the fraction of a core that an idle process uses."""
    before = _common.cpu_seconds(pid)
    time.sleep(IDLE_SAMPLE_SECONDS)
    return (_common.cpu_seconds(pid) - before) / IDLE_SAMPLE_SECONDS


def measure(
    fleet: _fleet.Fleet, streams: int, ramp_seconds: float
) -> tuple[Measurements, Measurements]:
    """Measures the streams through the entry and directly to the engines."""
    relayed, direct = Measurements(), Measurements()
    engines = [fleet.addresses[name] for name in fleet.engine_names]
    pid = fleet.processes["e1"].popen.pid
    idle_cpu = measure_idle_cpu(pid)
    for round_number in range(ROUNDS):
        before = _common.cpu_seconds(pid)
        start = time.perf_counter()
        entry = [fleet.addresses["e1"]]
        prompt_tag = f"r{round_number}"
        asyncio.run(
            run_streams(entry, streams, relayed, prompt_tag, ramp_seconds)
        )
        relayed.cpu += _common.cpu_seconds(pid) - before
        # Subtract the CPU time that the entry uses without streams.
        relayed.cpu -= idle_cpu * (time.perf_counter() - start)
        prompt_tag = f"d{round_number}"
        asyncio.run(
            run_streams(engines, streams, direct, prompt_tag, ramp_seconds)
        )
    return relayed, direct


def make_row(
    streams: int, relayed: Measurements, direct: Measurements
) -> list[str]:
    """Returns a table row; latencies are in milliseconds."""
    cells = [str(streams)]
    cells.append(f"{relayed.cpu / relayed.events * 1e6:.0f}")
    for latency in ("first_token", "inter_token"):
        for fraction in (0.5, 0.95, 0.99):
            relayed_seconds = _common.percentile(
                getattr(relayed, latency), fraction
            )
            direct_seconds = _common.percentile(
                getattr(direct, latency), fraction
            )
            cells.append(
                f"{direct_seconds * 1e3:.1f} -> {relayed_seconds * 1e3:.1f}"
                f" ({(relayed_seconds - direct_seconds) * 1e3:+.1f})"
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
        help="seconds over which the streams of a round are started",
    )
    parser.add_argument(
        "--token-seconds",
        type=float,
        default=TOKEN_SECONDS,
        help="seconds between the tokens of a stream",
    )
    args = parser.parse_args()
    _common.print_header("entry_relay")
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
        # Warm up, so that slow start and the first grants are not measured.
        asyncio.run(
            run_streams(
                [fleet.addresses["e1"]], 8, Measurements(), "warm-up", 0.0
            )
        )
        time.sleep(5.0)
        rows = [
            make_row(streams, *measure(fleet, streams, args.spread))
            for streams in args.streams
        ]
    finally:
        fleet.close()
    _common.print_table(
        [
            "streams",
            "entry CPU per event, us",
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
