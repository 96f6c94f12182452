"""Runs a fleet of real processes for end-to-end tests."""

import asyncio
import contextlib
import fcntl
import http.client
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import typing
import urllib.error
import urllib.request

import msgspec

from galenashed import config
from galenashed import control
from galenashed.protocol import control as wire
from galenashed.tests import _proxy

WAIT_SECONDS = 60.0
FIRST_PORT = 12_000
LAST_PORT = 32_000
PORTS_PER_PROCESS = 500
PEER_KEY = "peer-key-for-tests-0123456789"
OPERATOR_KEY = "operator-key-for-tests-0123456789"
TARGET_KEY = "target-key-for-tests-0123456789"
TEAM_KEY = "team-key-for-tests-0123456789"
DOMAINS = ["keflavik", "njardvik", "grindavik"]
MODEL = "galena-7b"

NOTE = f"""
[note]
number = 1
author = "ops"

[[model]]
name = "{MODEL}"
version = "1"
max_output = 512

[[service]]
name = "galena-fleet"
kind = "engine"
models = ["{MODEL}"]
concurrency = 64

[[service]]
name = "rounds-app"
kind = "plain"
cost = 1
concurrency = 64

[[team]]
name = "rounds"
key_hash = "{config.format_key_hash(TEAM_KEY)}"

[[budget]]
name = "rounds-2026"
team = "rounds"

[[budget.top_up]]
id = "first"
tokens = 1000000
"""


def _iter_ports():
    """Yields ports from a range reserved for this test process.

    The ranges lie below the ephemeral ports of the operating system.  Each
    is reserved by a file lock that is held until this process exits.
    """
    for first in range(FIRST_PORT, LAST_PORT, PORTS_PER_PROCESS):
        path = pathlib.Path(tempfile.gettempdir()) / f"fleet-ports-{first}"
        lock_file = open(path, "ab")  # noqa: SIM115 (held until exit)
        try:
            fcntl.flock(lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            lock_file.close()
            continue
        _PORT_LOCKS.append(lock_file)
        while True:
            yield from range(first, first + PORTS_PER_PROCESS)
    raise AssertionError("every port range is locked by another process")


_PORT_LOCKS: list[typing.BinaryIO] = []
_PORTS = _iter_ports()


def free_port() -> int:
    """Returns a TCP port that is currently free."""
    for port in _PORTS:
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(("127.0.0.1", port))
            return port
    raise AssertionError("no free port")


def wait_for(condition, description: str, timeout: float = WAIT_SECONDS):
    """Polls ``condition`` until it is true and returns its value.

    Raises AssertionError after ``timeout`` seconds.
    """
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise AssertionError(f"waited {timeout} s for {description}")


class Response:
    """Status, headers and body of an HTTP response."""

    def __init__(self, status: int, headers, body: bytes):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        """Returns the body decoded from JSON."""
        return json.loads(self.body)


def fetch(
    address: str,
    path: str,
    *,
    method: str = "GET",
    body=None,
    key: str = TEAM_KEY,
    headers=None,
    timeout: float = 30.0,
) -> Response:
    """Sends an HTTP request and returns the response, whatever its status.

    Raises OSError if the connection fails.
    """
    data = body
    if body is not None and not isinstance(body, bytes):
        data = json.dumps(body).encode()
    req = urllib.request.Request(
        f"http://{address}{path}", data=data, method=method
    )
    if key:
        req.add_header("Authorization", f"Bearer {key}")
    for name, value in (headers or {}).items():
        req.add_header(name, value)
    try:
        with urllib.request.urlopen(req, timeout=timeout) as resp:
            return Response(resp.status, resp.headers, resp.read())
    except urllib.error.HTTPError as exc:
        return Response(exc.code, exc.headers, exc.read())


class Process:
    """Process of the fleet that writes its output to a log file."""

    def __init__(
        self,
        name: str,
        args: list[str],
        folder: pathlib.Path,
        module: str = "galenashed",
        env: dict[str, str] | None = None,
    ):
        self.name = name
        self.args = args
        self.module = module
        self.env = {**os.environ, **(env or {})}
        self.log = folder / f"{name}.log"
        self.popen: subprocess.Popen | None = None

    def start(self, *extra: str) -> None:
        """Starts the process with ``extra`` appended to its arguments."""
        with open(self.log, "ab") as out:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", self.module, *self.args, *extra],
                env=self.env,
                stdout=out,
                stderr=out,
            )

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        assert self.popen is not None
        self.popen.send_signal(number)

    def kill(self) -> None:
        """Sends SIGKILL and waits for the process to exit."""
        self.signal(signal.SIGKILL)
        self.wait()

    def wait(self, timeout: float = WAIT_SECONDS) -> int:
        """Waits for the process to exit and returns its exit code."""
        assert self.popen is not None
        return self.popen.wait(timeout)


class Fleet:
    """Control replicas, entries and targets on 127.0.0.1.

    Connections to control replicas pass through the fault-injecting proxy;
    ``control_links[(source, replica)]`` holds the link of each pair.  With
    ``proxied_targets``, connections to targets do too, through
    ``target_links[target]``.  The proxy accepts connections even if the
    target is down, so tests of refused connections must not use it.
    """

    def __init__(
        self,
        *,
        controls: int = 3,
        entries: int = 3,
        engines: int = 2,
        services: int = 1,
        note: str = NOTE,
        engine_args: tuple[str, ...] = (),
        engine_versions: tuple[str, ...] = (),
        policy: str = "",
        snapshot_every: int = 10_000,
        proxied_targets: bool = False,
        entry_module: str = "galenashed",
    ):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="fleet-"))
        self.proxy = _proxy.Proxy()
        self.note = note
        self.policy = policy
        self.snapshot_every = snapshot_every
        self.control_names = [f"c{n + 1}" for n in range(controls)]
        self.entry_names = [f"e{n + 1}" for n in range(entries)]
        self.engine_names = [f"engine-{n + 1}" for n in range(engines)]
        self.service_names = [f"app-{n + 1}" for n in range(services)]
        self.engine_args = engine_args
        self.engine_versions = dict(
            zip(self.engine_names, engine_versions, strict=False)
        )
        self.proxied_targets = proxied_targets
        self.entry_module = entry_module
        self.processes: dict[str, Process] = {}
        self.addresses: dict[str, str] = {}
        self.control_links: dict[tuple[str, str], _proxy.Link] = {}
        self.target_links: dict[str, _proxy.Link] = {}

    # Lifecycle

    def start(self) -> None:
        """Starts all processes and publishes the first release note."""
        self.proxy.start()
        self._write_keys()
        for name in self.control_names:
            self.addresses[name] = f"127.0.0.1:{free_port()}"
        for name in self.entry_names:
            self.addresses[name] = f"127.0.0.1:{free_port()}"
            self.addresses[f"{name}.peers"] = f"127.0.0.1:{free_port()}"
        self.write_operator_config()
        for name in self.control_names:
            self._configure_replica(name)
            self.processes[name].start("--create")
        self.publish(self.note)
        for name in self.entry_names:
            self._configure_entry(name)
            self.processes[name].start()
        for name in self.engine_names:
            self._configure_target(name, "engine")
            self.processes[name].start()
        for name in self.service_names:
            self._configure_target(name, "service")
            self.processes[name].start()
        self.wait_ready()

    def close(self) -> None:
        """Kills all processes and stops the proxy."""
        for process in self.processes.values():
            if process.popen is not None and process.popen.poll() is None:
                process.signal(signal.SIGCONT)
                process.kill()
        self.proxy.close()

    def wait_ready(self) -> None:
        """Waits until all entries are healthy and all targets registered."""
        for name in self.entry_names:
            wait_for(lambda name=name: self._is_ready(name), f"{name} ready")

    def _is_ready(self, entry: str) -> bool:
        address = self.addresses[entry]
        with contextlib.suppress(OSError):
            if fetch(address, "/health", timeout=1.0).status != 200:
                return False
            listed = fetch(address, "/v1/targets", key=OPERATOR_KEY)
            names = {item["name"] for item in listed.json()["targets"]}
            expected = {*self.engine_names, *self.service_names}
            for target in expected:
                self.stats(target)
            return expected <= names
        return False

    def wait_peers(self, entry: str) -> None:
        """Waits until an entry lists all entries."""

        def knows_all():
            listed = fetch(self.addresses[entry], "/v1/instances").json()
            return len(listed["instances"]) == len(self.entry_names)

        wait_for(knows_all, f"{entry} to know the others")

    # Configuration files

    def _write_file(self, name: str, text: str) -> pathlib.Path:
        path = self.folder / name
        path.write_text(text, encoding="utf-8")
        return path

    def _write_keys(self) -> None:
        self._write_file("peer.key", PEER_KEY)
        self._write_file("operator.key", OPERATOR_KEY)
        self._write_file("target.key", TARGET_KEY)

    def _format_replicas(self, source: str) -> str:
        rows = []
        for name in self.control_names:
            if name == source:
                rows.append(f'{name} = "{self.addresses[name]}"')
                continue
            link = self.proxy.add(self.addresses[name])
            self.control_links[(source, name)] = link
            rows.append(f'{name} = "{link.address}"')
        return "[control.replicas]\n" + "\n".join(rows) + "\n"

    def write_operator_config(self) -> None:
        """Writes operator settings that name the ``control_names``."""
        self.operator_path = self._write_file(
            "operator.toml",
            '[operators]\nkey_file = "operator.key"\n'
            + self._format_replicas("operator"),
        )

    def _configure_replica(self, name: str) -> None:
        domain = DOMAINS[self.control_names.index(name) % len(DOMAINS)]
        path = self._write_file(
            f"{name}.toml",
            f'[instance]\nname = "{name}"\nfailure_domain = "{domain}"\n'
            f'[storage]\nfolder = "{name}.data"\n'
            f"snapshot_every = {self.snapshot_every}\n"
            f'[peers]\nlisten = "{self.addresses[name]}"\n'
            'key_file = "peer.key"\n'
            "[operators]\n"
            f'key_hash = "{config.format_key_hash(OPERATOR_KEY)}"\n'
            '[log]\nformat = "json"\n'
            '[control]\ncluster = "tests"\n' + self._format_replicas(name),
        )
        args = ["control", "--config", str(path)]
        self.processes[name] = Process(name, args, self.folder)

    def replace_replica(self, old: str, new: str) -> None:
        """Starts replica ``new`` with an empty folder to replace ``old``.

        The operator's configuration file names ``new`` from then on; those
        of the entries still name ``old``.
        """
        self._add_replica(old, new)
        self.run_operator_cli("replica", "remove", old)

    def replace_follower(self, names: list[str], new: str) -> str:
        """Replaces one of two replicas by ``new``; returns its name.

        It is one that does not lead: a leader can't be removed, and which of
        them leads may change while ``new`` joins.
        """
        old = next(name for name in names if name != self.leader())
        self._add_replica(old, new)

        def remove():
            nonlocal old
            result = self.run_operator_cli(
                "replica", "remove", old, "--timeout", "1", check=False
            )
            if "is the leader" in result.stdout:
                other = next(name for name in names if name != old)
                self.control_names[self.control_names.index(other)] = old
                self.write_operator_config()
                old = other
            return result.returncode == 0

        wait_for(remove, f"one of {names} to be removed")
        return old

    def _add_replica(self, old: str, new: str) -> None:
        self.control_names[self.control_names.index(old)] = new
        self.addresses[new] = f"127.0.0.1:{free_port()}"
        self.write_operator_config()
        self._configure_replica(new)
        self.processes[new].start("--join")
        self.run_operator_cli("replica", "add", new, self.addresses[new])

    def delete_replica_data(self, name: str) -> None:
        """Kills a control replica and deletes its data folder."""
        self.processes[name].kill()
        shutil.rmtree(self.folder / f"{name}.data")

    def _configure_entry(self, name: str) -> None:
        domain = DOMAINS[self.entry_names.index(name) % len(DOMAINS)]
        seeds = [
            self.addresses[f"{other}.peers"] for other in self.entry_names
        ]
        path = self._write_file(
            f"{name}.toml",
            f'[instance]\nname = "{name}"\nfailure_domain = "{domain}"\n'
            f'[callers]\nlisten = "{self.addresses[name]}"\n'
            "instances_max_age = 1.0\nreceive_timeout = 2.0\n"
            "max_connections = 500\n"
            f'[peers]\nlisten = "{self.addresses[name + ".peers"]}"\n'
            f'key_file = "peer.key"\nseeds = {json.dumps(seeds)}\n'
            f'[targets]\nkey_hash = "{config.format_key_hash(TARGET_KEY)}"\n'
            "[operators]\n"
            f'key_hash = "{config.format_key_hash(OPERATOR_KEY)}"\n'
            '[log]\nformat = "json"\nlevel = "DEBUG"\n'
            + self.policy
            + "[control]\n"
            + self._format_replicas(name),
        )
        args = ["entry", "--config", str(path)]
        self.processes[name] = Process(
            name,
            args,
            self.folder,
            module=self.entry_module,
            env={"CUT_FILE": str(self.cut_file(name))},
        )

    def cut_file(self, entry: str) -> pathlib.Path:
        """The file that cuts an entry's paths; see :mod:`_cut_entry`."""
        return self.folder / f"cut-{entry}"

    def _configure_target(self, name: str, kind: str) -> None:
        address = f"127.0.0.1:{free_port()}"
        self.addresses[name] = address
        args = ["standin", kind, "--name", name, "--listen", address]
        args += ["--key-file", str(self.folder / "target.key")]
        if self.proxied_targets:
            link = self.proxy.add(address)
            self.target_links[name] = link
            args += ["--announced-address", link.address]
        for entry in self.entry_names:
            args += ["--entry", self.addresses[entry]]
        if kind == "engine":
            args += ["--service", "galena-fleet", "--model", MODEL]
            args += self.engine_args
            if name in self.engine_versions:
                args += ["--software-version", self.engine_versions[name]]
        else:
            args += ["--service", "rounds-app"]
        self.processes[name] = Process(name, args, self.folder)

    # Operator commands

    def run_cli(self, *args: str, check: bool = True):
        """Runs a command of the command-line interface until it exits."""
        result = subprocess.run(
            [sys.executable, "-m", "galenashed", *args],
            capture_output=True,
            text=True,
            timeout=WAIT_SECONDS,
            env={**os.environ, "COLUMNS": "200"},
        )
        if check and result.returncode:
            raise AssertionError(f"{args}: {result.stdout} {result.stderr}")
        return result

    def run_operator_cli(self, *args: str, check: bool = True):
        """Runs a command with the operator's configuration file."""
        return self.run_cli(
            *args, "--config", str(self.operator_path), check=check
        )

    def publish(self, text: str, *args: str, check: bool = True):
        """Publishes a release note with the command-line interface."""
        path = self._write_file(f"note-{time.monotonic_ns()}.toml", text)
        return self.run_operator_cli(
            "note", "publish", str(path), *args, check=check
        )

    def publish_all(self, texts: list[str]) -> None:
        """Publishes release notes in order, from this process."""

        async def publish(client) -> None:
            path = self.folder / "many.toml"
            for text in texts:
                path.write_text(text, encoding="utf-8")
                note = config.load_note(path).ok
                command = wire.PublishNote(
                    note=note, digest=control.compute_digest(note)
                )
                reply = await client.publish(command, timeout=WAIT_SECONDS)
                assert isinstance(reply, wire.Done), reply

        self.ask_control(publish)

    def balance(self, budget: str = "rounds-2026") -> dict:
        """Returns the balance of a budget as recorded by control."""
        query = wire.Query(kind="balance", subject=budget)
        reply = self.ask_control(
            lambda c: c.query(query, timeout=WAIT_SECONDS)
        )
        return msgspec.to_builtins(reply.balances[0])

    def ask_control(self, function):
        """Awaits ``function(client)`` with a client of control."""

        async def run_with_client():
            addresses = {n: self.addresses[n] for n in self.control_names}
            client = control.ControlClient(
                replicas=addresses, key=OPERATOR_KEY
            )
            try:
                return await function(client)
            finally:
                await client.close()

        return asyncio.run(run_with_client())

    def leader(self) -> str:
        """Returns the name of the control replica that leads."""

        def find():
            statuses = self.ask_control(lambda c: c.statuses(timeout=1.0))
            leaders = [
                (status.term, name)
                for name, status in statuses.items()
                if status is not None and status.role == "leader"
            ]
            return max(leaders)[1] if leaders else ""

        return wait_for(find, "a leader")

    def bills(self, request_id: str) -> list[dict]:
        """Returns the bills of a request as recorded by control."""
        query = wire.Query(kind="bill", subject=request_id)
        reply = self.ask_control(lambda c: c.query(query, timeout=30.0))
        return msgspec.to_builtins(reply.bills)

    # Requests

    def ask(self, entry: str, text: str = "hello", **options) -> Response:
        """Sends a non-streaming chat completion request."""
        headers = options.pop("headers", None)
        timeout = options.pop("timeout", 30.0)
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": 32,
            **options,
        }
        return fetch(
            self.addresses[entry],
            "/v1/chat/completions",
            method="POST",
            body=body,
            headers=headers,
            timeout=timeout,
        )

    def call_service(
        self, entry: str, path: str = "/bookings", *, key: str = "", **options
    ) -> Response:
        """Calls the plain service, by default with POST."""
        headers = {"Idempotency-Key": key} if key else {}
        return fetch(
            self.addresses[entry],
            f"/services/rounds-app{path}",
            method=options.pop("method", "POST"),
            body=options.pop("body", b"{}"),
            headers={**headers, **options.pop("headers", {})},
            **options,
        )

    def stats(self, target: str) -> dict:
        """Returns the counters of an engine or service stand-in."""
        return fetch(self.addresses[target], "/standin/stats", key="").json()


def run_in_threads(count: int, function) -> list:
    """Runs ``function(n)`` for each n below ``count`` in parallel threads.

    Returns the results in order of n; an exception is returned as the result.
    """
    results: list = [None] * count

    def run(index: int) -> None:
        try:
            results[index] = function(index)
        except Exception as exc:
            results[index] = exc

    threads = [threading.Thread(target=run, args=(n,)) for n in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


class Stream:
    """Streaming chat completion request, read event by event."""

    def __init__(
        self, address: str, text: str, *, key: str = "", max_tokens: int = 32
    ):
        host, _, port = address.rpartition(":")
        self._conn = http.client.HTTPConnection(host, int(port), timeout=30)
        body = {
            "model": MODEL,
            "stream": True,
            "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": text}],
        }
        headers = {"Authorization": f"Bearer {TEAM_KEY}"}
        if key:
            headers["Idempotency-Key"] = key
        self._conn.request(
            "POST", "/v1/chat/completions", json.dumps(body), headers
        )
        self._resp = self._conn.getresponse()
        self.status = self._resp.status
        self.request_id = self._resp.headers.get("X-Request-Id", "")
        self.words: list[str] = []
        self.error: dict | None = None
        self.finished = False

    def read(self, events: int = 10**9) -> "Stream":
        """Reads up to ``events`` events, by default to the end of the stream.

        Raises OSError or ``http.client.HTTPException`` if the connection
        breaks.
        """
        while events > 0:
            line = self._resp.readline()
            if not line:
                break
            data = line.strip().removeprefix(b"data: ")
            if data == b"[DONE]":
                self.finished = True
            elif data:
                self._add_chunk(json.loads(data))
                events -= 1
        return self

    def _add_chunk(self, fields: dict) -> None:
        if "error" in fields:
            self.error = fields["error"]
        for choice in fields.get("choices", []):
            self.words.append(choice["delta"]["content"])

    def close(self) -> None:
        """Closes the connection, as a caller may do at any time."""
        self._conn.close()
