"""A small deployment of real node processes, for the cases of the review.

The nodes run with the command of the deploy file on loopback addresses and the
real clock.  Servers, clients and the operator are small stand-ins that speak
the platform's protocol; they use the standard library only.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "depot.example"
KEY = "key-of-the-rounds-team"
TEAM = "rounds"
HEARTBEAT_MS = 1200
CONTACT_SECONDS = 3.0
DRAIN_SECONDS = 2.0
START_SECONDS = 30.0
# A case takes no longer than that.
MAX_SECONDS = 110.0
# Requesters abandon a stream after a longer gap: eight times the longest pause
# of its route.
MAX_GAP_SECONDS = 4.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run, with the time of each."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.path = pathlib.Path(path)
        self.path.write_text("", encoding="utf-8")

    def write(self, text):
        """Adds a line."""
        with self.path.open("a", encoding="utf-8") as file:
            file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")


def free_port(ips):
    """Returns a port that is free on all addresses."""
    for _ in range(100):
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        with contextlib.ExitStack() as stack:
            try:
                for ip in ips:
                    sock = stack.enter_context(socket.socket())
                    sock.bind((ip, port))
            except OSError:
                continue
            return port
    raise CaseError("no free port")


def free_port_range(ips, size):
    """Returns the first of some ports in a row that are free."""
    for first in range(21000, 29000, size):
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + size):
                    for ip in ips:
                        sock = stack.enter_context(socket.socket())
                        sock.bind((ip, port))
            except OSError:
                continue
            return first
    raise CaseError("no free port range")


class Answer:
    """The answer to a request; ``status`` is 0 if there was none."""

    def __init__(self, status=0, headers=None, body=b"", complete=False):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.complete = complete


async def exchange(address, data, *, timeout):
    """Sends bytes on a new channel; returns the answer to them."""
    host, _, port = address.rpartition(":")
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            await writer.drain()
            await read_answer(reader, answer)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer


async def read_answer(reader, answer):
    """Reads one answer into ``answer``, as far as it arrives."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *rest = head.strip().split("\r\n")
    answer.status = int(line.split(" ")[1])
    for item in rest:
        name, _, value = item.partition(":")
        answer.headers[name.lower()] = value.strip()
    if answer.headers.get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readline()).strip(), 16)
            data = await reader.readexactly(size + 2)
            if not size:
                answer.complete = True
                return
            answer.body += data[:-2]
    elif "content-length" in answer.headers:
        size = int(answer.headers["content-length"])
        answer.body = await reader.readexactly(size)
        answer.complete = True
    else:
        answer.body = await reader.read(-1)
        answer.complete = True


def encode(method, path, headers, body=b""):
    """Returns the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(address, method, path, body=None, *, timeout=1.0):
    """Calls one of the system's own interfaces; returns the answer."""
    headers = {"Host": "x"}
    data = b""
    if body is not None:
        headers["Content-Type"] = "application/json"
        data = json.dumps(body).encode()
    request = encode(method, path, headers, data)
    return await exchange(address, request, timeout=timeout)


class Server:
    """A stand-in for a runner of a plain service.

    It runs a request for ``work`` seconds.  ``on_run`` is called with the id
    and the headers of each request that begins to run.
    """

    def __init__(self, *, site, service, ip, name, zone="east", work=0.02):
        self.site = site
        self.service = service
        self.name = name
        self.zone = zone
        self.work = work
        self.ip = ip
        self.address = ""
        self.version = "v1"
        self.slots = 8
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        # Whether the last status report was acknowledged.
        self.last_taken = False
        self.extra_headers = {}
        self.runs = []
        # Attempts that have run to the end.
        self.ended = set()
        self.arrivals = []
        self.listener = None
        self.writers = set()

    async def start(self, port=0):
        """Listens for requests."""
        self.listener = await asyncio.start_server(self.accept, self.ip, port)
        port = self.listener.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{port}"

    async def stop(self):
        """Ends like a process that exits: all channels are closed."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def accept(self, reader, writer):
        """Serves the requests of one channel."""
        self.writers.add(writer)
        try:
            while await self.serve(reader, writer):
                pass
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        """Serves one request; returns whether to go on."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *rest = head.strip().split("\r\n")
        headers = {}
        for item in rest:
            name, _, value = item.partition(":")
            headers[name.lower()] = value.strip()
        size = int(headers.get("content-length", 0))
        body = await reader.readexactly(size)
        method, path, _ = line.split(" ")
        attempt = headers.get("x-attempt-id", "")
        if path == "/healthz":
            self.send(writer, 200, {"X-Instance-Id": self.name}, b"")
            return True
        expected = headers.get("x-expect-instance", self.name)
        if expected != self.name:
            self.send(
                writer,
                421,
                {"X-Attempt-Id": attempt, "X-Not-Executed": "1"},
                b"",
            )
            return True
        self.arrivals.append((time.monotonic(), attempt))
        return await self.run(writer, method, path, headers, body, attempt)

    async def run(self, writer, method, path, headers, body, attempt):
        """Runs a request; returns whether to go on with the channel."""
        self.runs.append((time.monotonic(), attempt))
        self.site.record.write(f"run {attempt} at {self.name}")
        await asyncio.sleep(self.work)
        if writer.transport.is_closing():
            return False
        self.ended.add(attempt)
        self.send(writer, 200, self.seal(attempt), b"ran " + attempt.encode())
        await writer.drain()
        return True

    def seal(self, attempt):
        """Returns the headers of an answer to a request that has run."""
        return {
            "X-Attempt-Id": attempt,
            "X-Instance-Seal": f"seal-of-{self.name}",
            "X-Instance-Load": f"0,0,{self.slots}",
            **self.extra_headers,
        }

    def send(self, writer, status, headers, body):
        """Sends an answer with a length."""
        lines = [f"HTTP/1.1 {status} Status"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    def report(self):
        """Returns the body of the next status report."""
        self.seq += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "stage": "both",
            "models": [],
            "seq": self.seq,
            "born": self.born,
        }

    async def beat(self, node):
        """Sends a status report to a node; returns whether it was taken."""
        report = self.report()
        self.last_taken = False
        answer = await call(
            node.control, "POST", f"/Instances.Heartbeat/{self.name}", report
        )
        taken = 200 <= answer.status < 300
        self.last_taken = taken
        self.site.record.write(
            f"report {report['seq']} ({report['state']}) of {self.name} to"
            f" {node.name}:"
            f" {answer.status}"
        )
        return taken

    async def deregister(self, node):
        """Says at a node that it leaves; returns whether it was taken."""
        answer = await call(
            node.control,
            "POST",
            f"/Instances.Deregister/{self.name}",
            {"born": self.born},
        )
        self.site.record.write(
            f"deregistration of {self.name} at {node.name}: {answer.status}"
        )
        return 200 <= answer.status < 300


class Engine(Server):
    """A stand-in for a model runner.

    A stream has ``events`` events, one each ``pause`` seconds.  It goes on
    after the event that ``Last-Event-Id`` names.
    """

    events = 60
    pause = 0.1
    # Seconds until the answer begins.
    prefill = 0.0

    async def run(self, writer, method, path, headers, body, attempt):
        """Runs a stream; returns whether to go on with the channel."""
        await asyncio.sleep(self.prefill)
        if writer.transport.is_closing():
            return False
        first = int(headers.get("last-event-id", "0")) + 1
        self.runs.append((time.monotonic(), attempt))
        self.site.record.write(f"run {attempt} at {self.name} from {first}")
        fields = {
            **self.seal(attempt),
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        lines = ["HTTP/1.1 200 OK"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.pause)
            if writer.transport.is_closing():
                return False
            event = f"id: {number}\ndata: {self.version}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Stream:
    """What a requester has received of a stream, over its tries."""

    def __init__(self):
        self.status = 0
        self.last_id = 0
        self.versions = []
        self.complete = False


async def read_stream(address, data, stream, *, max_gap):
    """Reads a stream until it ends, breaks off or pauses for too long."""
    host, _, port = address.rpartition(":")
    stream.status = 0
    writer = None
    try:
        async with asyncio.timeout(max_gap):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        stream.status = int(head.split(" ")[1])
        if stream.status != 200:
            return
        text = b""
        while True:
            async with asyncio.timeout(max_gap):
                size = int((await reader.readline()).strip(), 16)
                text += (await reader.readexactly(size + 2))[:-2]
            if not size:
                stream.complete = True
                return
            *events, text = text.split(b"\n\n")
            for event in events:
                fields = dict(
                    line.split(b": ", 1) for line in event.split(b"\n")
                )
                stream.last_id = int(fields[b"id"])
                stream.versions.append(fields[b"data"].decode())
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.transport.abort()


class Node:
    """One node process of the system."""

    def __init__(self, *, site, number, has_replica):
        self.site = site
        self.name = f"node-{number}"
        self.zone = ("east", "west", "south")[number % 3]
        self.ip = f"127.0.0.{10 + number}"
        self.has_replica = has_replica
        self.popen = None

    def place(self, ports):
        """Derives the addresses."""
        self.front = f"{self.ip}:{ports['front']}"
        self.control = f"{self.ip}:{ports['control']}"
        self.directory = f"{self.ip}:{ports['directory']}"
        self.readiness = f"{self.ip}:{ports['readiness']}"

    def write_settings(self, *, bootstrap):
        """Writes the settings file; returns its path."""
        site = self.site
        data = site.folder / f"data-{self.name}"
        if self.has_replica:
            data.mkdir(exist_ok=True)
        seeds = [node.control for node in site.nodes if node.has_replica][:3]
        text = f"""
nodeName = "{self.name}"
role = "node"
machineClass = "edge"
serves = ["edge", "control_plane", "registry"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "north"
portRange = [{site.first_port}, {site.first_port + 15}]
seeds = {json.dumps(seeds)}
bootstrap = {json.dumps(bootstrap)}
countsAsLoss = {json.dumps(self.has_replica)}
dataDir = "{data if self.has_replica else ""}"
discovery = "registration"
entry = "registry"
heartbeatMs = {HEARTBEAT_MS}
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine",
  "stream", "tenants"]
configMode = "highest"
[zones]
east = "north"
west = "north"
south = "north"
[listen]
front = "{self.front}"
readiness = "{self.readiness}"
control = "{self.control}"
directory = "{self.directory}"
[limits]
cpuShare = 0.968
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 64
[tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configMs = 2000
revertMs = 250
outerMs = 5000
failClosed = false
revokeMs = 5000
retryRatio = 0.2
retryWindowS = 10
retrySlack = 60
recoverS = 12
passMs = 120
reuseWindowS = 7.9
settle_ms = 1500
ttl_max_s = 5
"""
        path = site.folder / f"settings-{self.name}.toml"
        path.write_text(text, encoding="utf-8")
        return path

    def start(self, *, bootstrap=False):
        """Starts the process."""
        path = self.write_settings(bootstrap=bootstrap)
        log_path = self.site.folder / f"{self.name}.log"
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["GALENASHED_BOOT"] = str(path)
        env["PYTHONPATH"] = "target/deps"
        with log_path.open("ab") as log:
            self.popen = subprocess.Popen(
                ["python3", "-m", "galenashed.platform"],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.site.record.write(f"{self.name} started")

    def signal(self, number):
        """Sends a signal to the process."""
        assert self.popen is not None
        self.popen.send_signal(number)
        self.site.record.write(f"{self.name} gets {number.name}")

    def end(self):
        """Kills the process if it still runs."""
        if self.popen is None:
            return
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
        self.popen.wait()
        self.popen = None

    async def wait_until_ready(self):
        """Waits for the provider's readiness check to succeed."""
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline:
            if (await call(self.readiness, "GET", "/readyz")).status == 200:
                return
            await asyncio.sleep(0.1)
        raise CaseError(f"{self.name} was not ready")


class Site:
    """The deployment: nodes, of which the first ones have a disk."""

    def __init__(self, *, record, nodes=5, replicas=3):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.nodes = [
            Node(site=self, number=number, has_replica=number < replicas)
            for number in range(nodes)
        ]
        self.servers = []
        self.tasks = []
        self.version = 0
        ips = [node.ip for node in self.nodes]
        self.first_port = free_port_range(ips, 16)
        names = ("front", "readiness", "control", "directory")
        ports = {name: free_port(ips) for name in names}
        for node in self.nodes:
            node.place(ports)

    async def start(self, **changes):
        """Starts all nodes and sends the first configuration."""
        for node in self.nodes:
            node.start(bootstrap=True)
        deadline = time.monotonic() + START_SECONDS
        cfg = self.configuration(**changes)
        while not await self.put(cfg, self.nodes[0]):
            if time.monotonic() > deadline:
                raise CaseError("the first configuration was not taken")
            await asyncio.sleep(0.2)
        for node in self.nodes:
            await node.wait_until_ready()
        # All machines are in touch from then on.
        await asyncio.sleep(2 * CONTACT_SECONDS)

    async def close(self):
        """Ends all processes and removes the folder."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for node in self.nodes:
            node.end()
        for server in self.servers:
            await server.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for path in self.folder.glob("*.log"):
                shutil.copy(path, keep)
        shutil.rmtree(self.folder, ignore_errors=True)

    def route(self, name, prefix, kind, service, **changes):
        """Returns a route of the configuration."""
        return {
            "name": name,
            "host": HOST,
            "pathPrefix": prefix,
            "routeKind": kind,
            "timeoutMs": 3000,
            "targetLatencyMs": 400,
            "priority": 1,
            "service": service,
            "maxAttempts": 1 if kind == "unsafe" else 2,
            "anonymous": False,
            "sticky": kind == "streaming",
            "resumable": False,
            "maxGapMs": 500,
            **changes,
        }

    def stream_routes(self):
        """Returns the routes of a configuration for streams alone."""
        route = self.route("talk", "/talk/", "streaming", "engines")
        return [{**route, "resumable": True, "timeoutMs": 15000}]

    def configuration(self, **changes):
        """Returns a configuration with the next version."""
        self.version += 3
        engine = {"slots": 8, "kvCapacity": 90000, "stride": 4}
        return {
            "version": self.version,
            "routes": [
                self.route(
                    "talk", "/talk/", "streaming", "engines", resumable=True
                ),
                self.route("note", "/note/", "streaming", "engines"),
                self.route("order", "/order/", "unsafe", "app"),
                self.route("look", "/look/", "safe", "app"),
            ],
            "services": [
                {
                    "name": "engines",
                    "healthPath": "/healthz",
                    "maxConns": 510,
                    "protocol": "h1",
                    "tls": False,
                    "engine": engine,
                },
                {
                    "name": "app",
                    "healthPath": "/healthz",
                    "maxConns": 120,
                    "protocol": "h1",
                    "tls": False,
                },
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [
                {
                    "name": TEAM,
                    "apiKeys": [KEY],
                    "priority": 1,
                    "prepaid": 10_000_000,
                }
            ],
            **changes,
        }

    async def put(self, cfg, node):
        """Sends a configuration; returns whether it was acknowledged."""
        answer = await call(
            node.control, "POST", "/Configuration.Replace", cfg, timeout=3.0
        )
        self.record.write(
            f"configuration {cfg['version']} at {node.name}: {answer.status}"
        )
        return answer.status == 200

    async def add_server(self, kind, **options):
        """Starts a server."""
        server = kind(site=self, **options)
        await server.start()
        self.servers.append(server)
        return server

    def go(self, coro):
        """Runs a task until the deployment is closed."""
        task = asyncio.create_task(coro)
        self.tasks.append(task)
        return task

    async def request(
        self, node, attempt, path, *, method="POST", headers=None, body=b"x"
    ):
        """Sends a requester's attempt on a new channel."""
        fields = {
            "Host": HOST,
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": "3000",
            "Api-Key": KEY,
            **(headers or {}),
        }
        if method == "GET":
            body = b""
        self.record.write(f"sent {attempt} {path} to {node.name}")
        answer = await exchange(
            node.front,
            encode(method, path, fields, body),
            timeout=int(fields["X-Deadline-Ms"]) / 1000 + 0.5,
        )
        seal = answer.headers.get("x-instance-seal", "none")
        self.record.write(
            f"answered {attempt}: {answer.status}, {seal},"
            f" complete: {answer.complete}"
        )
        return answer


async def send_orders(site, node, *, gap):
    """Sends orders, which may run once at most, to a node until cancelled."""
    number = 0
    pending = set()
    while True:
        number += 1
        attempt = f"{node.name}-{number}"
        task = asyncio.create_task(site.request(node, attempt, "/order/x"))
        pending.add(task)
        task.add_done_callback(pending.discard)
        await asyncio.sleep(gap)


def make_stream_request(attempt, *, resumes="", last_id=0):
    """Returns the bytes of a requester's attempt at a stream."""
    fields = {
        "Host": HOST,
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": "9000" if resumes else "15000",
        "Api-Key": KEY,
        "X-Model": "m",
        "X-Token-Usage": "40,400",
        "X-Prefix-Hash": f"5c1e07a2:30,{attempt.encode().hex()}:10",
    }
    if resumes:
        fields["Resumes"] = resumes
        fields["Last-Event-Id"] = str(last_id)
    return encode("POST", "/talk/x", fields, b"x")


async def send_stream(site, node, stream, attempt, *, resumes="", last_id=0):
    """Sends a requester's attempt at a stream and reads the answer."""
    after = f" after {last_id}" if resumes else ""
    site.record.write(f"sent {attempt}{after} to {node.name}")
    data = make_stream_request(attempt, resumes=resumes, last_id=last_id)
    await read_stream(node.front, data, stream, max_gap=MAX_GAP_SECONDS)
    site.record.write(
        f"answered {attempt}: {stream.status}, up to {stream.last_id},"
        f" complete: {stream.complete}"
    )


async def add_engine(site, name, version, nodes, *, pause=0.1):
    """Starts a model runner of a software version.

    Returns it with the task that sends its status reports.
    """
    engine = Engine(site=site, service="engines", ip="127.0.0.40", name=name)
    engine.version = version
    engine.slots = 96
    engine.pause = pause
    await engine.start()
    site.servers.append(engine)
    return engine, site.go(report_to(engine, nodes))


async def report_to(server, nodes):
    """Sends status reports until cancelled.

    They go to the first node for as long as it takes them, else to the next.
    """
    position = 0
    while True:
        for _ in nodes:
            if await server.beat(nodes[position]):
                break
            position = (position + 1) % len(nodes)
        await asyncio.sleep(HEARTBEAT_MS / 1000)


def find_late(site, server, limit, acknowledged_at):
    """Returns the requests that reached a server after a time."""
    late = [item for item in server.arrivals if item[0] > limit]
    lost = [item for item in late if item[1] not in server.ended]
    site.record.write(
        f"{len(late)} late requests at {server.name}, {len(lost)} of them"
        " were cut off as it exited"
    )
    for at, attempt in late:
        site.record.write(
            f"late: {attempt} reached {server.name}"
            f" {at - acknowledged_at:.3f} s after the acknowledgement"
        )
    return late


async def run(case, record):
    """Runs a case; ends it after a time or at SIGTERM."""
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(MAX_SECONDS):
        return await case(record)


def main(folder, case):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held.

    Exits with 2 if the case could not run.
    """
    record = Record(pathlib.Path(folder) / "record.txt")
    record.write(f"trouble: {TROUBLE}")
    try:
        broken = asyncio.run(run(case, record))
    except (Exception, asyncio.CancelledError) as exc:
        record.write(f"not run: {exc!r}")
        print(f"not run: {exc!r}")
        sys.exit(NOT_RUN)
    verdict = f"broken: {broken}" if broken else "held"
    record.write(verdict)
    print(verdict)
    sys.exit(BROKEN if broken else HELD)
