"""Waiting until a bill outlives the process that made it."""

import asyncio

KEPT_SECONDS = 1.0


class DurabilityTracker:
    """Bills, by their numbers, that a witness or control is to keep.

    Example::

        durability = DurabilityTracker()
        durability.expect(7)
        await durability.wait(7)  # until another task calls durability.note(7)
    """

    __slots__ = ("_expected",)

    def __init__(self) -> None:
        self._expected: dict[int, asyncio.Future] = {}

    def expect(self, number: int) -> None:
        """Begins to wait for a bill."""
        fut = asyncio.get_running_loop().create_future()
        self._expected[number] = fut

    def note(self, number: int) -> None:
        """Takes the word that a bill is kept."""
        fut = self._expected.pop(number, None)
        if fut is not None and not fut.done():
            fut.set_result(None)

    async def wait(self, number: int) -> None:
        """Waits a little for a bill; not at all if it is not expected."""
        fut = self._expected.get(number)
        if fut is not None:
            await asyncio.wait([fut], timeout=KEPT_SECONDS)
