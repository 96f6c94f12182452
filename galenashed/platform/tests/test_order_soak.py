"""What callers read of streams, in a seeded soak of separate processes.

Targets are killed and replaced by others of another version, nodes are frozen
and killed, one at a time and all at the same moment.  Callers take up what
broke off at any node, after the last event that they have read.
"""

import collections
import http.client
import os
import random
import re
import signal
import socket
import threading
import time

import testtools

from galenashed.platform.tests import _site
from galenashed.platform.tests import _target_process
from galenashed.tests import _fleet

SEEDS = int(os.environ.get("GALENASHED_SOAK_SEEDS", "1"))
FIRST_SEED = int(os.environ.get("GALENASHED_SOAK_FIRST_SEED", "0"))
SOAK_SECONDS = 15.0
# The soak goes on for as long until MIN_STREAMS are complete.
MAX_SOAK_SECONDS = 90.0
NODES = 5
TARGETS = 6
CALLERS = 8
MAX_TRIES = 6
TIMEOUT_SECONDS = 3.0
TIME_LIMIT_SECONDS = 30.0
MIN_STREAMS = 50
_ERROR_CODE = re.compile(rb'"code": ?"(\w+)"')
_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")


class Stream:
    """What a caller has read of a stream, over its tries.

    ``faults`` tells the ways in which its order broke, with details.
    """

    def __init__(self):
        self.last = 0
        self.versions = set()
        self.faults = []
        self.complete = False

    def add(self, body, *, whole):
        """Adds what one try has brought; ``whole`` if it looked complete."""
        rest = _EVENT.sub(b"", body)
        if whole and rest:
            self.faults.append(("ends inside an event", rest))
        for number, version in _EVENT.findall(body):
            expected = self.last + 1
            if int(number) > expected:
                self.faults.append(("missing", self.last, number))
            elif int(number) < expected:
                self.faults.append(("twice", self.last, number))
            self.last = int(number)
            self.versions.add(version)
        if len(self.versions) > 1:
            self.faults.append(("two versions", sorted(self.versions)))
        if whole and self.last < _target_process.EVENTS:
            self.faults.append(("ends early", self.last))
        self.complete = self.complete or whole


class TestOrderSoak(testtools.TestCase):
    def start(self, seed):
        self.rng = random.Random(seed)
        self.site = _site.Site(
            nodes=NODES, prepaid=100_000_000, time_limit=TIME_LIMIT_SECONDS
        )
        self.site.__enter__()
        self.addCleanup(self.site.close)
        self.target_count = 0
        self.engines = []
        self.addCleanup(self.end_targets)
        for number in range(TARGETS):
            self.add_target(f"v{1 + number % 2}")
        self.stopping = threading.Event()
        self.streams = []
        self.counts = collections.Counter()

    def add_target(self, version):
        self.target_count += 1
        name = f"engine-{self.target_count}"
        controls = [self.site.control_address(n) for n in range(NODES)]
        self.rng.shuffle(controls)
        process = _fleet.Process(
            name,
            [
                name,
                f"127.0.0.1:{_fleet.free_port()}",
                version,
                str(self.rng.randrange(2**32)),
                *controls,
            ],
            self.site.folder,
            module="galenashed.platform.tests._target_process",
        )
        process.start()
        self.engines.append((process, version))

    def wait_until_listening(self):
        """Waits for the target that was added last."""
        host, _, port = self.engines[-1][0].args[1].rpartition(":")

        def listens():
            try:
                socket.create_connection((host, int(port)), 1.0).close()
            except OSError:
                return False
            return True

        _fleet.wait_for(listens, "a target")

    def end_targets(self):
        for process, _ in self.engines:
            process.kill()

    def send(self, request_id, node, max_events, **headers):
        """Returns the body and whether it was read to an end."""
        host, _, port = self.site.front_address(node).rpartition(":")
        conn = http.client.HTTPConnection(host, port, timeout=TIMEOUT_SECONDS)
        headers = {
            "Host": _site.HOST,
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": str(int(TIMEOUT_SECONDS * 1000)),
            "Api-Key": _site.KEY,
            "X-Model": "m",
            "X-Token-Usage": "10,40",
            "X-Prefix-Hash": f"{request_id.encode().hex()}:10",
            **headers,
        }
        body = b""
        try:
            conn.request("POST", "/g/x", body=b"x", headers=headers)
            response = conn.getresponse()
            if response.status != 200:
                code = _ERROR_CODE.search(response.read())
                self.counts[code[1] if code else response.status] += 1
                return b"", False
            self.counts[200] += 1
            while data := response.read1(512):
                body += data
                if body.count(b"\n\n") > max_events:
                    return body, False
            return body, True
        except (OSError, http.client.HTTPException) as exc:
            self.counts[type(exc).__name__] += 1
            return body + getattr(exc, "partial", b""), False
        finally:
            conn.close()

    def call(self, seed):
        rng = random.Random(seed)
        number = 0
        while not self.stopping.is_set():
            number += 1
            first = f"s{seed}-{number}"
            stream = Stream()
            for attempt in range(MAX_TRIES):
                headers = {}
                if stream.last:
                    headers["Last-Event-Id"] = str(stream.last)
                    headers["Resumes"] = first
                elif attempt:
                    break
                body, whole = self.send(
                    first if not attempt else f"{first}-{attempt}",
                    rng.randrange(NODES),
                    # Some callers leave in the middle.
                    rng.choice([3, 99, 99, 99]),
                    **headers,
                )
                stream.add(body, whole=whole)
                if whole:
                    break
                time.sleep(rng.uniform(0.02, 0.4))
            self.streams.append((first, stream))

    def replace_targets(self):
        """Kills targets and starts others, of any version, in their place."""
        while not self.stopping.wait(self.rng.uniform(0.2, 0.8)):
            position = self.rng.randrange(len(self.engines))
            process, _ = self.engines.pop(position)
            if self.rng.random() < 0.3:
                process.signal(signal.SIGSTOP)
                self.stopping.wait(0.3)
            process.kill()
            self.add_target(self.rng.choice(["v1", "v2", "v3"]))
            # Else a busy machine would have no target that serves.
            self.wait_until_listening()

    def disturb_nodes(self):
        """Freezes and kills nodes, one of them or all."""
        while not self.stopping.wait(self.rng.uniform(0.5, 2.0)):
            node = self.site.processes[self.rng.randrange(NODES)]
            kind = self.rng.choice(["freeze", "kill", "kill", "kill all"])
            if kind == "freeze":
                node.signal(signal.SIGSTOP)
                self.stopping.wait(self.rng.uniform(0.1, 1.5))
                node.signal(signal.SIGCONT)
            elif kind == "kill":
                node.kill()
                self.stopping.wait(0.3)
                node.start()
            else:
                self.site.lose_power()
                self.stopping.wait(0.2)
                self.site.start_again()
                # Else a busy machine would serve nothing between the kills.
                self.site.wait_until_ready(self.rng.randrange(NODES))

    def complete_count(self):
        return sum(stream.complete for _, stream in self.streams)

    def check(self, seed):
        self.start(seed)
        threads = [
            threading.Thread(target=self.call, args=(100 * seed + number,))
            for number in range(CALLERS)
        ]
        threads += [
            threading.Thread(target=self.replace_targets),
            threading.Thread(target=self.disturb_nodes),
        ]
        for thread in threads:
            thread.start()
        started = time.monotonic()
        time.sleep(SOAK_SECONDS)
        while (
            self.complete_count() < MIN_STREAMS
            and time.monotonic() < started + MAX_SOAK_SECONDS
        ):
            time.sleep(0.5)
        self.stopping.set()
        for thread in threads:
            thread.join()
        self.end_targets()
        self.engines.clear()
        self.site.close()
        return {
            request: stream.faults
            for request, stream in self.streams
            if stream.faults
        }

    def test_streams_keep_their_order(self):
        for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
            faults = self.check(seed)
            complete = self.complete_count()
            ways = collections.Counter(
                way
                for found in faults.values()
                for way in {fault[0] for fault in found}
            )
            print(
                f"seed {seed}: {len(self.streams)} streams, {complete}"
                f" complete, faulty: {dict(ways)}, {dict(self.counts)}"
            )
            self.assertEqual({}, faults)
            self.assertGreaterEqual(complete, MIN_STREAMS)
