"""The bills of an entry on their way to control."""

from galenashed.protocol import control as wire


class BillQueue:
    """Numbers bills and sends them in numbered batches, one at a time.

    Parameters
    ----------
    holder : str
        The incarnation whose bills these are.
    """

    __slots__ = ("_in_flight", "_waiting", "holder", "latest", "sequence")

    def __init__(self, *, holder: str):
        self.holder = holder
        # The numbers of the latest bill and of the last settled batch.
        self.latest = 0
        self.sequence = 0
        self._waiting: list[wire.Bill] = []
        self._in_flight: wire.SettleBills | None = None

    def add(self, bill: wire.Bill) -> None:
        """Takes a bill; its number is ``latest`` from now on."""
        self._waiting.append(bill)
        self.latest += 1

    @property
    def is_waiting(self) -> bool:
        """Whether any bill has not been acknowledged."""
        return bool(self._waiting or self._in_flight)

    @property
    def settled(self) -> int:
        """The number of the latest bill that control has."""
        waiting = len(self._waiting)
        if self._in_flight is not None:
            waiting += len(self._in_flight.bills)
        return self.latest - waiting

    def settle(self) -> wire.SettleBills | None:
        """Returns the next batch of bills; None while one is under way."""
        if self._in_flight is not None or not self._waiting:
            return None
        self._in_flight = wire.SettleBills(
            holder=self.holder,
            sequence=self.sequence + 1,
            first=self.latest - len(self._waiting) + 1,
            bills=self._waiting,
        )
        self._waiting = []
        return self._in_flight

    def on_settled(self, reply: wire.Settled) -> list[wire.Bill]:
        """Takes the answer to a batch; returns the bills in it."""
        batch = self._in_flight
        assert batch is not None and reply.sequence == batch.sequence
        self._in_flight = None
        self.sequence = batch.sequence
        return batch.bills
