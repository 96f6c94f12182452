"""Entries that are gone are not named to callers for long."""

import signal
import time

import testtools

from galenashed.platform.tests import _site
from galenashed.tests import _fleet

NODES = 5
# The limit of the platform: an entry that was lost is not named any more.
GONE_SECONDS = 7.0
# How long the answers are watched after that.
WATCHED_SECONDS = 5.0


class TestGoneEntries(testtools.TestCase):
    """Guards against answers that name lost entries beside running ones."""

    def check_named(self, number):
        """Entries with a replica are named while the load is low."""
        address = self.site.front_address(number)
        for asked in range(NODES):
            _fleet.wait_for(
                lambda asked=asked: (
                    address in self.site.discover_entries(asked)
                ),
                f"node {asked} to name node {number}",
            )

    def check_not_named(self, gone, running, since):
        """Asks running nodes from the limit on."""
        addresses = {self.site.front_address(number) for number in gone}
        time.sleep(max(0.0, since + GONE_SECONDS - time.monotonic()))
        deadline = time.monotonic() + WATCHED_SECONDS
        while time.monotonic() < deadline:
            for number in running:
                named = self.site.discover_entries(number)
                after = round(time.monotonic() - since, 2)
                self.assertEqual(set(), named & addresses, (number, after))
                self.assertNotEqual(set(), named)
            time.sleep(0.1)

    def test_entry_that_was_killed(self):
        with _site.Site(nodes=NODES) as self.site:
            self.check_named(0)
            self.site.processes[0].signal(signal.SIGKILL)
            self.check_not_named([0], [1, 2, 3, 4], time.monotonic())

    def test_replicas_that_were_lost_at_entries_that_are_cut_off(self):
        """Without a majority, all others are cut off from control."""
        with _site.Site(nodes=NODES) as self.site:
            self.check_named(0)
            self.check_named(1)
            self.site.processes[0].signal(signal.SIGKILL)
            self.site.processes[1].signal(signal.SIGSTOP)
            since = time.monotonic()
            try:
                self.check_not_named([0, 1], [2, 3, 4], since)
            finally:
                self.site.processes[1].signal(signal.SIGCONT)

    def test_entry_that_was_killed_while_another_was_frozen(self):
        """What arrived meanwhile is old once it is read."""
        with _site.Site(nodes=NODES) as self.site:
            self.check_named(0)
            frozen = self.site.processes[3]
            frozen.signal(signal.SIGSTOP)
            time.sleep(1.0)
            self.site.processes[0].signal(signal.SIGKILL)
            since = time.monotonic()
            time.sleep(GONE_SECONDS)
            frozen.signal(signal.SIGCONT)
            self.check_not_named([0], [3], since)
