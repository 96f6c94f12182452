"""Embeds the escrow in another program, without any network.

Run it with ``python examples/embed_escrow.py``.
"""

import msgspec

from galenashed import budget
from galenashed import control
from galenashed.protocol import control as wire


class LocalControl:
    """Applies commands immediately; a fleet would replicate them first."""

    def __init__(self) -> None:
        self.state_machine = control.ControlStateMachine()
        self.index = 0

    def apply(self, command: wire.Command) -> wire.Reply:
        """Applies a command and returns its reply."""
        self.index += 1
        stamped = wire.TimestampedCommand(0.0, command)
        data = msgspec.msgpack.encode(stamped)
        return self.state_machine.apply(self.index, data)


def make_note() -> wire.Note:
    """Returns a note with one team and 1,000 prepaid tokens."""
    return wire.Note(
        number=1,
        author="example",
        teams=[wire.Team(name="rounds", key_hash="0" * 64)],
        budgets=[
            wire.Budget(
                name="rounds",
                team="rounds",
                top_ups=[wire.TopUp(id="first", tokens=1000)],
            )
        ],
    )


def main() -> None:
    """Reserves tokens, bills a request and prints the remaining balance."""
    local_control = LocalControl()
    note = make_note()
    digest = control.compute_digest(note)
    local_control.apply(wire.PublishNote(note=note, digest=digest))
    policy = budget.POLICIES["overspend-first"]
    escrow = budget.Escrow(holder="program/1", policy=policy)
    command = escrow.open_grant(
        "rounds", need=200, missing=200, now=0.0, witnesses=[]
    )
    escrow.on_opened(command, local_control.apply(command), 0.0)
    reservation = escrow.reserve("rounds", 200, now=0.0)
    print(f"reserved {reservation.tokens} tokens")
    bill = wire.Bill(
        id="request-1",
        team="rounds",
        budget="rounds",
        subject="galena-7b",
        attempt="attempt-1",
        keyed=False,
        prompt_tokens=40,
        output_tokens=85,
        parts=[],
    )
    print(f"billed {escrow.bill(reservation, bill, now=1.0).tokens} tokens")
    escrow.on_settled(local_control.apply(escrow.settle()))
    query = wire.Query(kind="balance")
    balance = local_control.state_machine.query(query).balances[0]
    print(f"{balance.prepaid - balance.settled} tokens are left")


if __name__ == "__main__":
    main()
