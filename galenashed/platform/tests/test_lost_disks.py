"""Lost disks while all other machines lose power, with real processes."""

import http.client
import signal
import threading
import time

import testtools

from galenashed.platform.tests import _site
from galenashed.tests import _fleet

# Bounds of the large deployments: service is back this long after the machines
# are, and a machine counts as lost until it has run for the second one.
RECOVER_SECONDS = 15.0
CATCH_UP_SECONDS = 6.0
LEASE_SECONDS = 2.5
NODES = 7
TOKEN_USAGE = "100,40"
TOKENS = 140
PREPAID = 50_000


class LostDisksTestCase(testtools.TestCase):
    """Starts sites and reads back what they acknowledged."""

    def start(self, **options):
        site = _site.Site(**options)
        site.__enter__()
        self.addCleanup(site.close)
        return site


class TestReplacedVoters(LostDisksTestCase):
    """Replicas that were replaced while they were silent."""

    def test_replaced_voter_replaces_another_one_later(self):
        site = self.start(nodes=4, replicas=4)
        site.wait_for_voters(3)
        for _ in range(2):
            voters = site.voting_nodes()
            spare = ({0, 1, 2, 3} - voters).pop()
            silent = max(voters - {site.leader()})
            site.processes[silent].signal(signal.SIGSTOP)
            _fleet.wait_for(
                lambda spare=spare: spare in (site.voting_nodes() or ()),
                "the spare replica to vote",
                timeout=CATCH_UP_SECONDS + LEASE_SECONDS,
            )
            site.processes[silent].signal(signal.SIGCONT)
            site.wait_until_ready(silent)


class TestDisksLostWhileAllLosePower(LostDisksTestCase):
    """Two of five replicas lose their disks while all processes are killed.

    The tests share a site, so each starts right after the last repair.
    """

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.site = _site.Site(
            nodes=NODES, replicas=5, tolerance=2, prepaid=PREPAID
        )
        cls.site.__enter__()
        cls.engine = cls.site.add_target("engines")
        cls.site.wait_for_voters(5)

    @classmethod
    def tearDownClass(cls):
        cls.site.close()
        super().tearDownClass()

    def setUp(self):
        super().setUp()
        self.site.wait_for_voters(5)
        # What entries may have spent before the last outage counts as spent.
        self.site.prepaid += PREPAID
        self.put_configuration(node=0)

    def put_configuration(self, *, node):
        _fleet.wait_for(
            lambda: self.site.put_configuration(node) == 200, "acknowledgement"
        )

    def lose_disks_after_acknowledgement(self, lost_disks, *, node):
        """Has a configuration acknowledged by a node just before the outage.

        Returns its version.
        """
        self.put_configuration(node=node)
        self.site.lose_power(lost_disks=lost_disks)
        self.site.start_again()
        return self.site.version

    def assert_recovers(self, version):
        """Checks what all nodes show from their start on."""
        deadline = time.monotonic() + RECOVER_SECONDS
        waiting = set(range(NODES))
        while waiting:
            self.assertLess(time.monotonic(), deadline, f"waits for {waiting}")
            for node in sorted(waiting):
                shown = self.read_version(node)
                if shown is None:
                    continue
                self.assertGreaterEqual(shown, version)
                if self.generate(node) == 200:
                    waiting.discard(node)
        self.site.wait_for_voters(
            5, timeout=max(0.0, deadline - time.monotonic())
        )

    def read_version(self, node):
        """Returns the version of the configuration; None if not served."""
        try:
            response = _fleet.fetch(
                self.site.control_address(node),
                "/Configuration.Read",
                key="",
                timeout=2.0,
            )
        except OSError:
            return None
        if response.status != 200:
            return None
        return response.json()["version"]

    def generate(self, node):
        """Returns the status of a prepaid request; None if it has none."""
        try:
            return self.site.generate(node=node, tokens=TOKEN_USAGE).status
        except (OSError, http.client.HTTPException):
            return None

    def test_configuration_survives_loss_of_the_leaders_disk(self):
        leader = self.site.leader()
        lost_disks = {leader, (leader + 2) % 5}
        version = self.lose_disks_after_acknowledgement(lost_disks, node=6)
        self.assert_recovers(version)

    def test_configuration_survives_loss_of_the_oldest_disks(self):
        disks = [self.site.data_folder(number) for number in range(5)]
        ages = [(path / "identity").stat().st_mtime for path in disks]
        oldest = sorted(range(5), key=lambda number: ages[number])[:2]
        version = self.lose_disks_after_acknowledgement(oldest, node=0)
        self.assert_recovers(version)

    def test_prepaid_total_is_not_exceeded(self):
        callers = [
            threading.Thread(target=self.spend, args=(node,))
            for node in range(NODES)
        ]
        spent_before = self.spent_tokens()
        for caller in callers:
            caller.start()
        _fleet.wait_for(
            lambda: self.spent_tokens() > spent_before + PREPAID / 10,
            "tokens to be spent",
        )
        version = self.lose_disks_after_acknowledgement({1, 3}, node=5)
        for caller in callers:
            caller.join()
        self.assert_recovers(version)
        balance = self.site.balance()
        recorded = balance.settled + balance.outstanding
        self.assertLessEqual(self.spent_tokens(), recorded)
        refused = 0
        while refused < 2 * NODES:
            status = self.generate(refused % NODES)
            refused = 0 if status == 200 else refused + 1
        self.assertLessEqual(self.spent_tokens(), self.site.prepaid)

    def spend(self, node):
        """Sends requests to a node until its process is gone."""
        while self.generate(node) is not None:
            pass

    def spent_tokens(self):
        return TOKENS * len(self.engine.executions)
