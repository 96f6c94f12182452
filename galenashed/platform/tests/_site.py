"""Nodes in processes of their own on loopback addresses, and test targets."""

import asyncio
import contextlib
import json
import pathlib
import re
import shutil
import signal
import tempfile
import threading
import time

from galenashed import control
from galenashed.platform import _settings
from galenashed.protocol import control as wire
from galenashed.tests import _fleet

HOST = "depot.example"
KEY = "key-of-the-rounds-team"
TEAM = "rounds"
SERVICES = ("engines", "app")
# The settings name at most this many nodes.
MAX_SEEDS = 3
# What a target sends without an end, unless its connection closes before.
ENDLESS_BYTES = 64 * 2**20
ENDLESS_AFTER_EVENT = 4
LAST_EVENT = 10


class Target:
    """A target of one service, which records the requests that it executes.

    It takes ``delay`` seconds for a response, or for each event of a stream,
    unless the request has a header ``X-Delay``.
    """

    def __init__(self, *, service, address, target_id, version="v1"):
        self.service = service
        # An engine names the version of its software in the data of its
        # events, and does not check at which one a stream began.
        self.version = version
        self.address = address
        self.id = target_id
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.executions = []
        self.break_after = None
        # After ``break_after`` events, an engine closes a response without
        # length or chunks in an orderly way, in the middle of an event.
        self.closes_inside_event = False
        # An engine crashes when it begins to answer a request with this part
        # of its prompt, and starts again after ``restart_seconds``.
        self.deadly_part = None
        # The number of events of an answer after which it crashes, LAST_EVENT
        # for all of them; 0 for the middle of the first one.
        self.deadly_after = 0
        # A target crashes without a response head when it begins to run a
        # request for this path.
        self.deadly_path = None
        self.restart_seconds = 0.5
        # The requests a second that it names as its limit, None for none, and
        # when it got requests.
        self.limit = None
        self.arrivals = []
        # Whether it says in its answers that it leaves, and the seconds after
        # which a rejected request may come again, None if it names none.
        self.says_leaving = False
        # The rejections a second over which it falls over, None if it stands.
        self.brittle = None
        self.retry_after = None
        # Rejects every second request, in an answer that names no limit.
        self.rejects_without_limit = False
        self.crashes = 0
        self.crash_times = []
        self.writers = set()
        self.cancelled_streams = 0
        self.reject = False
        self.delay = 0.0
        # ``endless`` is sent again and again after ``endless_start``, in place
        # of a response or, by an engine, of the events after
        # ENDLESS_AFTER_EVENT.
        self.endless_start = b""
        self.endless = b""
        self.endless_sent_bytes = 0
        self.endless_closed = 0
        self.server = None

    async def start(self):
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))

    async def crash(self):
        """Closes all connections and refuses new ones for a time."""
        if not self.server.is_serving():
            return
        self.crashes += 1
        self.crash_times.append(time.monotonic())
        self.server.close()
        for writer in list(self.writers):
            writer.close()
        await asyncio.sleep(self.restart_seconds)
        self.born = int(time.time() * 1000)
        self.seq = 0
        await self.start()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *rest = head.strip().split("\r\n")
        method, path, _ = line.split(" ")
        headers = dict(
            (name.lower(), value.strip())
            for name, _, value in (item.partition(":") for item in rest)
        )
        size = int(headers.get("content-length", 0))
        body = await reader.readexactly(size)
        if headers.get("x-expect-instance") != self.id:
            await self.send_response(
                writer, 421, headers, b"", not_executed=True
            )
            return True
        if self.reject:
            self.arrivals.append(time.monotonic())
            await self.send_response(
                writer, 503, headers, b"", not_executed=True
            )
            return True
        self.arrivals.append(time.monotonic())
        if self.rejects_without_limit and len(self.arrivals) % 2:
            writer.write(
                b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n"
                b"X-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n"
                % headers.get("x-attempt-id", "").encode()
            )
            await writer.drain()
            return True
        self.executions.append((method, path, headers, body))
        if path == self.deadly_path:
            await self.crash()
            return False
        if self.service == "engines":
            return await self.send_events(writer, headers)
        if self.endless:
            await self.send_endless(writer)
            return False
        return await self.run(writer, headers, body)

    async def run(self, writer, headers, body):
        """Runs a request to a plain service; returns whether to go on."""
        await asyncio.sleep(float(headers.get("x-delay", self.delay)))
        await self.send_response(writer, 200, headers, b"ran:" + body)
        return True

    async def send_endless(self, writer):
        """Sends ``endless`` until the connection closes."""
        piece = self.endless * (64 * 1024 // len(self.endless))
        writer.write(self.endless_start)
        sent = 0
        try:
            while sent < ENDLESS_BYTES:
                writer.write(piece)
                await writer.drain()
                sent += len(piece)
            while not writer.transport.is_closing():
                await asyncio.sleep(0.05)
        finally:
            self.endless_sent_bytes += sent
            self.endless_closed += 1

    def response_head(self, status, headers):
        return (
            f"HTTP/1.1 {status} Status\r\n"
            f"X-Attempt-Id: {headers.get('x-attempt-id', '')}\r\n"
            f"X-Instance-Seal: seal-of-{self.id}\r\n"
            "X-Instance-Load: 0,0,8\r\n"
            + (f"Server-Limit: {self.limit}\r\n" if self.limit else "")
            + ("Server-Leaving: 1\r\n" if self.says_leaving else "")
            + (f"Server-Brittle: {self.brittle}\r\n" if self.brittle else "")
        )

    async def send_response(
        self, writer, status, headers, body, *, not_executed=False
    ):
        head = self.response_head(status, headers)
        if not_executed:
            head += "X-Not-Executed: 1\r\n"
        if not_executed and self.retry_after is not None:
            head += f"Retry-After: {self.retry_after}\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()

    async def send_events(self, writer, headers):
        """Sends the events 1 to 10, or those after the last-event-id."""
        first = int(headers.get("last-event-id", 0)) + 1
        delay = float(headers.get("x-delay", self.delay))
        head = self.response_head(200, headers)
        head += "Content-Type: text/event-stream\r\n"
        prompt = headers.get("x-prefix-hash", "")
        is_deadly = self.deadly_part and f"{self.deadly_part}:" in prompt
        if is_deadly and not self.deadly_after:
            writer.write(f"{head}\r\nid: 1\n".encode())
            await self.crash()
            return False
        if self.closes_inside_event:
            return await self.send_events_and_close(writer, head, first)
        head += "Transfer-Encoding: chunked\r\n\r\n"
        writer.write(head.encode())
        for number in range(first, LAST_EVENT + 1):
            if self.endless and number > ENDLESS_AFTER_EVENT:
                await self.send_endless(writer)
                return False
            if self.break_after is not None and number > self.break_after:
                writer.write(b"8\r\nid: 99\nd\r\n")
                writer.transport.abort()
                return False
            event = self.event(number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            if is_deadly and self.crashes_after(number, first):
                await writer.drain()
                await self.crash()
                return False
            try:
                await writer.drain()
                await asyncio.sleep(delay)
            except ConnectionError:
                self.cancelled_streams += 1
                raise
            if writer.transport.is_closing():
                self.cancelled_streams += 1
                return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    def crashes_after(self, number, first):
        """Whether an answer on a deadly part ends with an event."""
        if self.deadly_after == LAST_EVENT:
            return number == LAST_EVENT
        return number - first + 1 == self.deadly_after

    async def send_events_and_close(self, writer, head, first):
        writer.write(f"{head}\r\n".encode())
        for number in range(first, self.break_after + 1):
            writer.write(self.event(number))
        writer.write(b"id: %d\nda" % (self.break_after + 1))
        await writer.drain()
        return False

    def event(self, number):
        return b"id: %d\ndata: %s\n\n" % (number, self.version.encode())

    def next_heartbeat(self):
        """Returns the body of the next heartbeat."""
        self.seq += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": "east",
            "version": self.version,
            "slots": 8,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self.seq,
            "born": self.born,
        }


class Site:
    """A small deployment that is none of the documented ones.

    The first ``replicas`` nodes have a data directory; ``tolerance`` of these
    may fail at the same time.
    """

    def __init__(
        self,
        *,
        nodes=4,
        replicas=3,
        prepaid=100_000,
        tolerance=1,
        grace=6,
        time_limit=3.0,
        module="galenashed.platform",
    ):
        self.module = module
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="site-"))
        self.prepaid = prepaid
        self.tolerance = tolerance
        self.grace = grace
        self.time_limit = time_limit
        self.ports = [_fleet.free_port() for _ in range(6)]
        self.ips = [f"127.0.0.{10 + n}" for n in range(nodes)]
        self.replicas = replicas
        self.version = 0
        self.processes = [self._make_process(n) for n in range(nodes)]
        self.targets = []
        self.loop = asyncio.new_event_loop()
        self.loop_thread = threading.Thread(target=self.loop.run_forever)
        self.heartbeat_thread = threading.Thread(target=self.send_heartbeats)
        self.stopping = threading.Event()

    def _make_process(self, number):
        path = self.write_settings(number, bootstrap=True)
        return _fleet.Process(
            f"node-{number}",
            [],
            self.folder,
            module=self.module,
            env={
                "GALENASHED_BOOT": str(path),
                "CUT_FILE": str(self.cut_file(number)),
            },
        )

    def cut_file(self, number):
        """The file that cuts a node's paths; see :mod:`_cut_node`."""
        return self.folder / f"cut-{number}"

    def data_folder(self, number):
        return self.folder / f"data-{number}"

    def write_settings(self, number, *, bootstrap):
        front, ready, control_port, directory, low, high = self.ports
        ip = self.ips[number]
        seed_ips = self.ips[: min(MAX_SEEDS, self.replicas)]
        seeds = [f"{seed}:{control_port}" for seed in seed_ips]
        has_replica = number < self.replicas
        zone = ("east", "west")[number % 2]
        text = f"""
nodeName = "node-{number}"
role = "node"
ip = "{ip}"
zone = "{zone}"
region = "north"
portRange = [{min(low, high)},{max(low, high)}]
seeds = {json.dumps(seeds)}
bootstrap = {json.dumps(bootstrap)}
countsAsLoss = {json.dumps(has_replica)}
dataDir = "{self.data_folder(number) if has_replica else ""}"
heartbeatMs = 300
[listen]
front = "{ip}:{front}"
readiness = "{ip}:{ready}"
control = "{ip}:{control_port}"
directory = "{ip}:{directory}"
[tolerance]
machines = {self.tolerance}
[bounds]
graceS = {self.grace}
retryRatio = 2.0
retrySlack = 60
ttl_max_s = 4
somethingNew = 3
"""
        path = self.folder / f"settings-{number}.toml"
        path.write_text(text)
        return path

    # Addresses

    def front_address(self, number):
        return f"{self.ips[number]}:{self.ports[0]}"

    def readiness_address(self, number):
        return f"{self.ips[number]}:{self.ports[1]}"

    def control_address(self, number):
        return f"{self.ips[number]}:{self.ports[2]}"

    def replica_address(self, number):
        port_range = sorted(self.ports[4:])
        port = port_range[0] + _settings.CONTROL_PORT_OFFSET
        return f"{self.ips[number]}:{port}"

    def directory_address(self, number):
        return f"{self.ips[number]}:{self.ports[3]}"

    # Lifecycle

    def __enter__(self):
        self.loop_thread.start()
        self.heartbeat_thread.start()
        for process in self.processes:
            process.start()
        try:
            _fleet.wait_for(
                lambda: self.put_configuration() == 200, "a configuration"
            )
            for number in range(len(self.processes)):
                self.wait_until_ready(number)
                self.wait_for_discovery(number)
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *args):
        self.close()

    def close(self):
        self.stopping.set()
        self.heartbeat_thread.join()
        for process in self.processes:
            if process.popen is not None and process.popen.poll() is None:
                process.kill()
        for target in self.targets:
            self.loop.call_soon_threadsafe(target.server.close)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.loop_thread.join()
        shutil.rmtree(self.folder, ignore_errors=True)

    def lose_power(self, *, lost_disks=()):
        """Kills all processes at once and empties some data directories.

        What was written is kept, unlike by a real loss of power.
        """
        for process in self.processes:
            process.signal(signal.SIGKILL)
        for process in self.processes:
            process.wait()
        for number in lost_disks:
            self.lose_disk(number)

    def lose_disk(self, number):
        """Empties the data directory of a node that is not running."""
        for path in self.data_folder(number).iterdir():
            path.unlink()

    def start_again(self):
        """Starts all processes of a deployment that has run before."""
        for number, process in enumerate(self.processes):
            self.write_settings(number, bootstrap=False)
            process.start()

    # Replicas

    def replica_statuses(self):
        """Returns the status of each replica by the number of its node.

        Replicas that do not answer are left out.
        """
        future = asyncio.run_coroutine_threadsafe(
            self.fetch_replica_statuses(), self.loop
        )
        return future.result(10)

    def balance(self):
        """Returns what control records of the tokens of the team."""
        future = asyncio.run_coroutine_threadsafe(
            self.fetch_balance(), self.loop
        )
        return future.result(10)

    def make_control_client(self):
        addresses = {
            str(number): self.replica_address(number)
            for number in range(self.replicas)
        }
        return control.ControlClient(
            replicas=addresses, key=_settings.PEER_KEY
        )

    async def fetch_balance(self):
        client = self.make_control_client()
        try:
            reply = await client.query(
                wire.Query(kind="balance", subject=TEAM), timeout=5.0
            )
        finally:
            await client.close()
        return reply.balances[0]

    async def fetch_replica_statuses(self):
        client = self.make_control_client()
        try:
            statuses = await client.statuses(timeout=1.0)
        finally:
            await client.close()
        return {
            int(number): status
            for number, status in statuses.items()
            if status is not None
        }

    def leader(self):
        """Returns the number of the leader's node; None if there is none."""
        leaders = [
            (status.term, number)
            for number, status in self.replica_statuses().items()
            if status.role == "leader"
        ]
        return max(leaders)[1] if leaders else None

    def voting_nodes(self):
        """Returns the nodes whose running replicas vote, for the leader.

        None if there is no leader, or if another replica votes as well.
        """
        statuses = self.replica_statuses()
        leaders = [s for s in statuses.values() if s.role == "leader"]
        if not leaders:
            return None
        leader = max(leaders, key=lambda status: status.term)
        voters = {m.name for m in leader.members if not m.learner}
        running = {
            number
            for number, status in statuses.items()
            if status.name in voters
        }
        return running if len(running) == len(voters) else None

    def wait_for_voters(self, count, *, timeout=_fleet.WAIT_SECONDS):
        """Waits until ``count`` replicas vote, all of them running."""
        return _fleet.wait_for(
            lambda: len(self.voting_nodes() or ()) == count,
            f"{count} running voters",
            timeout=timeout,
        )

    def wait_until_ready(self, number):
        _fleet.wait_for(
            lambda: (
                self.try_fetch(self.readiness_address(number), "/readyz")
                == 200
            ),
            f"node {number}",
        )

    def wait_for_discovery(self, number):
        _fleet.wait_for(
            lambda: self.discover_entries(number), "entries for callers"
        )

    def discover_entries(self, number, zone=""):
        """Returns the entries that a node lists for callers, if any."""
        response = _fleet.fetch(
            self.directory_address(number),
            f"/resolve?name=x&zone={zone}",
            key="",
        )
        return set(response.json().get("addresses", ()))

    def try_fetch(self, address, path, **options):
        """Returns the status; None if the connection fails."""
        try:
            return _fleet.fetch(address, path, key="", **options).status
        except OSError:
            return None

    def counter(self, number, name):
        """Returns a counter of a node; 0 before its first event."""
        page = _fleet.fetch(self.control_address(number), "/metrics", key="")
        found = re.search(
            rf"galenashed_{name.replace('.', '_')}_total (\d+)",
            page.body.decode(),
        )
        return int(found[1]) if found else 0

    # Operators

    def configuration(self, **changes):
        cfg = {
            "version": self.version,
            "routes": [
                self.route("generate", "/g/", "streaming", "engines"),
                self.route("note", "/n/", "streaming", "engines"),
                self.route("order", "/o/", "unsafe", "app"),
                self.route("look", "/l/", "safe", "app"),
            ],
            "services": [
                {
                    "name": "engines",
                    "healthPath": "/healthz",
                    "maxConns": 100,
                    "engine": {"slots": 8, "kvCapacity": 9000, "stride": 4},
                },
                {"name": "app", "healthPath": "/healthz", "maxConns": 100},
            ],
            "limits": {
                "maxHeaderBytes": 8192,
                "maxBodyBytes": 1000,
                "headerTimeoutMs": 2000,
                "idleTimeoutMs": 5000,
            },
            "tenants": [
                {"name": TEAM, "apiKeys": [KEY], "prepaid": self.prepaid}
            ],
        }
        cfg["routes"][0]["resumable"] = True
        cfg.update(changes)
        return cfg

    def route(self, name, prefix, kind, service):
        return {
            "name": name,
            "host": HOST,
            "pathPrefix": prefix,
            "routeKind": kind,
            "timeoutMs": int(1000 * self.time_limit),
            "targetLatencyMs": 500,
            "priority": 1,
            "service": service,
            "maxAttempts": 2,
            "anonymous": False,
            "sticky": kind == "streaming",
            "resumable": False,
            "maxGapMs": 500,
        }

    def put_configuration(self, number=0, **changes):
        """Sends a configuration with a higher version; returns the status."""
        self.version += 3
        return self.try_fetch(
            self.control_address(number),
            "/Configuration.Replace",
            method="POST",
            body=self.configuration(**changes),
        )

    # Targets

    def add_target(self, service, node=0, target_class=Target, **options):
        """Starts a target and sends its first heartbeat to a node."""
        number = len(self.targets)
        target = target_class(
            service=service,
            address=f"127.0.0.1:{_fleet.free_port()}",
            target_id=f"target-{number}",
            **options,
        )
        future = asyncio.run_coroutine_threadsafe(target.start(), self.loop)
        future.result(10)
        self.announce(target, node)
        self.targets.append(target)
        return target

    def send_heartbeats(self):
        """Sends each target's heartbeats to the first node that responds."""
        while not self.stopping.wait(0.3):
            for target in self.targets:
                for number in range(len(self.ips)):
                    with contextlib.suppress(OSError):
                        self.announce(target, number)
                        break

    def announce(self, target, node=0):
        response = _fleet.fetch(
            self.control_address(node),
            f"/Instances.Heartbeat/{target.id}",
            method="POST",
            body=target.next_heartbeat(),
            key="",
        )
        assert response.status == 200, response.body

    # Callers

    def call(
        self,
        path,
        *,
        node=0,
        method="POST",
        body=b"x",
        timeout=30.0,
        **headers,
    ):
        """Sends a caller's request to a node."""
        default_headers = {
            "Host": HOST,
            "X-Attempt-Id": f"id-{time.monotonic_ns()}",
            "X-Deadline-Ms": "3000",
            "Api-Key": KEY,
        }
        for name, value in headers.items():
            default_headers[name.replace("_", "-")] = value
        return _fleet.fetch(
            self.front_address(node),
            path,
            method=method,
            body=body,
            key="",
            timeout=timeout,
            headers={
                n: v for n, v in default_headers.items() if v is not None
            },
        )

    def generate(self, path="/g/x", *, node=0, tokens="100,40", **headers):
        return self.call(
            path,
            node=node,
            X_Model="m",
            X_Token_Usage=tokens,
            **{"X_Prefix_Hash": "aa:60,bb:30,cc:10", **headers},
        )
