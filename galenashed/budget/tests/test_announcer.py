"""Announced limits under kills, cuts, late commands and jumping clocks.

Holders spend by the real escrow and announcer against the real control
state; links lose, delay and reorder what is sent.  ``GALENASHED_SEEDS`` sets
how many histories are run.
"""

import os
import random
from unittest import mock

import msgspec
import testtools

from galenashed import budget
from galenashed.budget import _announcer
from galenashed.budget.tests import _bills
from galenashed import control
from galenashed.control import _budgets
from galenashed.protocol import control as wire
from galenashed.protocol import routes

SEEDS = int(os.environ.get("GALENASHED_SEEDS", "60"))
TEAM = "rounds"
PREPAID = 60_000
STEP_SECONDS = 0.1
STEPS = 600
# Clocks of a machine may jump by this much, in seconds.
CLOCK_JUMP_SECONDS = 2.0


class Holder:
    """One process at a place, with its machine's clocks."""

    def __init__(self, *, place, number, announcer):
        self.place = place
        self.escrow = budget.Escrow(
            holder=f"{place}/{number}", policy=budget.POLICIES["cut-tolerant"]
        )
        self.announcer = announcer
        self.contact_until = 0.0
        self.running = []


class History:
    """One seeded history; ``spent`` counts what requests really used."""

    def __init__(self, *, seed, make_announcer, places=3):
        self.rng = random.Random(seed)
        self.make_announcer = make_announcer
        self.state_machine = control.ControlStateMachine()
        self.index = 0
        self.now = 100.0
        self.spent = 0
        self.refused = 0
        self.cut = {}
        self.clock = dict.fromkeys(range(places), 0.0)
        self.mail = []
        self.holders = {}
        self.commit(
            wire.ReplaceRoutes(
                table=routes.RoutingTable(
                    version=1,
                    teams=[
                        routes.KeyedTeam(
                            name=TEAM, key_hashes=[], prepaid=PREPAID
                        )
                    ],
                ),
                source=b"",
            )
        )
        for place in range(places):
            self.start(place, 0)

    def commit(self, command):
        self.index += 1
        stamped = wire.Stamped(at=self.now, command=command)
        reply = self.state_machine.apply(
            self.index, msgspec.msgpack.encode(stamped)
        )
        self.state_machine.check_invariant()
        return reply

    def wall(self, place):
        return self.now + self.clock[place]

    def start(self, place, number):
        holder = Holder(
            place=f"node-{place}",
            number=number,
            announcer=self.make_announcer(),
        )
        self.holders[place] = holder
        self.send(
            place,
            wire.SucceedHolder(
                place=holder.place,
                holder=holder.escrow.holder,
                started_at=self.wall(place),
            ),
            lambda reply: None,
            sure=True,
        )

    def control_reachable(self, place):
        return self.now < self.holders[place].contact_until

    def send(self, place, command, on_reply, sure=False):
        """Carries a command to control and its reply back, or loses it."""
        delay = self.rng.choice([0.0, 0.1, 0.1, 0.5])
        if self.now < self.cut.get(place, 0.0):
            # Held up by the cut: it may still arrive after it.
            delay += self.cut[place] - self.now
            if self.rng.random() < 0.5 and not sure:
                return
        lost = self.rng.random() < 0.1
        self.mail.append(
            (self.now + delay, self.holders[place], command, on_reply, lost)
        )

    def deliver(self):
        due = [item for item in self.mail if item[0] <= self.now]
        self.mail = [item for item in self.mail if item[0] > self.now]
        self.rng.shuffle(due)
        for _, holder, command, on_reply, lost in due:
            reply = self.commit(command)
            alive = holder in self.holders.values()
            if alive and not lost:
                on_reply(reply)

    def announce(self, place):
        holder = self.holders[place]
        announcer, escrow = holder.announcer, holder.escrow
        contact = self.control_reachable(place)
        if announcer.may_lift(now=self.now, control_reachable=contact):
            announcer.lifted = True
            escrow.lift_limits()
        if not escrow.limits():
            return
        if not announcer.is_due(now=self.now, control_reachable=contact):
            return
        if announcer.lifted:
            escrow.lower_limits(self.now)
        command = wire.Holding(
            holder=escrow.holder,
            sent_at=self.wall(place),
            limits=escrow.limits(),
        )
        announcer.on_sent(now=self.now)
        sent = self.now

        def on_reply(reply):
            if self.now - sent < 1.0:
                announcer.on_answer(now=self.now, heard=True)
                escrow.on_announced(command.limits)

        self.send(place, command, on_reply)

    def expire_answers(self, place):
        announcer = self.holders[place].announcer
        sent = announcer._last_sent
        if announcer._on_its_way and self.now - sent >= 1.0:
            announcer.on_answer(now=self.now, heard=False)

    def serve(self, place):
        """Begins and ends requests, and asks for more tokens."""
        holder = self.holders[place]
        escrow = holder.escrow
        tokens = self.rng.choice([50, 200, 900])
        reservation = escrow.reserve(TEAM, tokens, self.now)
        if reservation is not None:
            holder.running.append((reservation, tokens))
            # A target reads the prompt from now on.
            self.spent += tokens
        else:
            self.refused += 1
            if escrow.hold(TEAM, tokens, self.now):
                holder.announcer.hasten()
            self.open(place, tokens)
            self.borrow(place, tokens)
        if holder.running and self.rng.random() < 0.6:
            done, used = holder.running.pop(0)
            escrow.bill(done, _bills.make_bill(TEAM, used), self.now)
        batch = escrow.settle()
        if batch is not None:
            self.send(
                place,
                batch,
                lambda reply: (
                    escrow.on_settled(reply)
                    if isinstance(reply, wire.Settled)
                    else None
                ),
                sure=True,
            )

    def borrow(self, place, need):
        """Asks another holder; what it gives may be lost on the way."""
        other = self.rng.choice([p for p in self.holders if p != place])
        lender = self.holders[other].escrow
        borrower = self.holders[place].escrow
        given = lender.lend(TEAM, need, borrower.holder, self.now)
        if given and self.rng.random() < 0.9:
            borrower.on_borrowed(TEAM, given, self.now)

    def open(self, place, need):
        escrow = self.holders[place].escrow
        command = escrow.open_grant(
            TEAM, need=need, missing=need, now=self.now, witnesses=[]
        )
        if command is not None:
            self.send(
                place,
                command,
                lambda reply: escrow.on_opened(command, reply, self.now),
            )

    def step(self):
        self.now += STEP_SECONDS
        self.deliver()
        for place, holder in list(self.holders.items()):
            if self.now >= self.cut.get(place, 0.0):
                holder.contact_until = self.now + 1.5
            self.expire_answers(place)
            self.serve(place)
            self.announce(place)
            self.break_something(place)

    def break_something(self, place):
        roll = self.rng.random()
        if roll < 0.01:
            self.cut[place] = self.now + self.rng.uniform(1.0, 9.0)
        elif roll < 0.015:
            # Away from the true time, or back to it.
            jump = self.rng.uniform(-CLOCK_JUMP_SECONDS, CLOCK_JUMP_SECONDS)
            self.clock[place] = 0.0 if self.clock[place] else jump
        elif roll < 0.02:
            number = self.holders[place].escrow.holder.rpartition("/")[2]
            self.now += self.rng.choice([0.0, 0.3, 1.0])
            self.start(place, int(number) + 1)

    def run(self):
        for _ in range(STEPS):
            self.step()
            if self.spent > PREPAID:
                return


class TestAnnouncedLimits(testtools.TestCase):
    """Spend stays within what is prepaid."""

    def test_no_history_overspends(self):
        for seed in range(SEEDS):
            history = History(seed=seed, make_announcer=_announcer.Announcer)
            history.run()
            self.assertLessEqual(history.spent, PREPAID, f"seed {seed}")

    def assert_noticed(self, make_announcer):
        for seed in range(SEEDS):
            history = History(seed=seed, make_announcer=make_announcer)
            history.run()
            if history.spent > PREPAID:
                return
        self.fail("no seed showed the fault")

    def test_trusting_a_long_silent_holder_is_noticed(self):
        with mock.patch.object(_budgets, "SUCCESSION_SECONDS", 60.0):
            self.assert_noticed(_announcer.Announcer)

    def test_most_of_the_budget_is_spent(self):
        # Without succession each kill strands a grant for good.
        spent = []
        for seed in range(SEEDS):
            history = History(seed=seed, make_announcer=_announcer.Announcer)
            history.run()
            spent.append(history.spent)
        self.assertGreater(sum(spent) / len(spent), 0.5 * PREPAID)


class TestAnnouncer(testtools.TestCase):
    """Single rules of the announcer."""

    def test_holder_in_contact_never_lifts(self):
        announcer = _announcer.Announcer()
        announcer.on_sent(now=0.0)
        self.assertFalse(announcer.may_lift(now=60.0, control_reachable=True))

    def test_lifts_only_after_the_bound_since_it_last_tried(self):
        announcer = _announcer.Announcer()
        announcer.on_sent(now=10.0)
        bound = 10.0 + _announcer.CUT_SECONDS
        self.assertFalse(
            announcer.may_lift(now=bound, control_reachable=False)
        )
        self.assertTrue(
            announcer.may_lift(now=bound + 0.1, control_reachable=False)
        )

    def test_one_announcement_at_a_time(self):
        announcer = _announcer.Announcer()
        announcer.on_sent(now=0.0)
        announcer.hasten()
        self.assertFalse(announcer.is_due(now=9.0, control_reachable=True))
        announcer.on_answer(now=9.0, heard=True)
        self.assertTrue(announcer.is_due(now=9.0, control_reachable=True))
