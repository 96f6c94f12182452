"""Evacuation orders as an instance sends and obeys them."""

import asyncio
import time

import msgspec
import testtools

from galenashed import gateway
from galenashed import membership
from galenashed import node
from galenashed.node import _evacuations
from galenashed.node.tests import test_node
from galenashed.protocol import control as wire
from galenashed import routing
from galenashed import telemetry


class ControlClient:
    """Commits every order."""

    def __init__(self):
        self.orders = []

    async def order_evacuation(self, order, *, timeout):
        self.orders.append(order)
        return wire.Done(index=1)


class TestEvacuations(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.client = ControlClient()
        self.directory = membership.Directory(lease=2.5)
        self.warming_up = False
        self.targets = gateway.Targets(
            domain="east", limits=routing.TargetLimits(name="entry")
        )
        self.evacuations = _evacuations.Evacuations(
            client=self.client,
            targets=self.targets,
            directory=self.directory,
            domains={"east", "south"},
            is_warming_up=lambda: self.warming_up,
            log=telemetry.NullDecisionLog(),
            metrics=telemetry.NullMetrics(),
        )

    def add(self, name, *, age=0.0, **changes):
        instance = msgspec.structs.replace(
            test_node.make_instance(name), **changes
        )
        self.directory.merge(
            instance, now=time.monotonic(), from_announcer=True, age=age
        )

    def begin(self, domain="east"):
        asyncio.run(self.evacuations.order(domain, "ops", active=True))

    def test_order_is_sent_while_all_builds_understand_it(self):
        self.add("a", understands_evacuations=True, failure_domain="west")
        self.begin("west")
        self.begin("south")
        self.assertEqual(
            ["west", "south"], [o.domain for o in self.client.orders]
        )

    def test_instance_with_an_old_build_is_named(self):
        """Guards against an order that an old replica would lose."""
        self.add("a", understands_evacuations=True)
        self.add("b")
        error = self.assertRaises(node.OldBuildError, self.begin)
        self.assertIn("'b'", str(error))
        self.assertEqual([], self.client.orders)

    def test_lost_replica_with_an_old_build_may_come_back(self):
        self.add("b", age=10.0)
        self.assertRaises(node.OldBuildError, self.begin)

    def test_lost_entry_with_an_old_build_does_not_matter(self):
        self.add("b", age=10.0, replica="")
        self.begin()

    def test_instance_that_has_just_started_can_not_tell(self):
        self.warming_up = True
        self.assertRaises(node.OldBuildError, self.begin)

    def test_unknown_domain_is_refused_with_those_known(self):
        self.add("a", understands_evacuations=True, failure_domain="west")
        error = self.assertRaises(
            node.UnknownDomainError, self.begin, "nowhere"
        )
        self.assertEqual(["east", "south", "west"], error.known)

    def test_list_of_a_replica_that_lags_behind_is_ignored(self):
        """Guards against an entry that goes back to an older list."""

        def apply(index, domains):
            evacuated = wire.EvacuatedDomains(index=index, domains=domains)
            return self.evacuations.apply(
                wire.FollowEvent(age=0.0, evacuations=evacuated)
            )

        self.assertTrue(apply(5, ["east"]))
        self.assertFalse(apply(4, []))
        self.assertEqual(5, self.evacuations.index)
