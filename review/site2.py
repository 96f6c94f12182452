"""A small deployment of real processes on loopback addresses, for cases.

Uses the standard library only.  The programs are started as the deploy file
says; callers, targets and operators are stand-ins that follow the users'
pages.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import uuid

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "depot.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
ZONES = ("east", "west", "south")
REGION = "north"
# Bounds of a small deployment, in the units of the settings file.
HEARTBEAT_MS = 1200
DRAIN_MS = 2000
CONTACT_MS = 3000
CONFIG_MS = 2000
GRACE_S = 8
START_SECONDS = 40.0
# The addresses of a site's machines use a block of ports from this range.
FIRST_PORT = 12_000
LAST_PORT = 32_000
BLOCK = 20
SETTINGS = """nodeName = "{name}"
role = "node"
machineClass = "edge"
serves = ["edge", "control_plane", "registry"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
portRange = [{low},{high}]
seeds = {seeds}
bootstrap = {bootstrap}
countsAsLoss = {core}
dataDir = "{data}"
discovery = "registration"
entry = "registry"
heartbeatMs = {heartbeat}
contracts = ["base","drain","config","cost","retry","recover","engine",\
"stream","tenants"]
configMode = "highest"
[zones]
east = "north"
west = "north"
south = "north"
[listen]
front = "{ip}:{front}"
readiness = "{ip}:{ready}"
control = "{ip}:{control}"
directory = "{ip}:{directory}"
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
drainMs = {drain}
graceS = {grace}
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


class CannotRunError(Exception):
    """The case could not be set up."""


class Record:
    """Writes what was sent, answered and run, one JSON object a line."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self._file = open(folder / "record.txt", "w")  # noqa: SIM115

    def write(self, event, **fields):
        at = round(time.monotonic() - self.started, 4)
        self._file.write(json.dumps({"at": at, "event": event, **fields}))
        self._file.write("\n")

    def close(self):
        self._file.close()


class Answer:
    """An answer to a caller; ``status`` is 0 if there was none.

    ``complete`` tells whether the body ended as its framing says.
    """

    def __init__(self, status=0, headers=None, body=b"", complete=False):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.complete = complete
        self.sent_at = 0.0


def free_port(ip):
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def free_block(ips):
    """Returns the first of ``BLOCK`` ports that are free at all addresses.

    They lie below those that the operating system gives to connections.
    """
    for _ in range(100):
        first = random.randrange(FIRST_PORT, LAST_PORT, BLOCK)
        with contextlib.suppress(OSError), contextlib.ExitStack() as stack:
            for ip in ips:
                for port in range(first, first + BLOCK):
                    sock = stack.enter_context(socket.socket())
                    sock.bind((ip, port))
            return first
    raise CannotRunError("no free ports")


def shorten(path):
    """Returns a path as it is recorded."""
    if len(path) <= 80:
        return path
    return f"{path[:20]}...{path[-20:]} ({len(path)} bytes)"


async def read_head(reader):
    """Returns the first line and the headers, with names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *rest = head.strip().split("\r\n")
    pairs = (line.partition(":") for line in rest)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    return first, headers


async def read_body(reader, headers):
    """Returns the body, and whether it is complete."""
    body = b""
    try:
        if headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readline(), 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readline()
            return body, True
        if "content-length" in headers:
            size = int(headers["content-length"])
            return await reader.readexactly(size), True
        while data := await reader.read(65536):
            body += data
    except (OSError, ValueError, asyncio.IncompleteReadError) as exc:
        return body + getattr(exc, "partial", b""), False
    return body, True


async def call(address, method, path, *, headers=None, body=b"", timeout=5.0):
    """Sends a request on a new connection; returns the answer."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{n}: {v}" for n, v in (headers or {}).items()]
            if "Host" not in (headers or {}):
                lines.append(f"Host: {address}")
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            answer.sent_at = time.monotonic()
            first, answer.headers = await read_head(reader)
            answer.status = int(first.split(" ")[1])
            answer.body, answer.complete = await read_body(
                reader, answer.headers
            )
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return answer


class Machine:
    """A process of the system and its settings file."""

    def __init__(self, site, number, *, core):
        self.site = site
        self.name = f"edge-{ZONES[number % 3]}-{number}"
        self.ip = f"127.0.0.{10 + number}"
        self.zone = ZONES[number % 3]
        self.core = core
        self.data = site.folder / f"data-{number}"
        self.settings = site.folder / f"settings-{number}.toml"
        self.process = None

    @property
    def front(self):
        return f"{self.ip}:{self.site.ports[0]}"

    @property
    def ready(self):
        return f"{self.ip}:{self.site.ports[1]}"

    @property
    def control(self):
        return f"{self.ip}:{self.site.ports[2]}"

    @property
    def directory(self):
        return f"{self.ip}:{self.site.ports[3]}"

    def write_settings(self, *, bootstrap):
        front, ready, control, directory, low = self.site.ports
        if self.core:
            self.data.mkdir(exist_ok=True)
        self.settings.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=self.zone,
                region=REGION,
                low=low,
                high=low + 15,
                seeds=json.dumps(self.site.seeds),
                bootstrap=json.dumps(bootstrap),
                core=json.dumps(self.core),
                data=self.data if self.core else "",
                heartbeat=HEARTBEAT_MS,
                front=front,
                ready=ready,
                control=control,
                directory=directory,
                drain=DRAIN_MS,
                grace=GRACE_S,
            )
        )

    async def start(self, *, bootstrap=False):
        self.write_settings(bootstrap=bootstrap)
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["GALENASHED_BOOT"] = str(self.settings)
        out = self._open_log()
        try:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "galenashed.platform",
                cwd=ROOT,
                env=env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=out,
                stderr=out,
            )
        finally:
            out.close()

    def _open_log(self):
        return open(self.site.folder / f"{self.name}.log", "ab")

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self):
        answer = await call(self.ready, "GET", "/readyz", timeout=1.0)
        return answer.status == 200


class Target:
    """A runner: answers 421 to requests for others, and reports itself.

    ``handle`` may be replaced; it is called with the request once it runs.
    """

    def __init__(self, site, name, service, home, *, ip="127.0.0.9"):
        self.site = site
        self.id = name
        self.service = service
        # The machine to which it reports, until a report fails there.
        self.home = home
        self.ip = ip
        self.port = free_port(ip)
        self.zone = ZONES[0]
        self.version = "v1"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.slots = 32
        # When each request began to run, with its id.
        self.runs = []
        self.handle = self.answer
        self.server = None
        self.reporter = None
        self.writers = set()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.ip, self.port
        )
        self.reporter = asyncio.create_task(self._report_forever())

    async def close(self):
        if self.reporter is not None:
            self.reporter.cancel()
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def next_report(self):
        self.seq += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self.seq,
            "born": self.born,
        }

    async def report(self):
        """Sends one report; returns when it was acknowledged, else None."""
        machines = self.site.machines
        report = json.dumps(self.next_report()).encode()
        for _ in machines:
            answer = await call(
                machines[self.home].control,
                "POST",
                f"/Instances.Heartbeat/{self.id}",
                body=report,
                timeout=1.0,
            )
            if 200 <= answer.status < 300:
                return time.monotonic()
            self.home = (self.home + 1) % len(machines)
        return None

    async def _report_forever(self):
        while True:
            await self.report()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer):
        first, headers = await read_head(reader)
        method, path, _ = first.split(" ")
        body, _ = await read_body(reader, {"content-length": "0", **headers})
        if headers.get("x-expect-instance", self.id) != self.id:
            self.send(writer, 421, headers, b"", extra="X-Not-Executed: 1\r\n")
            await writer.drain()
            return True
        self.runs.append((time.monotonic(), headers.get("x-attempt-id", "")))
        self.site.record.write(
            "run",
            target=self.id,
            request=headers.get("x-attempt-id"),
            method=method,
            path=shorten(path),
        )
        return await self.handle(writer, method, path, headers, body)

    def head(self, status, headers, extra=""):
        attempt = headers.get("x-attempt-id", "")
        return (
            f"HTTP/1.1 {status} Status\r\n"
            f"X-Attempt-Id: {attempt}\r\n"
            f"X-Instance-Seal: seal.{self.id}.{attempt}\r\n"
            f"X-Instance-Load: 0,0,{self.slots}\r\n{extra}"
        )

    def send(self, writer, status, headers, body, extra=""):
        head = self.head(status, headers, extra)
        head += f"Content-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)

    async def answer(self, writer, method, path, headers, body):
        """Runs a request: the default ``handle``."""
        await asyncio.sleep(0.005)
        self.send(writer, 200, headers, b"ran " + path.encode())
        await writer.drain()
        return True


class Site:
    """Machines, targets and an operator."""

    def __init__(self, folder, *, machines=4, core=3):
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        first = free_block([f"127.0.0.{10 + n}" for n in range(machines)])
        self.ports = [first, first + 1, first + 2, first + 3, first + 4]
        self.machines = [
            Machine(self, number, core=number < core)
            for number in range(machines)
        ]
        self.seeds = [m.control for m in self.machines[: min(3, core)]]
        self.targets = []
        self.version = 0

    async def start(self):
        await asyncio.gather(*[m.start(bootstrap=True) for m in self.machines])
        await self.until(self.put_configuration, "a configuration")
        for machine in self.machines:
            await self.until(machine.is_ready, f"{machine.name} ready")

    async def until(self, condition, what, seconds=START_SECONDS):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if await condition():
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"no {what} in {seconds} s")

    async def close(self):
        for target in self.targets:
            await target.close()
        for machine in self.machines:
            await machine.kill()
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def add_target(self, name, service, home, **options):
        target = Target(self, name, service, home, **options)
        await target.start()
        self.targets.append(target)
        return target

    # The operator

    def route(self, name, prefix, kind, service, **changes):
        return {
            "name": name,
            "host": HOST,
            "pathPrefix": prefix,
            "routeKind": kind,
            "timeoutMs": 4000,
            "targetLatencyMs": 500,
            "priority": 1,
            "service": service,
            "maxAttempts": 2,
            "anonymous": False,
            "sticky": kind == "streaming",
            "resumable": False,
            "maxGapMs": 500,
            **changes,
        }

    def configuration(self):
        return {
            "version": self.version,
            "routes": [
                self.route("look", "/look/", "safe", "app"),
                self.route("book", "/book/", "unsafe", "app"),
                self.route(
                    "digest", "/digest/", "streaming", "lm", resumable=True
                ),
            ],
            "services": [
                {
                    "name": "lm",
                    "healthPath": "/healthz",
                    "maxConns": 510,
                    "protocol": "h1",
                    "tls": False,
                    "engine": {
                        "slots": 32,
                        "kvCapacity": 200000,
                        "stride": 4,
                        "models": [{"name": "m"}],
                    },
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
                    "name": TENANT,
                    "apiKeys": [KEY],
                    "priority": 1,
                    "prepaid": 5_000_000,
                }
            ],
        }

    async def put_configuration(self):
        self.version += 3
        body = json.dumps(self.configuration()).encode()
        for machine in self.machines:
            answer = await call(
                machine.control, "POST", "/Configuration.Replace", body=body
            )
            if answer.status == 200:
                self.record.write("config acknowledged", version=self.version)
                return True
        return False

    # Callers

    async def request(
        self, machine, path, *, method="POST", body=b"x", timeout=5.0, **extra
    ):
        """Sends a caller's request; extra headers by name."""
        attempt = uuid.uuid4().hex[:16]
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(int(timeout * 1000)),
            "Api-Key": KEY,
            **{name.replace("_", "-"): value for name, value in extra.items()},
        }
        sent_at = time.monotonic()
        self.record.write(
            "request", request=attempt, machine=machine.name, path=path
        )
        answer = await call(
            machine.front,
            method,
            path,
            headers=headers,
            body=body,
            timeout=timeout,
        )
        answer.sent_at = sent_at
        answer.attempt = attempt
        self.record.write(
            "answer",
            request=attempt,
            status=answer.status,
            seal=answer.headers.get("x-instance-seal"),
            complete=answer.complete,
            bytes=len(answer.body),
        )
        return answer


def run(folder, case, *, site_class=Site, **options):
    """Runs a case; exits with 1 if it says that the rule was broken."""

    async def main():
        site = site_class(folder, **options)
        try:
            async with asyncio.timeout(110.0):
                await site.start()
                broken = await case(site)
            site.record.write("verdict", broken=bool(broken))
            return 1 if broken else 0
        except Exception as exc:
            # Also a fault of the case itself must not count as a broken rule.
            site.record.write("not run", reason=repr(exc))
            print(f"not run: {exc!r}")
            return 2
        finally:
            if os.environ.get("KEEP_LOGS"):
                with contextlib.suppress(OSError):
                    shutil.copytree(
                        site.folder,
                        os.environ["KEEP_LOGS"],
                        dirs_exist_ok=True,
                    )
            await site.close()

    sys.exit(asyncio.run(main()))
