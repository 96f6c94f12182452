"""Grants of an entry that other entries need tokens of."""

import testtools

from galenashed import budget
from galenashed.budget import _placement
from galenashed.budget.tests import test_scarce_budgets
from galenashed.budget.tests import test_standby
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


class Entry(test_scarce_budgets.Entry):
    """An entry that keeps tokens for its own requests when it is recalled."""

    keeps = True

    def commit(self, command):
        self.state_machine = self.ledger.state_machine
        self.index = self.ledger.index
        reply = test_standby.Entry.commit(self, command)
        self.ledger.index = self.index
        if isinstance(reply, wire.Short):
            for peer in self.peers:
                kept = 0
                if self.keeps:
                    kept = _placement.kept_when_recalled(
                        peer.escrow.accounts.get(TEAM), peer.now
                    )
                for shrink in peer.escrow.recall(TEAM, kept):
                    peer.send(shrink, lambda reply: None)
        return reply


class ReturningEntry(Entry):
    """An entry that returns all tokens, as before."""

    keeps = False


class TestKeptTokens(testtools.TestCase):
    """A team whose total is nearly used up, and hot at all entries."""

    def play(self, entry_class, seed):
        """Returns requests refused while tokens last, and settled tokens."""
        ledger = test_scarce_budgets.Ledger()
        fleet = [
            entry_class(seed * 10 + number, place=f"p{number}", ledger=ledger)
            for number in range(test_scarce_budgets.ENTRIES)
        ]
        for entry in fleet:
            entry.peers = [peer for peer in fleet if peer is not entry]
        test_scarce_budgets.run_until_spent(fleet, 0.6)
        for entry in fleet:
            entry.refused = 0
        test_scarce_budgets.run_until_spent(fleet, 0.95)
        refused = sum(entry.refused for entry in fleet)
        for _ in range(2_000):
            for entry in fleet:
                entry.step()
        settled = ledger.state_machine.budget_totals()["settled"]
        return refused, settled

    def test_recalled_entries_serve_their_own_requests(self):
        """Guards against recalls that make all entries run short at once."""
        kept = returned = 0
        for seed in range(5):
            refused, settled = self.play(Entry, seed)
            self.assertLessEqual(settled, test_scarce_budgets.PREPAID)
            kept += refused
            returned += self.play(ReturningEntry, seed)[0]
        self.assertLess(kept, returned)
