"""Queue of the bills that an entry settles with control."""

from galenashed.protocol import control as wire

# Bounds the size of a command of the replicated log.
MAX_BATCH_BILLS = 500
# Bills that may wait while control can't be reached; some 10 MB.
MAX_WAITING_BILLS = 20_000


class BillQueue:
    """Numbers bills and sends them in numbered batches, one at a time.

    Parameters
    ----------
    holder : str
        Name of the entry incarnation that issues the bills.
    """

    __slots__ = ("_in_flight", "_waiting", "holder", "latest", "sequence")

    def __init__(self, *, holder: str):
        self.holder = holder
        # Numbers of the latest bill and of the last settled batch.
        self.latest = 0
        self.sequence = 0
        self._waiting: list[wire.Bill] = []
        self._in_flight: wire.SettleBills | None = None

    def add(self, bill: wire.Bill) -> None:
        """Queues a bill and assigns it the next number, ``latest``."""
        self._waiting.append(bill)
        self.latest += 1

    @property
    def is_waiting(self) -> bool:
        """Whether any bill is not yet acknowledged."""
        return bool(self._waiting or self._in_flight)

    @property
    def waiting(self) -> int:
        """The number of bills that were not sent yet."""
        return len(self._waiting)

    @property
    def is_full(self) -> bool:
        """Whether too many bills wait for more requests to be admitted."""
        return self.waiting >= MAX_WAITING_BILLS

    @property
    def last_settled(self) -> int:
        """Number of the latest bill that control has acknowledged."""
        waiting = len(self._waiting)
        if self._in_flight is not None:
            waiting += len(self._in_flight.bills)
        return self.latest - waiting

    @property
    def unsettled_tokens(self) -> int:
        """Tokens of the bills that are not yet acknowledged."""
        bills = list(self._waiting)
        if self._in_flight is not None:
            bills += self._in_flight.bills
        return sum(part.tokens for bill in bills for part in bill.parts)

    def settle(self) -> wire.SettleBills | None:
        """Returns the next batch of bills; None while one is in flight."""
        if self._in_flight is not None or not self._waiting:
            return None
        self._in_flight = wire.SettleBills(
            holder=self.holder,
            sequence=self.sequence + 1,
            first=self.latest - len(self._waiting) + 1,
            bills=self._waiting[:MAX_BATCH_BILLS],
        )
        del self._waiting[:MAX_BATCH_BILLS]
        return self._in_flight

    def on_settled(self, reply: wire.Settled) -> list[wire.Bill]:
        """Applies the reply to the batch in flight and returns its bills."""
        batch = self._in_flight
        assert batch is not None and reply.sequence == batch.sequence
        self._in_flight = None
        self.sequence = batch.sequence
        return batch.bills
