"""News among emulated entries, over links that come late or lose messages."""

import random

import testtools

from galenashed.gossip import _core
from galenashed import membership
from galenashed.protocol import spread as wire

PERIOD = 0.5
GAP = 0.05


def target(name, sequence=1, state="ready"):
    return wire.Target(
        name=name,
        incarnation="1",
        started=0.0,
        sequence=sequence,
        service="s",
        address=name,
        failure_domain="east",
        state=state,
        slots=1,
    )


class Entry:
    """One entry; rounds come every period, and soon after urgent news."""

    def __init__(self, number, seeds, started):
        self.address = f"10.0.0.{number:03}"
        self.started = started
        self.sequence = 0
        self.next_round = started
        self.last_round = started
        self.instances = membership.Directory(lease=2.5)
        self.targets = membership.Directory(lease=3.6)
        self.core = _core.Gossip(
            name=self.address,
            instances=self.instances,
            targets=self.targets,
            seeds=seeds,
            on_change=lambda target: None,
            rng=random.Random(number),
        )

    def describe(self):
        self.sequence += 1
        return wire.Instance(
            name=self.address,
            incarnation="1",
            started=self.started,
            sequence=self.sequence,
            address=self.address,
            peer_address=self.address,
            failure_domain="east",
        )


class Net:
    """Entries that start within ``spread`` seconds of each other.

    A link loses everything for ``making`` seconds after its first message.
    """

    def __init__(self, count, *, spread=0.3, making=0.0, seed=1):
        rng = random.Random(seed)
        addresses = [f"10.0.0.{n:03}" for n in range(3)]
        self.entries = [
            Entry(n, addresses, rng.random() * spread) for n in range(count)
        ]
        self.by_address = {entry.address: entry for entry in self.entries}
        self.making = making
        self.now = 0.0
        self.cut = set()
        self.sent = 0
        self._links = {}
        self._flying = []

    def run(self, until):
        """Plays on in steps of 10 ms."""
        while self.now < until:
            self.now = round(self.now + 0.01, 6)
            flying, self._flying = self._flying, []
            for address, message in flying:
                entry = self.by_address[address]
                if self.now >= entry.started:
                    entry.core.receive(message, self.now)
            for entry in self.entries:
                self._maybe_round(entry)

    def _maybe_round(self, entry):
        if entry.core.urgent:
            soon = max(self.now, entry.last_round + GAP)
            entry.next_round = min(entry.next_round, soon)
        if self.now < max(entry.next_round, entry.started):
            return
        entry.last_round = self.now
        entry.next_round = self.now + PERIOD
        for address, message in entry.core.round(entry.describe(), self.now):
            self.sent += 1
            if self._carries(entry.address, address):
                self._flying.append((address, message))

    def _carries(self, sender, receiver):
        other = self.by_address[receiver]
        if receiver in self.cut or sender in self.cut:
            return False
        if self.now < other.started:
            return False
        made = self._links.setdefault((sender, receiver), self.now)
        return self.now >= made + self.making

    def knowing(self, name):
        return sum(
            name in {item.name for item in entry.targets.alive(self.now)}
            for entry in self.entries
        )


class TestGossip(testtools.TestCase):
    """What all entries know, and how soon."""

    def test_all_start_at_once_while_links_are_made(self):
        for seed in range(5):
            net = Net(10, making=0.4, seed=seed)
            net.run(0.4)
            for n in range(7):
                entry = net.entries[(3 * n) % 10]
                entry.core.announce(target(f"t{n}"), net.now)
            net.run(2.0)
            for n in range(7):
                self.assertEqual(10, net.knowing(f"t{n}"), (seed, n))
            for entry in net.entries:
                alive = entry.instances.alive(net.now)
                self.assertEqual(9, len(alive), (seed, entry.address))

    def test_a_leaving_target_is_known_everywhere_within_a_second(self):
        for count in (10, 63, 100):
            net = Net(count)
            net.run(3.0)
            first = net.entries[count // 2]
            first.core.announce(target("t"), net.now)
            net.run(4.5)
            self.assertEqual(count, net.knowing("t"))
            first.core.announce(target("t", 2, "leaving"), net.now)
            net.run(5.5)
            for entry in net.entries:
                self.assertEqual("leaving", entry.targets.get("t").state)

    def test_a_cut_entry_learns_what_it_missed(self):
        net = Net(10)
        net.run(3.0)
        net.cut = {net.entries[7].address}
        net.run(8.0)
        net.entries[2].core.announce(target("t"), net.now)
        net.run(9.0)
        self.assertEqual(9, net.knowing("t"))
        net.cut = set()
        for second in range(3):
            again = target("t", sequence=second + 2)
            net.entries[2].core.announce(again, net.now)
            net.run(10.0 + second)
        self.assertEqual(10, net.knowing("t"))

    def test_messages_an_entry_do_not_grow_with_the_fleet(self):
        sent = {}
        for count in (20, 100):
            net = Net(count)
            net.run(5.0)
            before = net.sent
            net.run(10.0)
            sent[count] = (net.sent - before) / count
        self.assertLess(sent[100], 1.5 * sent[20])
