"""Prompts of many parts without tokens, from callers without a key.

Guards against a node that remembers all parts that callers name.
"""

import concurrent.futures
import uuid

import pytest
import testtools

from galenashed.platform.tests import _site
from galenashed.tests import _crowd
from galenashed.tests import _fleet

PARTS = 1_000
LONG_PART_BYTES = 15_000
REQUESTS = 600
CALLERS = 3
# What a client may add to the memory of a node.
MAX_GROWTH_MB = 48


@pytest.mark.serial
class TestLongPrompts(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.site = _site.Site(nodes=3)
        self.site.__enter__()
        self.addCleanup(self.site.close)
        cfg = self.site.configuration()
        opened = self.site.route("open", "/open/", "safe", "app")
        self.site.put_configuration(
            routes=[*cfg["routes"], {**opened, "anonymous": True}],
            limits={**cfg["limits"], "maxHeaderBytes": 16384},
        )
        self.site.add_target("app")
        _fleet.wait_for(lambda: self.send("a:1,own:1") == 200, "an answer")

    def send(self, prompt):
        return self.site.call(
            "/open/x",
            method="GET",
            body=b"",
            X_Prefix_Hash=prompt,
            Api_Key=None,
        ).status

    def check(self, make_prompt):
        with _crowd.Watch(self.site.processes[0]) as watch:
            memory = watch.memory_mb("VmRSS")
            with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
                prompts = (make_prompt() for _ in range(REQUESTS))
                statuses = set(pool.map(self.send, prompts))
        growth = watch.memory_mb() - memory
        print(f"{self.id()}: {growth:.0f} MB more")
        self.assertEqual({200}, statuses)
        self.assertLess(growth, MAX_GROWTH_MB)

    def test_many_parts_without_tokens(self):
        def make_prompt():
            name = uuid.uuid4().hex[:8]
            return ",".join(f"{name}{n}:0" for n in range(PARTS))

        self.check(make_prompt)

    def test_long_ids_of_parts(self):
        def make_prompt():
            return f"{uuid.uuid4().hex.rjust(LONG_PART_BYTES, 'a')}:0,own:1"

        self.check(make_prompt)
