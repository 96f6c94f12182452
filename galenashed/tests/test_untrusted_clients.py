"""Entries and control replicas outlive clients that keep no limit.

Guards against a process that ends for want of memory or descriptors.
"""

import pytest
import testtools

from galenashed.tests import _crowd
from galenashed.tests import _fleet

# Of a process, above its memory and descriptors before the clients come.
MAX_GROWTH_MB = 64
# Peers and replicas may open more; an entry of the fleet serves 500.
MAX_MORE_DESCRIPTORS = 600
KINDS = 10


@pytest.mark.serial
class TestUntrustedClients(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = _fleet.Fleet(controls=1, entries=1, engines=1)
        self.addCleanup(self.fleet.close)
        self.fleet.start()
        self.address = self.fleet.addresses["e1"]
        self.wait_for_answer()

    def wait_for_answer(self):
        _fleet.wait_for(self.answers, "an ordinary request")

    def answers(self):
        try:
            return self.fleet.ask("e1").status == 200
        except OSError:
            return False

    def check(self, name, function, *args):
        """Checks that a process outlives what ``function`` does."""
        process = self.fleet.processes[name]
        with _crowd.Watch(process) as watch:
            memory = watch.memory_mb("VmRSS")
            descriptors = watch.count_descriptors()
            function(*args)
        self.assertTrue(watch.is_alive, process.log.read_text()[-2000:])
        growth = watch.memory_mb() - memory
        more = watch.descriptors - descriptors
        print(f"{self.id()}: {growth:.0f} MB, {more} descriptors more")
        self.assertLess(growth, MAX_GROWTH_MB)
        self.assertLess(more, MAX_MORE_DESCRIPTORS)
        self.wait_for_answer()

    def check_callers(self, kind):
        headers = {
            "Host": "x",
            "Authorization": f"Bearer {_fleet.TEAM_KEY}",
        }
        kinds = _crowd.make_clients("/v1/instances", headers)
        clients = [kinds[kind]] * _crowd.CLIENTS
        self.check("e1", _crowd.run, self.address, clients)

    def check_internal(self, name, address, path):
        kinds = _crowd.make_http2_clients()
        for kind in kinds.values():
            self.check(name, _crowd.run, address, [kind] * _crowd.CLIENTS)
        self.check(name, _crowd.send_messages, address, path)

    def test_pipelined_requests(self):
        self.check_callers("pipelined")

    def test_pipelined_requests_without_headers(self):
        self.check_callers("pipelined, bare")

    def test_heads_of_short_headers(self):
        self.check_callers("head of short headers")

    def test_other_clients(self):
        kinds = _crowd.make_clients("/v1/chat/completions", {"Host": "x"})
        clients = [*kinds.values()] * (_crowd.CLIENTS // KINDS)
        self.check("e1", _crowd.run, self.address, clients)

    def test_clients_of_the_peers_of_an_entry(self):
        address = self.fleet.addresses["e1.peers"]
        self.check_internal("e1", address, "/galenashed.Entry/Spread")

    def test_clients_of_a_control_replica(self):
        address = self.fleet.addresses["c1"]
        self.check_internal("c1", address, "/galenashed.Control/Propose")
