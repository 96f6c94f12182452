"""Measures a lower bound on the CPU time of relaying an event, without HTTP.

For each stream, blocks of the size of an event are copied from one connection
to another without being parsed.  The additional CPU time of an HTTP relay is
that of its libraries and its own processing.
"""

import argparse
import asyncio
import multiprocessing
import time

import uvloop

from benchmarks import _common
from galenashed.tests import _fleet

EVENTS_PER_STREAM = 100
EVENT = (
    b'data: {"choices":[{"delta":{"content":"a word"}}]}'.ljust(180) + b"\n\n"
)
RAMP_SECONDS = 2.0
ROUNDS = 3
READ_BYTES = 65536


async def serve_engine(port: int, interval: float) -> None:
    """Sends events on each connection, ``interval`` seconds apart."""

    async def send(reader, writer) -> None:
        for _ in range(EVENTS_PER_STREAM):
            await asyncio.sleep(interval)
            if writer.is_closing():
                return
            writer.write(EVENT)
        writer.close()

    server = await asyncio.start_server(send, "127.0.0.1", port)
    await server.serve_forever()


class Upstream(asyncio.Protocol):
    """Forwards received bytes to the downstream connection."""

    def __init__(self, downstream: asyncio.Transport):
        self.downstream = downstream

    def data_received(self, data: bytes) -> None:
        """Forwards the bytes."""
        if not self.downstream.is_closing():
            self.downstream.write(data)

    def connection_lost(self, exc) -> None:
        """Closes the downstream connection."""
        self.downstream.close()


async def serve_relay(port: int, engine_port: int) -> None:
    """Opens a connection to the engine for each accepted one."""
    loop = asyncio.get_running_loop()
    tasks: set[asyncio.Task] = set()

    class Downstream(asyncio.Protocol):
        def connection_made(self, transport) -> None:
            connecting = loop.create_connection(
                lambda: Upstream(transport), "127.0.0.1", engine_port
            )
            task = loop.create_task(connecting)
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    server = await loop.create_server(Downstream, "127.0.0.1", port)
    await server.serve_forever()


async def read_streams(port: int, streams: int) -> None:
    """Reads every stream to its end."""

    async def read(number: int) -> None:
        await asyncio.sleep(RAMP_SECONDS * number / streams)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        while await reader.read(READ_BYTES):
            pass
        writer.close()

    await asyncio.gather(*[read(number) for number in range(streams)])


def run_coroutine(func, *args) -> None:
    """Runs a coroutine function in this process."""
    uvloop.run(func(*args))


def is_listening(port: int) -> bool:
    """Whether a server is listening on a port."""
    try:
        asyncio.run(asyncio.wait_for(_connect(port), 1.0))
    except OSError:
        return False
    return True


async def _connect(port: int) -> None:
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.close()


def main() -> None:
    """Runs the benchmark and prints a row for each round."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, default=200)
    parser.add_argument("--token-seconds", type=float, default=0.043)
    args = parser.parse_args()
    _common.print_header("relay_floor")
    engine_port, port = _fleet.free_port(), _fleet.free_port()
    servers = [
        (serve_engine, engine_port, args.token_seconds),
        (serve_relay, port, engine_port),
    ]
    processes = [
        multiprocessing.Process(target=run_coroutine, args=server, daemon=True)
        for server in servers
    ]
    for process in processes:
        process.start()
    for server_port in (engine_port, port):
        _fleet.wait_for(lambda p=server_port: is_listening(p), "a server")
    relay_pid = processes[1].pid
    rows = []
    for round_number in range(ROUNDS):
        cpu_before = _common.cpu_seconds(relay_pid)
        start = time.perf_counter()
        uvloop.run(read_streams(port, args.streams))
        cpu_used = _common.cpu_seconds(relay_pid) - cpu_before
        cpu_per_event = cpu_used / (args.streams * EVENTS_PER_STREAM) * 1e6
        elapsed = time.perf_counter() - start
        rows.append(
            [str(round_number + 1), f"{cpu_per_event:.0f}", f"{elapsed:.1f}"]
        )
    _common.print_table(["round", "CPU per event, us", "elapsed, s"], rows)
    for process in processes:
        process.terminate()


if __name__ == "__main__":
    main()
