"""Background tasks whose failures are logged."""

import asyncio
import typing

import loguru

LOG = loguru.logger


def start_task(coro: typing.Coroutine, name: str) -> asyncio.Task:
    """Starts a task and logs the exception that ends it, if any, at once."""
    task = asyncio.create_task(coro, name=name)
    task.add_done_callback(_log_failure)
    return task


def _log_failure(task: asyncio.Task) -> None:
    if task.cancelled():
        return
    exc = task.exception()
    if exc is not None:
        LOG.opt(exception=exc).error("task {} failed", task.get_name())
