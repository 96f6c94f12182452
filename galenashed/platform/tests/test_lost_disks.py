"""Lost disks while all other machines lose power, with real processes."""

import signal

import testtools

from galenashed.platform.tests import _site
from galenashed.tests import _fleet

# Bound of the large deployments: a machine counts as lost until it has run for
# this long.
CATCH_UP_SECONDS = 6.0
LEASE_SECONDS = 2.5


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
