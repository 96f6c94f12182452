"""Streams of targets whose software has several versions."""

import asyncio
import http.client
import json
import re
import signal
import time
import urllib.request

import testtools

from galenashed.platform.tests import _site
from galenashed.tests import _fleet

NODES = 4
BREAK_AFTER = 4
# A stream's beginning is kept for twice the time limit of its route, which
# must exceed what the tests need on a busy machine.
TIME_LIMIT_SECONDS = 30.0
# Streams that are broken off and taken up by their callers.
TAKEN_UP = 24
# Targets that have just broken streams off get no requests for a time.
MAX_STREAMS = 400
# A stream's beginning may be known at other nodes only after this time.
SPREAD_SECONDS = 0.3
# Other nodes are told of streams that last for as long.
OPEN_SECONDS = 1.5


def versions(body):
    """Returns the versions of the events of a stream."""
    return set(re.findall(r"data: (\S+)", body.decode()))


def last_event_id(body):
    return re.findall(r"id: (\d+)", body.decode())[-1]


class VersionsTestCase(testtools.TestCase):
    """Nodes, and targets of the versions v1 and v2."""

    counts = (2, 2)

    def setUp(self):
        super().setUp()
        self.site = _site.Site(
            nodes=NODES, prepaid=10_000_000, time_limit=TIME_LIMIT_SECONDS
        )
        self.site.__enter__()
        self.addCleanup(self.site.close)
        self.sent = 0
        # Node, version and answer of streams that did not go on.
        self.refusals = []
        self.engines = [
            self.site.add_target("engines", n % NODES, version=version)
            for n, version in enumerate(
                ["v1"] * self.counts[0] + ["v2"] * self.counts[1]
            )
        ]
        for node in range(NODES):
            _fleet.wait_for(
                lambda node=node: self.reaches_all(node), "all targets"
            )

    def reaches_all(self, node):
        for target in self.engines:
            target.executions.clear()
        for _ in range(20):
            if self.send(node=node)[0] != 200:
                return False
        return all(target.executions for target in self.engines)

    def send(self, *, node, **headers):
        """Returns status and body, also of a response that breaks off."""
        status, body, _ = self.send_as(self.new_id(), node=node, **headers)
        return status, body

    def send_as(self, request_id, *, node, **headers):
        """Sends a request; returns status, body and whether it is whole."""
        self.sent += 1
        # A prompt of its own, as a repeated one is sent to the same target.
        headers = {
            "Host": _site.HOST,
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": "3000",
            "Api-Key": _site.KEY,
            "X-Model": "m",
            "X-Token-Usage": "10,40",
            "X-Prefix-Hash": f"s{self.sent}:6,own{self.sent}:4",
            **{name.replace("_", "-"): v for name, v in headers.items()},
        }
        req = urllib.request.Request(
            f"http://{self.site.front_address(node)}/g/x",
            data=b"x",
            headers=headers,
        )
        try:
            with urllib.request.urlopen(req, timeout=10.0) as response:
                try:
                    return response.status, response.read(), True
                except http.client.IncompleteRead as exc:
                    return response.status, exc.partial, False
        except urllib.error.HTTPError as exc:
            return exc.code, exc.read(), True

    def begin_streams(self, nodes):
        """Returns (id, version, last event) of streams that broke off."""
        self.set_break(BREAK_AFTER)
        streams = []
        for number in range(MAX_STREAMS):
            request_id = self.new_id()
            status, body, whole = self.send_as(
                request_id, node=nodes[number % len(nodes)]
            )
            if status == 200 and not whole and body:
                self.assertEqual(1, len(versions(body)))
                (version,) = versions(body)
                streams.append((request_id, version, last_event_id(body)))
            if len(streams) == TAKEN_UP:
                break
            time.sleep(0.02)
        self.assertEqual(TAKEN_UP, len(streams))
        time.sleep(SPREAD_SECONDS)
        self.clear_failures()
        return streams

    def take_up(self, streams, nodes):
        """Returns how many streams went on; none at another version."""
        went_on = 0
        for number, (request_id, version, last) in enumerate(streams):
            status, body, _ = self.send_as(
                self.new_id(),
                node=nodes[number % len(nodes)],
                Last_Event_Id=last,
                Resumes=request_id,
            )
            if status == 200:
                self.assertEqual({version}, versions(body))
                went_on += 1
            else:
                self.assertEqual(503, status)
                node = nodes[number % len(nodes)]
                self.refusals.append((node, version, body))
        return went_on

    def new_id(self):
        return f"id-{time.monotonic_ns()}"

    def set_break(self, break_after):
        for target in self.engines:
            target.break_after = break_after

    def clear_failures(self):
        """Waits until no target is avoided for the streams it broke off."""
        self.set_break(None)
        for node in range(NODES):
            _fleet.wait_for(
                lambda node=node: self.reaches_all(node), "all targets"
            )


class TestBrokenStreams(VersionsTestCase):
    """The node itself continues streams, or their callers take them up."""

    def test_lost_answer_is_continued_by_the_same_version_only(self):
        for target in self.engines[::2]:
            target.break_after = BREAK_AFTER
        complete = 0
        for number in range(TAKEN_UP):
            status, body, whole = self.send_as(
                self.new_id(), node=number % NODES
            )
            if status == 200:
                self.assertEqual(1, len(versions(body)), body)
                complete += whole
        # One target of each version is sound.
        self.assertGreaterEqual(complete, TAKEN_UP / 2)

    def test_stream_is_taken_up_at_its_version_at_any_node(self):
        streams = self.begin_streams(range(NODES))
        self.assertEqual({"v1", "v2"}, {version for _, version, _ in streams})
        for offset in range(NODES):
            nodes = [(n + offset) % NODES for n in range(NODES)]
            self.assertEqual(
                TAKEN_UP, self.take_up(streams, nodes), self.refusals
            )

    def test_stream_is_taken_up_after_its_node_was_killed(self):
        streams = self.begin_streams([3])
        self.site.processes[3].kill()
        self.site.processes[3].wait()
        taken_up = self.take_up(streams, [0, 1, 2])
        self.assertEqual(TAKEN_UP, taken_up, self.refusals)

    def test_stream_is_taken_up_again_and_again(self):
        streams = self.begin_streams(range(NODES))
        for target in self.engines:
            target.break_after = BREAK_AFTER + 2
        first_id, version, last = streams[0]
        _, body, _ = self.send_as(
            self.new_id(), node=1, Last_Event_Id=last, Resumes=first_id
        )
        self.assertEqual({version}, versions(body))
        self.clear_failures()
        _, body, whole = self.send_as(
            self.new_id(),
            node=2,
            Last_Event_Id=last_event_id(body),
            Resumes=first_id,
        )
        self.assertTrue(whole)
        self.assertEqual({version}, versions(body))

    def test_stream_with_an_unknown_beginning_does_not_go_on(self):
        for target in self.engines:
            target.executions.clear()
        for headers in ({}, {"Resumes": "never-seen"}):
            for node in range(NODES):
                status, body, _ = self.send_as(
                    self.new_id(), node=node, Last_Event_Id="4", **headers
                )
                self.assertEqual(503, status)
                self.assertEqual("not run", json.loads(body)["error"]["run"])
        self.assertFalse(any(target.executions for target in self.engines))


class TestRestartWithALateReport(VersionsTestCase):
    """A target restarts at another version, which nodes learn later."""

    counts = (2, 2)

    def restart_silently(self, target):
        self.site.targets.remove(target)
        crash = asyncio.run_coroutine_threadsafe(
            target.crash(), self.site.loop
        )
        crash.result(10)
        target.version = "v2"
        # The clocks of targets and nodes may differ.
        time.sleep(1.5)

    def test_stream_is_taken_up_at_the_version_that_wrote_it(self):
        target, other = self.engines[:2]
        self.restart_silently(target)
        target.break_after = BREAK_AFTER
        # Until the report arrives, the node itself would continue at v1.
        other.reject = True
        streams = []
        for _ in range(MAX_STREAMS):
            request_id = self.new_id()
            status, body, whole = self.send_as(request_id, node=0)
            if status == 200 and not whole and len(versions(body)) == 1:
                streams.append((request_id, "v2", last_event_id(body)))
            if len(streams) == 3:
                break
            time.sleep(0.02)
        self.assertEqual(3, len(streams))
        target.break_after = None
        other.reject = False
        self.site.targets.append(target)
        time.sleep(2 * SPREAD_SECONDS + 0.3)
        self.assertEqual(3, self.take_up(streams, range(NODES)))


class TestRestartUnderTheSameId(VersionsTestCase):
    """The only target restarts at another version."""

    counts = (1, 0)

    def test_streams_do_not_go_on_there_before_its_report(self):
        # Guards against a version that is taken from the report before.
        target = self.engines[0]
        target.break_after = BREAK_AFTER
        streams = []
        for number in range(MAX_STREAMS):
            request_id = self.new_id()
            _, body, whole = self.send_as(request_id, node=number % NODES)
            if not whole and versions(body) == {"v1"}:
                streams.append((request_id, "v1", last_event_id(body)))
            if len(streams) == 2 * NODES:
                break
            time.sleep(0.02)
        self.assertEqual(2 * NODES, len(streams))
        target.break_after = None
        self.site.targets.remove(target)
        target.restart_seconds = 1.0
        crash = asyncio.run_coroutine_threadsafe(
            target.crash(), self.site.loop
        )
        for node in range(NODES):
            self.assertEqual(0, self.take_up(streams[:1], [node]))
        target.version = "v2"
        crash.result(10)
        for _ in range(3):
            self.assertEqual(0, self.take_up(streams, range(NODES)))
            time.sleep(0.3)


class TestOnlyTargetOfAVersion(VersionsTestCase):
    """The other targets have another version."""

    counts = (1, 3)

    def test_stream_whose_version_is_gone_is_refused_at_once(self):
        only = self.engines[0]
        only.break_after = BREAK_AFTER
        for _ in range(MAX_STREAMS):
            request_id = self.new_id()
            _, body, whole = self.send_as(request_id, node=0)
            if "v1" in versions(body):
                break
        self.assertFalse(whole)
        only.state = "draining"
        self.site.announce(only)
        time.sleep(SPREAD_SECONDS)
        for node in range(NODES):
            started = time.monotonic()
            status, _, _ = self.send_as(
                self.new_id(),
                node=node,
                Last_Event_Id=str(BREAK_AFTER),
                Resumes=request_id,
            )
            self.assertEqual(503, status)
            self.assertLess(time.monotonic() - started, 1.0)


class TestOneVersion(VersionsTestCase):
    """All targets have the same version."""

    counts = (2, 0)

    def test_stream_with_an_unknown_beginning_goes_on(self):
        for headers in ({}, {"Resumes": "never-seen"}):
            status, body, whole = self.send_as(
                self.new_id(), node=1, Last_Event_Id="4", **headers
            )
            self.assertEqual((200, True), (status, whole))
            self.assertEqual("10", last_event_id(body))

    def test_restart_at_another_version_under_the_same_id(self):
        target = self.engines[0]
        target.version = "v2"
        target.born += 1
        target.seq = 0
        self.site.announce(target)
        time.sleep(SPREAD_SECONDS)
        status, _, _ = self.send_as(
            self.new_id(), node=1, Last_Event_Id="4", Resumes="never-seen"
        )
        self.assertEqual(503, status)


class TestNewVersion(VersionsTestCase):
    """A target of another version starts after streams have begun."""

    counts = (2, 0)

    def test_streams_from_before_another_version_are_taken_up(self):
        streams = self.begin_streams([3])
        self.engines.append(self.site.add_target("engines", version="v2"))
        time.sleep(3 * SPREAD_SECONDS)
        self.site.processes[3].kill()
        self.site.processes[3].wait()
        taken_up = self.take_up(streams, [0, 1, 2])
        self.assertEqual(TAKEN_UP, taken_up, self.refusals)

    def test_streams_of_a_frozen_node_are_taken_up(self):
        # Guards against streams that are lost with the only node which knows
        # that they began before another version appeared.
        streams = self.begin_streams([3])
        time.sleep(OPEN_SECONDS)
        self.site.processes[3].signal(signal.SIGSTOP)
        self.addCleanup(self.site.processes[3].signal, signal.SIGCONT)
        self.engines.append(self.site.add_target("engines", version="v2"))
        time.sleep(3 * SPREAD_SECONDS)
        taken_up = self.take_up(streams, [0, 1, 2])
        self.assertEqual(TAKEN_UP, taken_up, self.refusals)


class TestKillOfAll(VersionsTestCase):
    """All processes are killed at the same moment and start again.

    Guards against streams that go on at another version because nobody
    remembers that there was one.
    """

    counts = (2, 0)

    def kill_all(self):
        self.site.lose_power()
        self.site.start_again()
        for node in range(NODES):
            self.site.wait_until_ready(node)

    def take_up_for_a_time(self, streams):
        """Returns how many streams went on, at the latest after 6 s."""
        went_on = 0
        deadline = time.monotonic() + 6.0
        while went_on < len(streams) and time.monotonic() < deadline:
            went_on = self.take_up(streams, range(NODES))
            time.sleep(0.2)
        return went_on

    def test_streams_do_not_go_on_at_a_version_that_replaced_theirs(self):
        streams = self.begin_streams(range(NODES))
        old = list(self.engines)
        self.engines += [
            self.site.add_target("engines", n, version="v2") for n in range(2)
        ]
        time.sleep(SPREAD_SECONDS)
        for target in old:
            self.site.targets.remove(target)
            target.state = "draining"
            self.site.announce(target)
        self.kill_all()
        self.assertEqual(0, self.take_up_for_a_time(streams))

    def test_streams_go_on_while_there_was_one_version(self):
        streams = self.begin_streams(range(NODES))
        self.kill_all()
        self.assertEqual(TAKEN_UP, self.take_up_for_a_time(streams))
