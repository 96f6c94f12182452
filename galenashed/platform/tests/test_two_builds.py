"""Nodes of the last landing and of this one side by side."""

import io
import os
import pathlib
import signal
import subprocess
import sys
import tarfile
import tempfile
import threading
import time
import tomllib

import msgspec
import testtools

from galenashed.platform.tests import _site
from galenashed.protocol.tests import _samples
from galenashed.tests import _fleet

REPOSITORY = pathlib.Path(__file__).parents[3]
# The commit of the last landing.
PRODUCTION = tomllib.loads(
    (REPOSITORY / "deploy" / "system.toml").read_text()
)["production"]
NODES = 4
PREPAID = 1_000_000
INPUT_TOKENS, OUTPUT_TOKENS = 100, 40
# Fully drained after the shutdown timeout.
GRACE_SECONDS = 4
CALL_PAUSE_SECONDS = 0.05
# A node that has just started counts as sure of the others after two seconds.
STREAM_SECONDS = 4.0
# Statuses that tell the caller that its request was not run.
NOT_RUN = (408, 429, 503)


def has_build(commit):
    """Whether the history holds a build, as in any whole clone."""
    return (
        subprocess.run(
            ["git", "cat-file", "-e", commit],
            cwd=REPOSITORY,
            capture_output=True,
        ).returncode
        == 0
    )


def extract_build(commit, folder):
    """Writes the tree of a build to a folder."""
    archive = subprocess.run(
        ["git", "archive", commit, "galenashed"],
        cwd=REPOSITORY,
        capture_output=True,
        check=True,
    ).stdout
    with tarfile.open(fileobj=io.BytesIO(archive)) as tar:
        tar.extractall(folder, filter="data")


class Traffic(threading.Thread):
    """Callers that send to all nodes in turn until they are stopped."""

    def __init__(self, site):
        super().__init__()
        self.site = site
        self.stopping = threading.Event()
        self.served = 0
        self.problems = []
        self.pausing = set()

    def run(self):
        number = 0
        while not self.stopping.wait(CALL_PAUSE_SECONDS):
            number += 1
            node = number % NODES
            if node in self.pausing:
                continue
            path = "/g/x" if number % 2 else "/o/x"
            try:
                response = self.send(path, node, number)
            except OSError as exc:
                # A node that has stopped; callers then use another one.
                if node not in self.pausing:
                    self.problems.append((number, node, repr(exc)))
                continue
            if response.status == 200:
                self.served += 1
            elif response.status not in NOT_RUN:
                self.problems.append((number, node, response.status))

    def send(self, path, node, number):
        if path == "/g/x":
            return self.site.generate(
                node=node,
                tokens=f"{INPUT_TOKENS},{OUTPUT_TOKENS}",
                X_Attempt_Id=f"stream-{number}",
            )
        return self.site.call(path, node=node, X_Attempt_Id=f"order-{number}")


class TwoBuildsTestCase(testtools.TestCase):
    """Has the build in production at hand, or an older one."""

    production = PRODUCTION

    def setUp(self):
        super().setUp()
        if not has_build(self.production):
            self.fail(f"{self.production} is missing: clone the whole history")
        folder = tempfile.TemporaryDirectory(prefix="production-")
        self.addCleanup(folder.cleanup)
        extract_build(self.production, folder.name)
        # Modules are searched there first, and not in the working directory.
        self.production_env = {
            "PYTHONPATH": folder.name,
            "PYTHONSAFEPATH": "1",
        }


class TestMessages(TwoBuildsTestCase):
    """What this build sends and stores, read by the one in production."""

    def test_production_decodes_each_message_that_it_knows(self):
        done = subprocess.run(
            [sys.executable, _samples.__file__, "decode"],
            env={**os.environ, **self.production_env},
            input=msgspec.msgpack.encode(_samples.make_samples()),
            capture_output=True,
        )
        self.assertEqual(b"", done.stderr)
        self.assertIn(b"gossip.GossipMessage", done.stdout)


class TestTwoBuilds(TwoBuildsTestCase):
    """Machines are replaced one after the other, under traffic."""

    def setUp(self):
        super().setUp()
        self.site = _site.Site(
            nodes=NODES, prepaid=PREPAID, grace=GRACE_SECONDS
        )

    def use_build(self, number, *, production):
        process = self.site.processes[number]
        for name, value in self.production_env.items():
            if production:
                process.env[name] = value
            else:
                process.env.pop(name, None)
                if name in os.environ:
                    process.env[name] = os.environ[name]

    def replace(self, number, traffic, *, production):
        """Stops a node as planned and starts it with another build."""
        process = self.site.processes[number]
        traffic.pausing.add(number)
        process.signal(signal.SIGTERM)
        self.assertEqual(0, process.wait())
        self.site.write_settings(number, bootstrap=False)
        self.use_build(number, production=production)
        process.start()
        self.site.wait_until_ready(number)
        self.site.wait_for_discovery(number)
        traffic.pausing.discard(number)

    def uses_compact_gossip(self, number):
        """Whether a node has sent compact messages of late."""
        log = self.site.processes[number].log.read_text()
        lines = [
            line for line in log.splitlines() if "traffic between" in line
        ]
        return bool(lines) and '"compact"' in lines[-1]

    def check_configuration(self):
        """A change is in force, and a target that leaves known, everywhere."""
        self.assertEqual(
            200, self.site.put_configuration(number=self.site.version % 3)
        )
        leaving = self.site.add_target("app")
        for node in range(NODES):
            _fleet.wait_for(
                lambda node=node: self.reaches(node, leaving), "new target"
            )
        leaving.state = "draining"
        self.site.announce(leaving, NODES - 1)
        time.sleep(3.0)
        for node in range(NODES):
            for _ in range(20):
                self.assertFalse(self.reaches(node, leaving), node)

    def check_streams(self):
        """Streams begin and are taken up at every node, of either build.

        Guards against entries that wait for records of versions which the
        replicas of the build in production don't keep.
        """
        for node in range(NODES):
            for headers in (
                {},
                {"Last_Event_Id": "4", "Resumes": "never-seen"},
            ):
                _fleet.wait_for(
                    lambda node=node, headers=headers: (
                        self.site.generate(node=node, **headers).status == 200
                    ),
                    f"a stream at node {node} with {headers}",
                    timeout=STREAM_SECONDS,
                )

    def reaches(self, node, target):
        """Whether a target executes a lookup that is sent to a node."""
        probe = f"probe-{node}-{time.monotonic_ns()}"
        self.site.call("/l/x", method="GET", node=node, X_Attempt_Id=probe)
        return probe in self.request_ids(target)

    def test_replacing_all_nodes_and_back_keeps_the_promises(self):
        for number in range(NODES):
            self.use_build(number, production=True)
        with self.site:
            engines = [self.site.add_target("engines") for _ in range(2)]
            apps = [self.site.add_target("app") for _ in range(2)]
            for node in range(NODES):
                _fleet.wait_for(
                    lambda node=node: (
                        self.site.generate(node=node).status == 200
                        and self.site.call("/o/x", node=node).status == 200
                    ),
                    "targets",
                )
            traffic = Traffic(self.site)
            traffic.start()
            try:
                self.replace(3, traffic, production=False)
                self.check_streams()
                self.replace(0, traffic, production=False)
                self.check_streams()
                self.check_configuration()
                self.replace(1, traffic, production=False)
                self.replace(2, traffic, production=False)
                self.check_streams()
                self.check_configuration()
                _fleet.wait_for(
                    lambda: all(map(self.uses_compact_gossip, range(NODES))),
                    "compact gossip",
                )
                self.replace(3, traffic, production=True)
                self.replace(0, traffic, production=True)
                self.check_streams()
                self.check_configuration()
            finally:
                traffic.stopping.set()
                traffic.join()
            self.assertEqual([], traffic.problems)
            self.assertGreater(traffic.served, 100)
            self.check_runs(engines, apps)

    def check_runs(self, engines, apps):
        """No order has run twice, and the team has paid for each stream."""
        orders = [
            execution
            for app in apps
            for execution in self.request_ids(app)
            if execution.startswith("order-")
        ]
        self.assertEqual(len(set(orders)), len(orders))
        streams = sum(len(self.request_ids(engine)) for engine in engines)
        _fleet.wait_for(
            lambda: self.site.balance().settled >= INPUT_TOKENS * streams,
            "the bills",
        )
        self.assertLessEqual(self.site.balance().settled, PREPAID)

    def request_ids(self, target):
        return [
            headers.get("x-attempt-id", "")
            for _, _, headers, _ in target.executions
        ]
