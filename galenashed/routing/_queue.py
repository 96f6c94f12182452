"""Bounded priority queue with fair queueing between teams."""

import heapq
import itertools
import typing


class QueueFullError(Exception):
    """Raised when the queue is at capacity."""


class FairQueue:
    """Orders waiting requests by priority, then fairly between teams.

    Uses start-time fair queueing: the virtual time of a team advances by
    ``1 / weight`` for each request, and the request with the lowest start
    time goes first.  A burst of one team therefore waits behind single
    requests of other teams.

    Parameters
    ----------
    capacity : int
        Maximum number of waiting requests.

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
        self._finish_times: dict[str, float] = {}
        self._removed: set[int] = set()
        self._order_by_id: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._order_by_id)

    def push(
        self, item: typing.Any, *, team: str, weight: int, priority: int
    ) -> None:
        """Adds a request; lower values of ``priority`` go first.

        Raises QueueFullError if the queue is at capacity.
        """
        if len(self) >= self.capacity:
            raise QueueFullError(f"{self.capacity} requests wait already")
        start = max(self._virtual_time, self._finish_times.get(team, 0.0))
        self._finish_times[team] = start + 1.0 / weight
        order = next(self._order)
        self._order_by_id[id(item)] = order
        heapq.heappush(self._heap, (priority, start, order, item))

    def remove(self, item: typing.Any) -> None:
        """Removes a request; does nothing if it is not in the queue."""
        order = self._order_by_id.pop(id(item), None)
        if order is not None:
            self._removed.add(order)

    def peek(self) -> typing.Any:
        """Returns the next request without removing it, None if empty."""
        while self._heap:
            _, _, order, item = self._heap[0]
            if order not in self._removed:
                return item
            heapq.heappop(self._heap)
            self._removed.discard(order)
        return None

    def pop(self) -> typing.Any:
        """Removes and returns the next request, None if empty."""
        item = self.peek()
        if item is None:
            return None
        _, start, _, _ = heapq.heappop(self._heap)
        del self._order_by_id[id(item)]
        self._virtual_time = max(self._virtual_time, start)
        if not self._heap:
            # The queue is empty, so past bursts no longer count.
            self._finish_times.clear()
        return item
