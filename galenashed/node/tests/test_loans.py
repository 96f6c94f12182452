"""Loans from entries of which some are slow."""

import asyncio
import random
import time

import testtools

from galenashed.node import _loans
from galenashed.node.tests import test_token_holders
from galenashed.protocol import lending as wire
from galenashed import telemetry

SLOW_SECONDS = 0.09


class Directory:
    def __init__(self, instances):
        self.instances = instances

    def alive(self, now):
        return self.instances


class Channels:
    """Lends what is needed at once, or late at the slow lenders."""

    def __init__(self, slow):
        self.slow = slow
        self.asked = []

    def get(self, address):
        return Channel(self, address)

    async def close(self):
        pass


class Channel:
    def __init__(self, channels, address):
        self.channels = channels
        self.address = address

    async def call(self, method, loan, *, timeout):
        self.channels.asked.append(self.address)
        if self.address in self.channels.slow:
            await asyncio.sleep(SLOW_SECONDS)
        return wire.LoanReply(tokens=loan.need)


class Manager:
    def __init__(self):
        self.late = 0

    def add_loan(self, budget_name, tokens):
        self.late += tokens


class TestSlowLenders(testtools.TestCase):
    """Guards against a frozen entry that delays the answers of others."""

    def borrow(self, *, slow_count):
        """Returns tokens, seconds, entries asked, and tokens lent late."""

        async def run():
            fleet = test_token_holders.make_fleet(5)
            exchange = _loans.LoanExchange(
                name="edge-9",
                domain="a",
                directory=Directory(fleet),
                key="k",
                rng=random.Random(3),
                log=telemetry.NullDecisionLog(),
            )
            manager = Manager()
            exchange.attach(manager)
            # The lender of the same domain is asked first.
            slow = [peer.peer_address for peer in fleet[:slow_count]]
            exchange._channels = Channels(slow)
            started = time.monotonic()
            lent = await exchange.borrow("rounds", 500)
            seconds = time.monotonic() - started
            await asyncio.sleep(2 * SLOW_SECONDS)
            asked = exchange._channels.asked
            await exchange.close()
            return lent, seconds, asked, manager.late

        return asyncio.run(run())

    def test_first_answers_that_suffice_are_used(self):
        lent, seconds, asked, late = self.borrow(slow_count=1)
        self.assertGreaterEqual(lent, 500)
        self.assertLess(seconds, SLOW_SECONDS)
        self.assertEqual("10.0.0.0:2", asked[0])
        # What the slow lender has billed is not lost.
        self.assertEqual(500, late)

    def test_others_are_asked_while_the_first_do_not_answer(self):
        lent, seconds, _, late = self.borrow(slow_count=4)
        self.assertGreaterEqual(lent, 500)
        self.assertLess(seconds, SLOW_SECONDS)
        self.assertGreater(late, 0)
