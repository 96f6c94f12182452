"""The least that passing events on can take here, without any HTTP.

Bytes of the size of an event come in on one connection each stream and go
out on another; nothing looks at them.  What a relay that speaks HTTP takes
beyond this is the price of its libraries and its own work.
"""

import argparse
import asyncio
import multiprocessing
import time

import uvloop

from benchmarks import _common
from galenashed.tests import _fleet

EVENTS = 100
EVENT = (
    b'data: {"choices":[{"delta":{"content":"a word"}}]}'.ljust(180) + b"\n\n"
)
SPREAD_SECONDS = 2.0
ROUNDS = 3
READ_BYTES = 65536


async def serve_engine(port: int, gap: float) -> None:
    """Sends each connection its events, ``gap`` seconds apart."""

    async def send(reader, writer) -> None:
        for _ in range(EVENTS):
            await asyncio.sleep(gap)
            if writer.is_closing():
                return
            writer.write(EVENT)
        writer.close()

    server = await asyncio.start_server(send, "127.0.0.1", port)
    await server.serve_forever()


class Upstream(asyncio.Protocol):
    """Writes what comes in to the other connection."""

    def __init__(self, downstream: asyncio.Transport):
        self.downstream = downstream

    def data_received(self, data: bytes) -> None:
        """Passes bytes on."""
        if not self.downstream.is_closing():
            self.downstream.write(data)

    def connection_lost(self, exc) -> None:
        """Passes the end on."""
        self.downstream.close()


async def serve_relay(port: int, engine_port: int) -> None:
    """Connects each connection to the engine."""
    loop = asyncio.get_running_loop()
    tasks: set[asyncio.Task] = set()

    class Downstream(asyncio.Protocol):
        def connection_made(self, transport) -> None:
            connected = loop.create_connection(
                lambda: Upstream(transport), "127.0.0.1", engine_port
            )
            task = loop.create_task(connected)
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    server = await loop.create_server(Downstream, "127.0.0.1", port)
    await server.serve_forever()


async def read_streams(port: int, streams: int) -> None:
    """Reads every stream to its end."""

    async def read(number: int) -> None:
        await asyncio.sleep(SPREAD_SECONDS * number / streams)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        while await reader.read(READ_BYTES):
            pass
        writer.close()

    await asyncio.gather(*[read(number) for number in range(streams)])


def run(work, *args) -> None:
    """Runs a coroutine function in this process."""
    uvloop.run(work(*args))


def is_open(port: int) -> bool:
    """Whether something listens on a port."""
    try:
        asyncio.run(asyncio.wait_for(_connect(port), 1.0))
    except OSError:
        return False
    return True


async def _connect(port: int) -> None:
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.close()


def main() -> None:
    """Prints a row for each round."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, default=200)
    parser.add_argument("--token-seconds", type=float, default=0.043)
    args = parser.parse_args()
    _common.print_head("relay_floor")
    engine_port, port = _fleet.free_port(), _fleet.free_port()
    parts = [
        (serve_engine, engine_port, args.token_seconds),
        (serve_relay, port, engine_port),
    ]
    processes = [
        multiprocessing.Process(target=run, args=part, daemon=True)
        for part in parts
    ]
    for process in processes:
        process.start()
    for opened in (engine_port, port):
        _fleet.wait_for(lambda p=opened: is_open(p), "a server")
    relay = processes[1].pid
    rows = []
    for number in range(ROUNDS):
        before = _common.cpu_seconds(relay)
        start = time.perf_counter()
        uvloop.run(read_streams(port, args.streams))
        took = _common.cpu_seconds(relay) - before
        cost = took / (args.streams * EVENTS) * 1e6
        wall = time.perf_counter() - start
        rows.append([str(number + 1), f"{cost:.0f}", f"{wall:.1f}"])
    _common.print_table(["round", "CPU an event, us", "wall, s"], rows)
    for process in processes:
        process.terminate()


if __name__ == "__main__":
    main()
