"""A small deployment of real processes, with stand-ins, for review scripts.

The nodes are started with the command of the deploy file, on loopback
addresses.  Runners, requesters and the operator are stand-ins that follow the
protocol of the platform.  What was sent, answered and run is kept in a record.
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
import typing

ROOT = pathlib.Path(__file__).resolve().parents[1]
HOST = "depot.example"
KEY = "key-of-the-rounds-tenant"
TENANT = "rounds"
ENGINES = "galena-fleet"
APP = "rounds-app"
# Bounds of the small deployment, in seconds.
CONTACT = 3.0
DRAIN = 2.0
CONFIG = 2.0
HEARTBEAT = 1.2
GRACE = 8.0

HELD, BROKEN, FAILED = 0, 1, 2


class Record:
    """The record of a run: one line for each thing that happened."""

    def __init__(self, folder: pathlib.Path):
        self.path = folder / "record.txt"
        self.began = time.monotonic()
        self.file = open(self.path, "w", encoding="utf-8")  # noqa: SIM115

    def now(self) -> float:
        return time.monotonic() - self.began

    def write(self, text: str) -> None:
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()


_next_port = 20_000 + (os.getpid() * 37) % 9_000


def free_port(ips: typing.Sequence[str], count: int = 1) -> int:
    """Returns the first of ``count`` ports that are free at all addresses.

    No port is returned twice.
    """
    global _next_port
    for port in range(_next_port, 32_000, count):
        _next_port = port + count
        socks = []
        try:
            for ip in ips:
                for offset in range(count):
                    sock = socket.socket()
                    socks.append(sock)
                    sock.bind((ip, port + offset))
            return port
        except OSError:
            continue
        finally:
            for sock in socks:
                sock.close()
    raise RuntimeError("no free ports")


class Answer(typing.NamedTuple):
    """A response as a requester has read it.

    ``complete`` tells whether the end of the body was seen.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


class Channel:
    """A requester's channel, kept open for many requests."""

    def __init__(self, address: str):
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        host, _, port = self.address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, port)

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def call(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        timeout: float = 20.0,
    ) -> Answer:
        """Sends a request; raises OSError if no response head arrives."""
        async with asyncio.timeout(timeout):
            if self.writer is None:
                await self.open()
            assert self.reader is not None and self.writer is not None
            fields = {"Host": HOST, **(headers or {})}
            if body or method == "POST":
                fields["Content-Length"] = str(len(body))
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in fields.items()]
            head = "\r\n".join(lines) + "\r\n\r\n"
            self.writer.write(head.encode("latin-1") + body)
            try:
                return await self._read()
            except asyncio.IncompleteReadError as exc:
                self.close()
                raise ConnectionError("closed without a response") from exc

    async def _read(self) -> Answer:
        assert self.reader is not None
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *rest = head.strip().split("\r\n")
        status = int(first.split(" ")[1])
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in rest)
        }
        body = b""
        complete = True
        try:
            if headers.get("transfer-encoding") == "chunked":
                while size := int(await self.reader.readline() or b"z", 16):
                    body += await self.reader.readexactly(size)
                    await self.reader.readexactly(2)
                await self.reader.readline()
            elif "content-length" in headers:
                length = int(headers["content-length"])
                body = await self.reader.readexactly(length)
        except (asyncio.IncompleteReadError, OSError, ValueError):
            complete = False
        if not complete or headers.get("connection", "").lower() == "close":
            self.close()
        return Answer(status, headers, body, complete)


async def fetch(
    address: str,
    method: str,
    path: str,
    body: typing.Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = 1.0,
) -> Answer | None:
    """Sends one request on a new channel; None if there was no response."""
    channel = Channel(address)
    data = b"" if body is None else json.dumps(body).encode()
    try:
        return await channel.call(method, path, headers, data, timeout)
    except (OSError, TimeoutError):
        return None
    finally:
        channel.close()


class Runner:
    """A runner of one service, in this process.

    It refuses requests that name another instance, and records those that it
    runs.  ``framed`` tells whether its answers have a length or chunks;
    without, they end with their channel.  A stream has ``events`` events,
    ``pause`` seconds apart; another answer takes ``work`` seconds.
    """

    def __init__(
        self,
        site: "Site",
        service: str,
        name: str,
        *,
        address: str | None = None,
        version: str = "v1",
        framed: bool = True,
        events: int = 6,
        pause: float = 0.1,
        work: float = 0.06,
    ):
        self.site = site
        self.service = service
        self.name = name
        self.address = address or f"127.0.0.1:{free_port(['127.0.0.1'])}"
        self.version = version
        self.framed = framed
        self.events = events
        self.pause = pause
        self.work = work
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.leaving = False
        # Time, request id and first event of what it ran.
        self.runs: list[tuple[float, str, int]] = []
        # Ids of the requests whose answers it has sent in full.
        self.answered: list[str] = []
        self.active = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self._beats: asyncio.Task | None = None

    async def start(self, *, beats: bool = True) -> None:
        """Listens, and reports itself every ``HEARTBEAT`` seconds."""
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))
        self.site.record.write(
            f"runner {self.name} of {self.service} ({self.version}) listens"
            f" at {self.address}, born {self.born}"
        )
        self.site.runners.append(self)
        if beats:
            self.start_beats()

    def start_beats(self) -> None:
        self._beats = asyncio.create_task(self._send_beats())

    def stop_beats(self) -> None:
        if self._beats is not None:
            self._beats.cancel()
            self._beats = None

    async def _send_beats(self) -> None:
        first = hash(self.name) % len(self.site.nodes)
        while True:
            for offset in range(len(self.site.nodes)):
                node = (first + offset) % len(self.site.nodes)
                if await self.beat(node):
                    first = node
                    break
            await asyncio.sleep(HEARTBEAT)

    def report(self) -> dict[str, typing.Any]:
        """Returns the body of the next status report."""
        self.seq += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": "east",
            "version": self.version,
            "slots": 64,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self.seq,
            "born": self.born,
        }

    async def beat(
        self, node: int, report: dict[str, typing.Any] | None = None
    ) -> bool:
        """Sends a status report; returns whether it was acknowledged."""
        body = report or self.report()
        answer = await fetch(
            self.site.control(node),
            "POST",
            f"/Instances.Heartbeat/{self.name}",
            body,
        )
        return answer is not None and answer.status == 200

    async def deregister(self, node: int) -> bool:
        """Says that it leaves; returns whether that was acknowledged."""
        answer = await fetch(
            self.site.control(node),
            "POST",
            f"/Instances.Deregister/{self.name}",
            {"born": self.born},
        )
        return answer is not None and answer.status == 200

    def stop_listening(self) -> None:
        """Accepts no new channels; what is in flight goes on."""
        if self.server is not None:
            self.server.close()
            self.server = None

    def crash(self) -> None:
        """Ends as a process that is killed does."""
        self.stop_beats()
        self.stop_listening()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            # The channel has ended, or the case has.
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()

    async def _serve_one(self, reader, writer) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *rest = head.strip().split("\r\n")
        _, path, _ = first.split(" ")
        headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in rest)
        }
        await reader.readexactly(int(headers.get("content-length", 0)))
        request = headers.get("x-attempt-id", "")
        if headers.get("x-expect-instance") != self.name:
            writer.write(
                self._head(421, request)
                + b"X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )
            return True
        after = int(headers.get("last-event-id", 0))
        self.runs.append((self.site.record.now(), request, after))
        self.site.record.write(
            f"runner {self.name} runs {request} {path}"
            + (f" after event {after}" if after else "")
        )
        self.active += 1
        try:
            if self.service == ENGINES:
                return await self._send_events(writer, request, after)
            return await self._send_body(writer, request)
        finally:
            self.active -= 1

    def _head(self, status: int, request: str) -> bytes:
        return (
            f"HTTP/1.1 {status} Status\r\n"
            f"X-Attempt-Id: {request}\r\n"
            f"X-Instance-Seal: seal-{self.name}-{self.born}\r\n"
            f"X-Instance-Load: {self.active},0,64\r\n"
            + ("Server-Leaving: 1\r\n" if self.leaving else "")
        ).encode()

    async def _send_body(self, writer, request: str) -> bool:
        await asyncio.sleep(self.work)
        body = f"ran {request} at {self.name}".encode()
        head = self._head(200, request)
        if self.framed:
            head += b"Content-Length: %d\r\n" % len(body)
        writer.write(head + b"\r\n" + body)
        await writer.drain()
        self._note_answered(request)
        return self.framed

    def _note_answered(self, request: str) -> None:
        self.answered.append(request)
        self.site.record.write(f"runner {self.name} has answered {request}")

    async def _send_events(self, writer, request: str, after: int) -> bool:
        head = self._head(200, request)
        head += b"Content-Type: text/event-stream\r\n"
        if self.framed:
            head += b"Transfer-Encoding: chunked\r\n"
        await asyncio.sleep(0.02)
        for number in range(after + 1, self.events + 1):
            event = f"id: {number}\ndata: {self.version}\n\n".encode()
            if self.framed:
                event = b"%x\r\n%s\r\n" % (len(event), event)
            if head:
                event = head + b"\r\n" + event
                head = b""
            writer.write(event)
            await writer.drain()
            if number < self.events:
                await asyncio.sleep(self.pause)
        if head:
            writer.write(head + b"\r\n")
        if self.framed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        self._note_answered(request)
        return self.framed


class Site:
    """Nodes on loopback addresses; the first ``core`` of them have a disk."""

    def __init__(
        self,
        record: Record,
        *,
        nodes: int = 4,
        core: int = 3,
        memory_mb: int = 300,
    ):
        self.record = record
        self.memory_mb = memory_mb
        self.core = core
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        base = 20 + os.getpid() % 200
        self.ips = [f"127.0.{base}.{10 + n}" for n in range(nodes)]
        first = free_port(self.ips, 24)
        self.front_port, self.ready_port = first, first + 1
        self.control_port, self.directory_port = first + 2, first + 3
        self.range = [first + 8, first + 23]
        self.nodes: list[subprocess.Popen | None] = [None] * nodes
        self.runners: list[Runner] = []
        self.version = 0

    def front(self, node: int) -> str:
        return f"{self.ips[node]}:{self.front_port}"

    def control(self, node: int) -> str:
        return f"{self.ips[node]}:{self.control_port}"

    def _write_settings(self, node: int, *, bootstrap: bool) -> pathlib.Path:
        ip = self.ips[node]
        has_disk = node < self.core
        data = self.folder / f"data-{node}" if has_disk else ""
        seeds = [f"{ip}:{self.control_port}" for ip in self.ips[:3]]
        text = f"""
nodeName = "edge-{node}"
role = "node"
machineClass = "edge"
serves = ["edge","control_plane","registry"]
ip = "{ip}"
zone = "{("east", "west", "south")[node % 3]}"
region = "north"
portRange = {json.dumps(self.range)}
seeds = {json.dumps(seeds)}
bootstrap = {json.dumps(bootstrap)}
countsAsLoss = {json.dumps(has_disk)}
dataDir = "{data}"
discovery = "registration"
entry = "registry"
heartbeatMs = {int(HEARTBEAT * 1000)}
configMode = "highest"
[zones]
east = "north"
west = "north"
south = "north"
[listen]
front = "{ip}:{self.front_port}"
readiness = "{ip}:{self.ready_port}"
control = "{ip}:{self.control_port}"
directory = "{ip}:{self.directory_port}"
[limits]
cpuShare = 0.968
cores = 2
memoryMb = {self.memory_mb}
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
contactMs = {int(CONTACT * 1000)}
ackMs = 4000
catchUpS = 4
drainMs = {int(DRAIN * 1000)}
graceS = {int(GRACE)}
lossSlackMs = 200
configMs = {int(CONFIG * 1000)}
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
        path = self.folder / f"settings-{node}.toml"
        path.write_text(text, encoding="utf-8")
        return path

    def start_node(self, node: int, *, bootstrap: bool = False) -> None:
        """Starts the program of the deploy file."""
        if node < self.core:
            (self.folder / f"data-{node}").mkdir(exist_ok=True)
        path = self._write_settings(node, bootstrap=bootstrap)
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["GALENASHED_BOOT"] = str(path)
        with open(self.folder / f"log-{node}.txt", "ab") as out:
            self.nodes[node] = subprocess.Popen(
                ["python3", "-m", "galenashed.platform"],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
            )
        self.record.write(f"node {node} starts")

    def signal(self, node: int, number: int) -> None:
        process = self.nodes[node]
        assert process is not None
        process.send_signal(number)
        self.record.write(f"node {node} gets {signal.Signals(number).name}")
        if number == signal.SIGKILL:
            process.wait()

    def route(
        self, name: str, kind: str, service: str, **changes: typing.Any
    ) -> dict[str, typing.Any]:
        return {
            "name": name,
            "host": HOST,
            "pathPrefix": f"/{name}/",
            "routeKind": kind,
            "timeoutMs": 6000,
            "targetLatencyMs": 800,
            "priority": 1,
            "service": service,
            "maxAttempts": 1 if kind == "unsafe" else 2,
            "anonymous": False,
            "sticky": kind == "streaming",
            "resumable": False,
            "maxGapMs": 500,
            **changes,
        }

    def configuration(self, **changes: typing.Any) -> dict[str, typing.Any]:
        """Returns a config with a higher version than before."""
        self.version += 3
        return {
            "version": self.version,
            "routes": [
                self.route("digest", "streaming", ENGINES, resumable=True),
                self.route("note", "streaming", ENGINES, maxAttempts=1),
                self.route(
                    "guide",
                    "streaming",
                    ENGINES,
                    timeoutMs=15000,
                    targetLatencyMs=500,
                    resumable=True,
                ),
                self.route("order", "unsafe", APP),
                self.route("lookup", "safe", APP),
            ],
            "services": [
                {
                    "name": ENGINES,
                    "healthPath": "/healthz",
                    "maxConns": 510,
                    "protocol": "h1",
                    "tls": False,
                    "engine": {
                        "slots": 64,
                        "kvCapacity": 317000,
                        "stride": 4,
                        "models": [{"name": "m"}],
                    },
                },
                {
                    "name": APP,
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
                    "name": TENANT,
                    "apiKeys": [KEY],
                    "priority": 1,
                    "prepaid": 10_000_000,
                }
            ],
            **changes,
        }

    async def replace(self, node: int, cfg: dict[str, typing.Any]) -> bool:
        """Sends a config; returns whether it was acknowledged."""
        answer = await fetch(
            self.control(node),
            "POST",
            "/Configuration.Replace",
            cfg,
            timeout=4.0,
        )
        status = None if answer is None else answer.status
        self.record.write(
            f"config {cfg['version']} sent to node {node}: {status}"
        )
        return status == 200

    async def start(self) -> None:
        """Starts all nodes for the first time; waits until all are ready."""
        for node in range(len(self.nodes)):
            self.start_node(node, bootstrap=True)
        cfg = self.configuration()
        await self.wait(lambda: self.replace(0, cfg), "a first config")
        for node in range(len(self.nodes)):
            await self.wait_ready(node)

    async def wait_ready(self, node: int) -> None:
        address = f"{self.ips[node]}:{self.ready_port}"

        async def is_ready() -> bool:
            answer = await fetch(address, "GET", "/readyz")
            return answer is not None and answer.status == 200

        await self.wait(is_ready, f"node {node}")
        self.record.write(f"node {node} is ready")

    async def wait(
        self,
        condition: typing.Callable[[], typing.Awaitable[bool]],
        what: str,
        timeout: float = 30.0,
    ) -> None:
        until = time.monotonic() + timeout
        while not await condition():
            if time.monotonic() > until:
                raise TimeoutError(f"waited {timeout} s for {what}")
            await asyncio.sleep(0.1)

    def headers(
        self, request: str, *, ms: int = 6000, prefix: str = ""
    ) -> dict[str, str]:
        """Returns the headers of a requester's request."""
        fields = {
            "X-Attempt-Id": request,
            "X-Deadline-Ms": str(ms),
            "Api-Key": KEY,
        }
        if prefix:
            fields["X-Model"] = "m"
            fields["X-Token-Usage"] = "1000,400"
            fields["X-Prefix-Hash"] = prefix
        return fields

    def close(self) -> None:
        """Ends all processes and removes the folder."""
        for process in self.nodes:
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()
        for runner in self.runners:
            runner.crash()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


Case = typing.Callable[[Site, Record], typing.Awaitable[bool]]


def main(folder: str, case: Case, **options: typing.Any) -> None:
    """Runs a case, which returns whether the rule held, and exits."""
    record = Record(pathlib.Path(folder).resolve())
    code = FAILED

    async def run() -> int:
        site = Site(record, **options)
        try:
            async with asyncio.timeout(110.0):
                await site.start()
                return HELD if await case(site, record) else BROKEN
        except Exception as exc:  # The case could not run.
            record.write(f"the case could not run: {exc!r}")
            return FAILED
        finally:
            site.close()

    try:
        code = asyncio.run(run())
    finally:
        record.write({HELD: "held", BROKEN: "broken", FAILED: "not run"}[code])
    print({HELD: "held", BROKEN: "broken", FAILED: "could not run"}[code])
    sys.exit(code)
