"""Tests of target selection, queueing and retry budgets."""

import collections
import random

import testtools

from galenashed.protocol import control
from galenashed.protocol import gossip as wire
from galenashed import routing

SERVICE = control.Service(name="s", kind="engine", models=["m"], concurrency=4)
LONG_AGO = -100.0


def target(name, *, state="ready", running=0, incarnation="a"):
    return wire.Target(
        name=name,
        incarnation=incarnation,
        started=1.0,
        sequence=1,
        service="s",
        address="127.0.0.1:1",
        failure_domain="k",
        state=state,
        models=["m"],
        load=wire.Load(running=running),
    )


class TestRouter(testtools.TestCase):
    """Selection of targets."""

    def router(self, *targets, balancer="affinity"):
        router = routing.make_router(balancer, random.Random(1))
        for item in targets:
            router.update(item, joined=LONG_AGO)
        return router

    def requirements_for(self, prefix=b"", exclusive=False):
        return routing.TargetRequirements(
            service=SERVICE, model="m", prefix=prefix, exclusive=exclusive
        )

    def test_leaving_target_is_never_chosen(self):
        router = self.router(target("a"), target("b"))
        self.assertIsNotNone(router.choose(self.requirements_for(), now=0.0))
        router.update(target("a", state="leaving"), joined=LONG_AGO)
        for _ in range(50):
            self.assertEqual(
                "b", router.choose(self.requirements_for(), now=0.0).name
            )

    def test_withdrawn_dead_and_excluded_targets_are_skipped(self):
        router = self.router(target("a"), target("b"), target("c"))
        router.set_withdrawn(["a"])
        router.set_alive(["a", "b", "c"])
        requirements = self.requirements_for()
        requirements.excluded.add("b")
        self.assertEqual("c", router.choose(requirements, now=0.0).name)
        router.set_alive(["a", "b"])
        self.assertIsNone(router.choose(requirements, now=0.0))
        self.assertFalse(router.has_target(requirements))

    def test_full_targets_are_skipped(self):
        router = self.router(target("a", running=4), target("b", running=3))
        stats = router.choose(self.requirements_for(), now=0.0)
        self.assertEqual("b", stats.name)
        router.on_request_start(stats)
        self.assertIsNone(router.choose(self.requirements_for(), now=0.0))
        self.assertTrue(router.has_target(self.requirements_for()))

    def test_load_includes_requests_sent_since_the_report(self):
        router = self.router(target("a", running=2))
        stats = router.get("a")
        router.on_request_start(stats)
        router.on_request_start(stats)
        self.assertEqual(4, stats.load)
        router.update(target("a", running=3), joined=LONG_AGO)
        self.assertEqual(3, stats.load)

    def test_prefix_stays_on_its_home_until_that_is_loaded(self):
        names = [f"t{n}" for n in range(6)]
        router = self.router(*[target(name) for name in names])
        requirements = self.requirements_for(prefix=b"history of building 12")
        home = router.choose(requirements, now=0.0)
        for _ in range(20):
            self.assertIs(home, router.choose(requirements, now=0.0))
        for _ in range(2):
            router.on_request_start(home)
        self.assertIsNot(home, router.choose(requirements, now=0.0))

    def test_only_prefixes_of_a_leaving_target_move(self):
        names = [f"t{n}" for n in range(10)]
        router = self.router(*[target(name) for name in names])
        all_requirements = [
            self.requirements_for(prefix=b"%d" % n) for n in range(300)
        ]
        before = [
            router.choose(requirements, now=0.0).name
            for requirements in all_requirements
        ]
        router.update(target("t3", state="leaving"), joined=LONG_AGO)
        after = [
            router.choose(requirements, now=0.0).name
            for requirements in all_requirements
        ]
        moved = sum(
            b != a for b, a in zip(before, after, strict=True) if b != "t3"
        )
        self.assertEqual(0, moved)

    def test_failing_target_is_ejected_unless_most_fail(self):
        router = self.router(target("a"), target("b"), target("c"))

        def fail(name):
            for _ in range(3):
                stats = router.get(name)
                router.on_request_start(stats)
                router.on_request_end(stats, failed=True, now=0.0)

        fail("a")
        chosen = {
            router.choose(self.requirements_for(), now=1.0).name
            for _ in range(99)
        }
        self.assertEqual({"b", "c"}, chosen)
        fail("b")
        fail("c")
        chosen = {
            router.choose(self.requirements_for(), now=1.0).name
            for _ in range(99)
        }
        self.assertEqual({"a", "b", "c"}, chosen)

    def test_new_target_starts_slowly(self):
        router = routing.make_router("least-loaded", random.Random(1))
        router.update(target("a"), joined=0.0)
        stats = router.choose(self.requirements_for(), now=0.0)
        router.on_request_start(stats)
        self.assertIsNone(router.choose(self.requirements_for(), now=0.0))
        self.assertIsNotNone(router.choose(self.requirements_for(), now=5.0))

    def test_suspected_requests_do_not_share_a_target(self):
        router = self.router(target("a"))
        stats = router.choose(self.requirements_for(exclusive=True), now=0.0)
        router.on_request_start(stats, suspect=True)
        self.assertIsNone(
            router.choose(self.requirements_for(exclusive=True), now=0.0)
        )
        self.assertIsNotNone(router.choose(self.requirements_for(), now=0.0))
        router.on_request_end(stats, failed=False, now=0.0, suspect=True)
        self.assertIsNotNone(
            router.choose(self.requirements_for(exclusive=True), now=0.0)
        )

    def test_free_target_is_found_outside_the_sample(self):
        targets = [target(f"t{n}", running=4) for n in range(100)]
        router = self.router(*targets, target("free"))
        for _ in range(20):
            self.assertEqual(
                "free", router.choose(self.requirements_for(), now=0.0).name
            )


class TestFairQueue(testtools.TestCase):
    """Order of waiting requests."""

    def test_burst_of_one_team_does_not_starve_another(self):
        queue = routing.FairQueue(capacity=200)
        for number in range(100):
            queue.push(("large", number), team="large", weight=1, priority=0)
        for number in range(3):
            queue.push(("small", number), team="small", weight=1, priority=0)
        first = [queue.pop()[0] for _ in range(6)]
        self.assertEqual(3, first.count("small"))

    def test_teams_are_served_by_weight(self):
        queue = routing.FairQueue(capacity=200)
        for number in range(60):
            queue.push(("a", number), team="a", weight=2, priority=0)
            queue.push(("b", number), team="b", weight=1, priority=0)
        counts = collections.Counter(queue.pop()[0] for _ in range(30))
        self.assertEqual(20, counts["a"])

    def test_interactive_goes_before_batch(self):
        queue = routing.FairQueue(capacity=10)
        queue.push(("batch",), team="a", weight=1, priority=1)
        queue.push(("question",), team="b", weight=1, priority=0)
        self.assertEqual(("question",), queue.pop())

    def test_full_queue_rejects_until_a_request_is_removed(self):
        queue = routing.FairQueue(capacity=1)
        item = ("first",)
        queue.push(item, team="a", weight=1, priority=0)
        self.assertRaises(
            routing.QueueFullError,
            queue.push,
            ("second",),
            team="a",
            weight=1,
            priority=0,
        )
        queue.remove(item)
        queue.remove(item)
        self.assertIsNone(queue.peek())
        queue.push(("third",), team="a", weight=1, priority=0)
        self.assertEqual(("third",), queue.pop())


class TestRetryBudget(testtools.TestCase):
    """Retries are limited to a share of first attempts."""

    def test_retries_run_out_and_accumulate_slowly(self):
        retries = routing.RetryBudget()
        taken = sum(retries.try_acquire() for _ in range(100))
        self.assertEqual(20, taken)
        for _ in range(50):
            retries.on_request()
        taken = sum(retries.try_acquire() for _ in range(100))
        self.assertIn(taken, (4, 5))
