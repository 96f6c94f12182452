"""Evacuation of a failure domain, by the platform's calls."""

import asyncio
import signal
import time

import testtools

from galenashed import control
from galenashed import node
from galenashed.platform import _management
from galenashed.platform.tests import _site
from galenashed.platform.tests import test_two_builds
from galenashed.tests import _fleet

NODES = 4
# From the acknowledgement until no entry sends requests there.
EVACUATE_SECONDS = 5.0
REQUESTS = 10


class WestTarget(_site.Target):
    """A target in the other failure domain."""

    def next_heartbeat(self):
        return {**super().next_heartbeat(), "zone": "west"}


class Evacuations:
    """Takes orders for one domain, or fails."""

    def __init__(self, error=None):
        self.error = error
        self.orders = []

    async def order(self, domain, actor, *, active):
        if self.error is not None:
            raise self.error
        if domain != "east":
            raise node.UnknownDomainError(domain, ["east"])
        self.orders.append((domain, active))


class TestCalls(testtools.TestCase):
    """The calls and their errors, without a node."""

    def request(self, path, *, method="POST", body=b"", error=None):
        """Returns status, headers and body of the response."""
        self.evacuations = Evacuations(error)
        self.node = self
        app = _management.ManagementApi(
            node=self, discovery_max_age=1.0, metrics=lambda: b""
        )
        sent = []

        async def receive():
            return {"type": "http.request", "body": body, "more_body": False}

        async def send(message):
            sent.append(message)

        scope = {"method": method, "path": path, "query_string": b""}
        asyncio.run(app(scope, receive, send))
        return sent[0]["status"], dict(sent[0]["headers"]), sent[1]["body"]

    def test_orders_are_acknowledged(self):
        for call, active in (("Begin", True), ("End", False)):
            status, _, _ = self.request(f"/Evacuation.{call}/east")
            self.assertEqual(200, status)
            self.assertEqual([("east", active)], self.evacuations.orders)

    def test_errors_name_the_value_and_what_is_allowed(self):
        for options, status, named in (
            ({"path": "/Evacuation.Begin/nowhere"}, 400, b"'nowhere'"),
            ({"path": "/Evacuation.End/"}, 400, b"allowed: east"),
            ({"path": "/Evacuation.End/east/x"}, 400, b"'east/x'"),
            ({"path": "/Evacuation.Begin/east", "body": b"{}"}, 400, b"body"),
            (
                {"path": "/Evacuation.End/east", "body": b"x" * 2**20},
                400,
                b"body",
            ),
            ({"path": "/Evacuation.End/east", "method": "PUT"}, 405, b"PUT"),
        ):
            found, headers, body = self.request(**options)
            self.assertEqual(status, found, options)
            self.assertIn(named, body)
            self.assertNotIn(b"retry-after", headers)
            self.assertEqual(found == 405, headers.get(b"allow") == b"POST")
            self.assertEqual([], self.evacuations.orders)

    def test_order_that_control_does_not_answer_may_be_repeated(self):
        for error in (
            control.ControlUnavailableError("no answer"),
            node.OldBuildError("instance 'b' runs an old build"),
        ):
            status, headers, body = self.request(
                "/Evacuation.Begin/east", error=error
            )
            self.assertEqual(503, status)
            self.assertIn(b"retry-after", headers)
            self.assertIn(str(error).encode(), body)


class SiteTestCase:
    """Sends orders and requests to the nodes of a deployment."""

    def order(self, call, zone, number=0, **options):
        return _fleet.fetch(
            self.site.control_address(number),
            f"/Evacuation.{call}/{zone}",
            method="POST",
            key="",
            **options,
        )

    def try_order(self, call, zone, number=0):
        try:
            return self.order(call, zone, number).status == 200
        except OSError:
            return False

    def wait_for_order(self, call, zone, number=0):
        _fleet.wait_for(
            lambda: self.try_order(call, zone, number),
            f"{call} {zone} at node {number}",
        )

    def send(self, count=REQUESTS, nodes=range(NODES)):
        """Returns the statuses of requests to all nodes."""
        return [
            self.site.call("/o/x", node=number).status
            for number in nodes
            for _ in range(count)
        ]

    def reaches(self, target, number):
        before = len(target.executions)
        self.send(2, [number])
        return len(target.executions) > before


class TestEvacuatedDomain(SiteTestCase, testtools.TestCase):
    """Orders at real nodes, through the loss of a leader and of power."""

    def test_orders_are_obeyed_and_survive_failures(self):
        with _site.Site(nodes=NODES) as self.site:
            self.east = self.site.add_target("app")
            self.west = self.site.add_target("app", target_class=WestTarget)
            # Entries prefer the targets of their own failure domain.
            for number in range(NODES):
                target = self.west if number % 2 else self.east
                _fleet.wait_for(
                    lambda target=target, number=number: self.reaches(
                        target, number
                    ),
                    "targets",
                )
            self.check_evacuated_domain_gets_no_requests()
            self.check_leader_loss()
            self.check_loss_of_power_and_a_disk()
            self.check_end()

    def check_evacuated_domain_gets_no_requests(self):
        self.wait_for_order("Begin", "east")
        self.assertEqual(200, self.order("Begin", "east", 1).status)
        time.sleep(EVACUATE_SECONDS)
        before = len(self.east.executions)
        self.assertEqual({200}, set(self.send()))
        self.assertEqual(before, len(self.east.executions))

    def check_leader_loss(self):
        """An order is repeated at others until it is acknowledged."""
        leader = self.site.leader()
        self.site.processes[leader].signal(signal.SIGKILL)
        self.site.processes[leader].wait()
        number = (leader + 1) % NODES
        self.wait_for_order("Begin", "west", number)
        self.wait_for_order("Begin", "west", (number + 1) % NODES)
        self.site.write_settings(leader, bootstrap=False)
        self.site.processes[leader].start()
        self.site.wait_until_ready(leader)
        self.site.wait_for_discovery(leader)
        time.sleep(EVACUATE_SECONDS)
        self.check_all_refused()

    def check_all_refused(self):
        before = len(self.east.executions), len(self.west.executions)
        started_at = time.monotonic()
        response = self.site.call("/o/x", node=NODES - 1)
        self.assertEqual(503, response.status)
        self.assertIn("Retry-After", response.headers)
        # At once, not at the time limit of 3 s.
        self.assertLess(time.monotonic() - started_at, 1.5)
        self.assertEqual({503}, set(self.send(2)))
        self.assertEqual(
            before, (len(self.east.executions), len(self.west.executions))
        )

    def check_loss_of_power_and_a_disk(self):
        self.site.lose_power(lost_disks=[0])
        self.site.start_again()
        for number in range(NODES):
            self.site.wait_until_ready(number)
        # Entries know evacuations before they serve.
        self.check_all_refused()

    def check_end(self):
        """The target gets requests again, and that of the other none."""
        self.wait_for_order("End", "east", NODES - 1)
        before = len(self.west.executions)
        for number in range(NODES):
            _fleet.wait_for(
                lambda number=number: self.reaches(self.east, number),
                "the target after the end",
            )
        self.assertEqual({200}, set(self.send(2)))
        self.assertEqual(before, len(self.west.executions))


class TestOldBuild(SiteTestCase, test_two_builds.TwoBuildsTestCase):
    """Orders wait until no instance runs a build that ignores them."""

    # The last landing without evacuations.
    production = "b281dd57e7a3edc2101f33c7bfe057c2537fbd01"

    def test_order_is_refused_while_an_old_build_runs(self):
        self.site = _site.Site(nodes=3)
        self.site.processes[2].env.update(self.production_env)
        with self.site:
            time.sleep(3.0)
            response = self.order("Begin", "east")
            self.assertEqual(503, response.status)
            self.assertIn("Retry-After", response.headers)
            self.assertIn("node-2", response.json()["error"])
            process = self.site.processes[2]
            process.signal(signal.SIGTERM)
            process.wait()
            self.site.write_settings(2, bootstrap=False)
            for name in self.production_env:
                process.env.pop(name)
            process.env.update(_fleet.Process("x", [], self.site.folder).env)
            process.env["GALENASHED_BOOT"] = str(
                self.site.folder / "settings-2.toml"
            )
            process.start()
            self.site.wait_until_ready(2)
            for number in range(3):
                self.wait_for_order("Begin", "east", number)
