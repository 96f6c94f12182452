"""Running a daemon until it is told to stop."""

import asyncio
import signal
import typing

import loguru
import uvloop

LOG = loguru.logger


class Daemon(typing.Protocol):
    """What :func:`run_daemon` runs."""

    async def start(self) -> None:
        """Starts to serve."""

    async def drain(self) -> None:
        """Stops without cutting anything off."""

    async def wait_failed(self) -> None:
        """Returns never, or raises when the daemon can't go on."""


async def _serve(make: typing.Callable[[], Daemon]) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    daemon = make()
    start = asyncio.create_task(daemon.start())
    stopped = asyncio.create_task(stop.wait())
    await asyncio.wait([start, stopped], return_when=asyncio.FIRST_COMPLETED)
    if not start.done():
        start.cancel()
        return
    await start
    failed = asyncio.create_task(daemon.wait_failed())
    await asyncio.wait([failed, stopped], return_when=asyncio.FIRST_COMPLETED)
    if failed.done():
        await failed
    failed.cancel()
    await daemon.drain()


def run_daemon(make: typing.Callable[[], Daemon]) -> None:
    """Runs what ``make`` returns, made inside the loop, until SIGTERM."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(make))


def run(coro: typing.Coroutine) -> typing.Any:
    """Runs a short command's coroutine."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(coro)
