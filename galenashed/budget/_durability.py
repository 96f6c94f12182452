"""Tracking of bills until they would survive a crash of their process."""

import asyncio

DURABILITY_TIMEOUT_SECONDS = 1.0


class DurabilityTracker:
    """Waits for bills, by number, to be stored by a witness or control.

    Example::

        durability = DurabilityTracker()
        durability.expect(7)
        # Returns once another task calls durability.mark_durable(7).
        await durability.wait(7)
    """

    __slots__ = ("_expected",)

    def __init__(self) -> None:
        self._expected: dict[int, asyncio.Future] = {}

    def expect(self, number: int) -> None:
        """Registers a bill that is not durable yet."""
        fut = asyncio.get_running_loop().create_future()
        self._expected[number] = fut

    def mark_durable(self, number: int) -> None:
        """Marks a bill as stored and wakes up its waiters."""
        fut = self._expected.pop(number, None)
        if fut is not None and not fut.done():
            fut.set_result(None)

    async def wait(self, number: int) -> None:
        """Waits for a registered bill to become durable, with a timeout."""
        fut = self._expected.get(number)
        if fut is not None:
            await asyncio.wait([fut], timeout=DURABILITY_TIMEOUT_SECONDS)
