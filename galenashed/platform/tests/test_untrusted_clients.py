"""A node outlives clients that keep no limit, at each of its addresses.

Guards against a process that ends for want of memory or descriptors.
"""

import asyncio

import pytest
import testtools

from galenashed.platform.tests import _site
from galenashed.tests import _crowd
from galenashed.tests import _fleet

# Of a process, above its memory and descriptors before the clients come.
MAX_GROWTH_MB = 48
MAX_MORE_DESCRIPTORS = 180
LIMITS = """
[connections]
maxOpen = 100
maxHeldMb = 8
stallS = 1.0
"""
BODY_LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4 * 2**20,
    "headerTimeoutMs": 2000,
    "idleTimeoutMs": 5000,
}


class LimitedSite(_site.Site):
    """A site whose nodes hold little for their clients."""

    def write_settings(self, number, *, bootstrap):
        path = super().write_settings(number, bootstrap=bootstrap)
        path.write_text(path.read_text() + LIMITS)
        return path

    def internal_address(self, number, offset):
        return f"{self.ips[number]}:{min(self.ports[4:]) + offset}"


@pytest.mark.serial
class TestUntrustedClients(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.site = LimitedSite(nodes=3)
        self.site.__enter__()
        self.addCleanup(self.site.close)
        self.site.put_configuration(limits=BODY_LIMITS)
        self.app = self.site.add_target("app")
        self.engine = self.site.add_target("engines")
        self.wait_for_answer()

    def wait_for_answer(self):
        _fleet.wait_for(self.answers, "an ordinary request")

    def answers(self):
        try:
            response = self.site.call("/l/x", method="GET", body=b"")
        except OSError:
            return False
        ready = self.site.try_fetch(self.site.readiness_address(0), "/readyz")
        listed = self.site.try_fetch(
            self.site.directory_address(0), "/resolve?name=x"
        )
        return response.status == ready == listed == 200

    def check(self, function, *args):
        """Checks that the first node outlives what ``function`` does."""
        process = self.site.processes[0]
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

    def check_callers(self, name, path="/l/x", *, count=_crowd.CLIENTS):
        headers = {
            "Host": _site.HOST,
            "X-Attempt-Id": "1",
            "X-Deadline-Ms": "3000",
            "Api-Key": _site.KEY,
            "X-Model": "m",
            "X-Token-Usage": "100,40",
        }
        client = _crowd.make_clients(path, headers)[name]
        address = self.site.front_address(0)
        self.check(_crowd.run, address, [client] * count)

    def check_mixed(self, address, path):
        kinds = _crowd.make_clients(path, {"Host": "x"}).values()
        self.check(_crowd.run, address, [*kinds] * (_crowd.CLIENTS // 10))

    def check_pipelined(self, address, path):
        kinds = _crowd.make_clients(path, {"Host": "x"})
        clients = [kinds["pipelined"]] * _crowd.CLIENTS
        self.check(_crowd.run, address, clients)

    def check_internal(self, address):
        kinds = _crowd.make_http2_clients()
        for kind in kinds.values():
            self.check(_crowd.run, address, [kind] * _crowd.CLIENTS)
        silent = [kinds["silent"]] * _crowd.SILENT_CLIENTS
        self.check(_crowd.run, address, silent)

    # Callers

    def test_pipelined_requests(self):
        self.check_callers("pipelined")

    def test_pipelined_requests_without_headers(self):
        self.check_callers("pipelined, bare")

    def test_heads_of_short_headers(self):
        self.check_callers("head of short headers")

    def test_heads_without_end(self):
        self.check_callers("head without end")

    def test_empty_lines(self):
        self.check_callers("empty lines")

    def test_empty_lines_after_a_request(self):
        self.check_callers("empty lines after a request")

    def test_chunks_of_one_byte(self):
        self.check_callers("chunks of one byte")

    def test_incomplete_bodies(self):
        self.check_callers("incomplete body")

    def test_silent_connections(self):
        self.check_callers("silent", count=_crowd.SILENT_CLIENTS)

    def test_unread_streams(self):
        head = self.engine.response_head(200, {"x-attempt-id": "1"})
        self.engine.endless_start = (
            f"{head}Content-Type: text/event-stream\r\n\r\n".encode()
        )
        self.engine.endless = b"id: 5\ndata: " + b"x" * 1000 + b"\n\n"
        self.engine.send_events = self.send_endless
        self.check_callers("unread response", "/n/x")

    async def send_endless(self, writer, headers):
        await asyncio.wait_for(self.engine.send_endless(writer), 10.0)
        return False

    # Other addresses

    def test_mixed_clients_at_the_relay(self):
        self.check_mixed(self.site.internal_address(0, 2), "/l/x")

    def test_pipelined_requests_at_the_relay(self):
        self.check_pipelined(self.site.internal_address(0, 2), "/l/x")

    def test_mixed_clients_of_operators(self):
        self.check_mixed(self.site.control_address(0), "/metrics")

    def test_pipelined_requests_for_metrics(self):
        self.check_pipelined(self.site.control_address(0), "/metrics")

    def test_mixed_clients_of_the_directory(self):
        self.check_mixed(self.site.directory_address(0), "/resolve?name=x")

    def test_mixed_clients_of_the_readiness(self):
        self.check_mixed(self.site.readiness_address(0), "/readyz")

    def test_clients_of_the_peers(self):
        self.check_internal(self.site.internal_address(0, 0))

    def test_clients_of_the_replica(self):
        self.check_internal(self.site.replica_address(0))

    def test_large_messages_with_a_wrong_key(self):
        address = self.site.replica_address(0)
        path = "/galenashed.Control/Propose"
        self.check(_crowd.send_messages, address, path)

    def test_large_messages_to_the_peers_with_a_wrong_key(self):
        address = self.site.internal_address(0, 0)
        path = "/galenashed.Entry/Spread"
        self.check(_crowd.send_messages, address, path)
