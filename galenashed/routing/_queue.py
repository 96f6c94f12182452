"""A bounded queue that is fair between teams and honours priorities."""

import heapq
import itertools
import typing


class QueueFullError(Exception):
    """The queue holds as many requests as it may."""


class FairQueue:
    """Orders waiting requests by priority, then fairly between teams.

    Fairness is by start-time fair queueing: each team has a virtual time
    that advances by ``1 / weight`` a request, and the lowest goes first.  A
    burst of one team thus waits behind single requests of others.

    Parameters
    ----------
    capacity : int
        Requests that may wait.

    Example::

        queue = FairQueue(capacity=100)
        queue.push(item, team="depot", weight=1, priority=0)
        item = queue.pop()
    """

    def __init__(self, *, capacity: int):
        self.capacity = capacity
        self._heap: list = []
        self._order = itertools.count()
        self._virtual_time = 0.0
        self._finish: dict[str, float] = {}
        self._removed: set[int] = set()
        self._tickets: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._tickets)

    def push(
        self, item: typing.Any, *, team: str, weight: int, priority: int
    ) -> None:
        """Adds a request; lower ``priority`` goes first.

        Raises QueueFullError.
        """
        if len(self) >= self.capacity:
            raise QueueFullError(f"{self.capacity} requests wait already")
        start = max(self._virtual_time, self._finish.get(team, 0.0))
        self._finish[team] = start + 1.0 / weight
        order = next(self._order)
        self._tickets[id(item)] = order
        heapq.heappush(self._heap, (priority, start, order, item))

    def remove(self, item: typing.Any) -> None:
        """Removes a request that waits no longer; no error if absent."""
        order = self._tickets.pop(id(item), None)
        if order is not None:
            self._removed.add(order)

    def peek(self) -> typing.Any:
        """Returns the next request without removing it, or None."""
        while self._heap:
            _, _, order, item = self._heap[0]
            if order not in self._removed:
                return item
            heapq.heappop(self._heap)
            self._removed.discard(order)
        return None

    def pop(self) -> typing.Any:
        """Removes and returns the next request, or None."""
        item = self.peek()
        if item is None:
            return None
        _, start, _, _ = heapq.heappop(self._heap)
        del self._tickets[id(item)]
        self._virtual_time = max(self._virtual_time, start)
        if not self._heap:
            # Nobody waits: past bursts are forgotten.
            self._finish.clear()
        return item
