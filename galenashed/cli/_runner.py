"""Running daemons and coroutines in an event loop."""

import asyncio
import signal
import typing

import loguru
import uvloop

LOG = loguru.logger


class Daemon(typing.Protocol):
    """Interface of the servers that :func:`run_daemon` runs."""

    async def start(self) -> None:
        """Starts to serve."""

    async def drain(self) -> None:
        """Stops gracefully, without interrupting work in progress."""

    async def wait_for_failure(self) -> None:
        """Waits until the daemon fails and raises its error; never returns."""


async def _run_until_stopped(make_daemon: typing.Callable[[], Daemon]) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    daemon = make_daemon()
    start_task = asyncio.create_task(daemon.start())
    stop_task = asyncio.create_task(stop.wait())
    await asyncio.wait(
        [start_task, stop_task], return_when=asyncio.FIRST_COMPLETED
    )
    if not start_task.done():
        start_task.cancel()
        return
    await start_task
    failure_task = asyncio.create_task(daemon.wait_for_failure())
    await asyncio.wait(
        [failure_task, stop_task], return_when=asyncio.FIRST_COMPLETED
    )
    if failure_task.done():
        await failure_task
    failure_task.cancel()
    await daemon.drain()


def run_daemon(make_daemon: typing.Callable[[], Daemon]) -> None:
    """Runs a daemon until it fails or gets SIGTERM or SIGINT.

    ``make_daemon`` is called inside the event loop.
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_run_until_stopped(make_daemon))


def run(coro: typing.Coroutine) -> typing.Any:
    """Runs a short command's coroutine and returns its result."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(coro)
