"""What the replicated state keeps of requests is bounded in bytes.

Guards against paths and ids of callers that fill the memory and the disk of
every replica.
"""

import msgspec
import testtools

from galenashed import control
from galenashed.control import _state
from galenashed.protocol import control as wire

LONG_BYTES = 15_000
BILLS = 500
MAX_BYTES_PER_BILL = 700


def make_bill(number, *, keyed=False):
    text = f"{number}".rjust(LONG_BYTES, "a")
    return wire.Bill(
        id=text,
        team="rounds",
        budget="rounds",
        subject=text,
        attempt=text,
        keyed=keyed,
        prompt_tokens=100,
        output_tokens=4,
        parts=[wire.BillPart("node-1/a/1", 104)],
    )


class TestStateSize(testtools.TestCase):
    """Bills as an entry of an earlier build sends them."""

    def settle(self, bills):
        state_machine = control.ControlStateMachine()
        command = wire.SettleBills(
            holder="h/1", sequence=1, first=1, bills=bills
        )
        stamped = wire.TimestampedCommand(at=1.0, command=command)
        reply = state_machine.apply(1, msgspec.msgpack.encode(stamped))
        return state_machine, reply

    def test_bills_with_long_texts(self):
        state_machine, _ = self.settle([make_bill(n) for n in range(BILLS)])
        size = len(state_machine.snapshot())
        self.assertLess(size, BILLS * MAX_BYTES_PER_BILL)
        ids = {bill.id for bill in state_machine.state.recent_bills}
        self.assertEqual(BILLS, len(ids))

    def test_snapshot_of_an_earlier_build(self):
        state = _state.ControlState(
            recent_bills=[make_bill(n) for n in range(BILLS)]
        )
        state_machine = control.ControlStateMachine()
        state_machine.restore(1, msgspec.msgpack.encode(state))
        size = len(state_machine.snapshot())
        self.assertLess(size, BILLS * MAX_BYTES_PER_BILL)

    def test_keyed_bill_is_charged_once_by_its_whole_id(self):
        first, second = make_bill(1, keyed=True), make_bill(2, keyed=True)
        repeat = msgspec.structs.replace(first, attempt="another")
        _, reply = self.settle([first, second, repeat])
        self.assertEqual(["another"], reply.duplicates)
