import time
from unittest import mock

import testtools

from galenashed import membership
from galenashed.node import _origins
from galenashed.protocol import gossip
from galenashed.protocol import streams as wire
from galenashed import telemetry

DOMAINS = ("east", "west", "south")
ENTRIES = 30


class TestHolders(testtools.TestCase):
    """Which entries are told of a stream, and found again by others."""

    def setUp(self):
        super().setUp()
        self.has_versions = False
        self.directory = membership.Directory(lease=60.0)
        self.names = [f"e{number}" for number in range(ENTRIES)]
        for number, name in enumerate(self.names):
            self.directory.merge(
                gossip.Instance(
                    name=name,
                    incarnation="1",
                    started=1.0,
                    sequence=1,
                    address=f"{name}:1",
                    peer_address=f"{name}:2",
                    failure_domain=DOMAINS[number % len(DOMAINS)],
                    region="north",
                    state="serving",
                ),
                now=time.monotonic(),
                from_announcer=True,
            )
        delay = mock.patch.object(_origins, "TELL_AFTER_SECONDS", 0.0)
        delay.start()
        self.addCleanup(delay.stop)

    def make_exchange(self, name):
        number = self.names.index(name)
        return _origins.OriginExchange(
            name=name,
            region="north",
            domain=DOMAINS[number % len(DOMAINS)],
            directory=self.directory,
            key="key",
            sees_all_targets=lambda: True,
            has_versions=lambda service: self.has_versions,
            versions=None,
            log=telemetry.NullDecisionLog(),
        )

    def record(self, exchange, request):
        exchange.record(
            wire.StreamOrigin(
                request=request, service="s", version="v1", keep_seconds=60.0
            )
        )

    def told(self, exchange):
        """Returns the numbers of the entries that are to be told."""
        exchange._tell_kept()
        exchange._tell_near()
        addresses = list(exchange._batches)
        exchange._batches.clear()
        return [
            self.names.index(address.partition(":")[0])
            for address in addresses
        ]

    def test_open_streams_are_told_to_the_own_domain(self):
        exchange = self.make_exchange("e3")
        for number in range(100):
            self.record(exchange, f"r{number}")
            told = self.told(exchange)
            self.assertEqual(_origins.NEAR_HOLDERS, len(told))
            self.assertEqual({0}, {holder % len(DOMAINS) for holder in told})
            self.assertNotIn(3, told)
            for asker in ("e7", "e8", "e9"):
                asked = self.make_exchange(asker)._choose_asked(f"r{number}")
                asked_names = {entry.name for entry in asked}
                # The one that asks has its own records.
                others = {f"e{holder}" for holder in told} - {asker}
                self.assertLessEqual(others, asked_names)

    def test_stream_that_was_sent_to_its_end_is_not_told(self):
        exchange = self.make_exchange("e3")
        self.record(exchange, "r")
        exchange.end("r")
        self.assertEqual([], self.told(exchange))

    def test_others_are_told_once_another_version_appears(self):
        exchange = self.make_exchange("e3")
        self.record(exchange, "r")
        self.assertEqual(_origins.NEAR_HOLDERS, len(self.told(exchange)))
        self.has_versions = True
        self.assertEqual(_origins.HOLDERS, len(self.told(exchange)))

    def test_entry_that_is_alone_in_its_domain_tells_others(self):
        exchange = self.make_exchange("e3")
        exchange.domain = "north-pole"
        self.record(exchange, "r")
        self.assertEqual(_origins.NEAR_HOLDERS, len(self.told(exchange)))
