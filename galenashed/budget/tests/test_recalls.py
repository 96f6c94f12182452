"""Grants of an entry that other entries need tokens of."""

import testtools

from galenashed import budget
from galenashed.protocol import control as wire

TEAM = "rounds"


def make_escrow():
    return budget.Escrow(
        holder="node-1/a", policy=budget.POLICIES["cut-tolerant"]
    )


def open_grant(escrow, amount, now, *, need=1):
    command = escrow.open_grant(
        TEAM, need=need, missing=amount, now=now, witnesses=[], exact=True
    )
    escrow.on_opened(
        command, wire.Granted(grant=command.grant, amount=amount), now
    )
    return command.grant


class TestRecalls(testtools.TestCase):
    """A team that is hot at several entries while its tokens are scarce."""

    def test_limits_of_new_grants_are_raised_after_a_recall(self):
        """Guards against requests that wait for limits nobody raises.

        The grant that was shrunk stays open while a stream uses it.
        """
        escrow = make_escrow()
        first = open_grant(escrow, 30_000, 0.0)
        escrow.raise_limits(TEAM, 20_000, 0.0)
        escrow.on_limits_announced(escrow.limits())
        self.assertIsNotNone(escrow.reserve(TEAM, 2_000, 0.1))
        commands = escrow.recall(TEAM)
        self.assertEqual(
            [(first, 2_000)], [(c.grant, c.amount) for c in commands]
        )
        second = open_grant(escrow, 10_000, 0.2)
        escrow.raise_limits(TEAM, 5_000, 0.2)
        self.assertGreaterEqual(escrow.limits()[second], 5_000)
