"""Starts a whole fleet of real processes for a test."""

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
key_hash = "{config.hash_key(TEAM_KEY)}"

[[budget]]
name = "rounds-2026"
team = "rounds"

[[budget.top_up]]
id = "first"
tokens = 1000000
"""


def _port_numbers():
    """Yields ports of a range that no other process takes for its tests.

    The ranges lie below those that the system hands out by itself; a lock,
    held to the end of this process, guards each.
    """
    for first in range(FIRST_PORT, LAST_PORT, PORTS_PER_PROCESS):
        path = pathlib.Path(tempfile.gettempdir()) / f"fleet-ports-{first}"
        lock = open(path, "ab")  # noqa: SIM115 (held to the end)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            lock.close()
            continue
        _LOCKS.append(lock)
        while True:
            yield from range(first, first + PORTS_PER_PROCESS)
    raise AssertionError("every range of ports is taken")


_LOCKS: list[typing.BinaryIO] = []
_PORTS = _port_numbers()


def free_port() -> int:
    """Returns a port that is free now."""
    for port in _PORTS:
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(("127.0.0.1", port))
            return port
    raise AssertionError("no port is free")


def wait_for(condition, what: str, timeout: float = WAIT_SECONDS):
    """Returns the condition's first true value; fails after a long time."""
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise AssertionError(f"waited {timeout} s for {what}")


class Answer:
    """An HTTP answer."""

    def __init__(self, status: int, headers, body: bytes):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        """Returns the body decoded."""
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
) -> Answer:
    """Sends one request; any status is an answer.

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
            return Answer(resp.status, resp.headers, resp.read())
    except urllib.error.HTTPError as exc:
        return Answer(exc.code, exc.headers, exc.read())


class Process:
    """One process of the fleet, its log in a file."""

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
        """Starts it."""
        with open(self.log, "ab") as out:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", self.module, *self.args, *extra],
                env=self.env,
                stdout=out,
                stderr=out,
            )

    def signal(self, number: int) -> None:
        """Sends a signal."""
        assert self.popen is not None
        self.popen.send_signal(number)

    def kill(self) -> None:
        """Kills it at once and waits for its end."""
        self.signal(signal.SIGKILL)
        self.wait()

    def wait(self, timeout: float = WAIT_SECONDS) -> int:
        """Returns the exit code."""
        assert self.popen is not None
        return self.popen.wait(timeout)


class Fleet:
    """Control replicas, entries and targets on 127.0.0.1.

    The paths to control lead through the proxy, each its own link in
    ``control_links[(source, replica)]``.  With ``proxied_targets`` so do
    those to targets, in ``target_links[target]``; a proxy accepts
    connections even if the target is down, so a test of refused
    connections goes without.
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
        policy: str = "",
        snapshot_every: int = 10_000,
        proxied_targets: bool = False,
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
        self.proxied_targets = proxied_targets
        self.processes: dict[str, Process] = {}
        self.addresses: dict[str, str] = {}
        self.control_links: dict[tuple[str, str], _proxy.Link] = {}
        self.target_links: dict[str, _proxy.Link] = {}

    # Life

    def start(self) -> None:
        """Starts everything and publishes the note."""
        self.proxy.start()
        self._write_keys()
        for name in self.control_names:
            self.addresses[name] = f"127.0.0.1:{free_port()}"
        for name in self.entry_names:
            self.addresses[name] = f"127.0.0.1:{free_port()}"
            self.addresses[f"{name}.peers"] = f"127.0.0.1:{free_port()}"
        self._write_operator()
        for name in self.control_names:
            self._prepare_control(name)
            self.processes[name].start("--create")
        self.publish(self.note)
        for name in self.entry_names:
            self._prepare_entry(name)
            self.processes[name].start()
        for name in self.engine_names:
            self._prepare_target(name, "engine")
            self.processes[name].start()
        for name in self.service_names:
            self._prepare_target(name, "service")
            self.processes[name].start()
        self.wait_ready()

    def close(self) -> None:
        """Kills everything."""
        for process in self.processes.values():
            if process.popen is not None and process.popen.poll() is None:
                process.signal(signal.SIGCONT)
                process.kill()
        self.proxy.close()

    def wait_ready(self) -> None:
        """Waits until every entry can reach every target."""
        for name in self.entry_names:
            wait_for(lambda name=name: self._is_ready(name), f"{name} ready")

    def _is_ready(self, entry: str) -> bool:
        address = self.addresses[entry]
        with contextlib.suppress(OSError):
            if fetch(address, "/health", timeout=1.0).status != 200:
                return False
            listed = fetch(address, "/v1/targets", key=OPERATOR_KEY)
            names = {item["name"] for item in listed.json()["targets"]}
            wanted = {*self.engine_names, *self.service_names}
            for target in wanted:
                self.stats(target)
            return wanted <= names
        return False

    def wait_peers(self, entry: str) -> None:
        """Waits until an entry knows all the others."""

        def is_known():
            listed = fetch(self.addresses[entry], "/v1/instances").json()
            return len(listed["instances"]) == len(self.entry_names)

        wait_for(is_known, f"{entry} to know the others")

    # Settings

    def _write(self, name: str, text: str) -> pathlib.Path:
        path = self.folder / name
        path.write_text(text, encoding="utf-8")
        return path

    def _write_keys(self) -> None:
        self._write("peer.key", PEER_KEY)
        self._write("operator.key", OPERATOR_KEY)
        self._write("target.key", TARGET_KEY)

    def _replicas(self, source: str) -> str:
        rows = []
        for name in self.control_names:
            if name == source:
                rows.append(f'{name} = "{self.addresses[name]}"')
                continue
            link = self.proxy.add(self.addresses[name])
            self.control_links[(source, name)] = link
            rows.append(f'{name} = "{link.address}"')
        return "[control.replicas]\n" + "\n".join(rows) + "\n"

    def _write_operator(self) -> None:
        self.operator_path = self._write(
            "operator.toml",
            '[operators]\nkey_file = "operator.key"\n'
            + self._replicas("operator"),
        )

    def _prepare_control(self, name: str) -> None:
        domain = DOMAINS[self.control_names.index(name) % len(DOMAINS)]
        path = self._write(
            f"{name}.toml",
            f'[instance]\nname = "{name}"\nfailure_domain = "{domain}"\n'
            f'[storage]\nfolder = "{name}.data"\n'
            f"snapshot_every = {self.snapshot_every}\n"
            f'[peers]\nlisten = "{self.addresses[name]}"\n'
            'key_file = "peer.key"\n'
            f'[operators]\nkey_hash = "{config.hash_key(OPERATOR_KEY)}"\n'
            '[log]\nformat = "json"\n'
            '[control]\ncluster = "tests"\n' + self._replicas(name),
        )
        args = ["control", "--config", str(path)]
        self.processes[name] = Process(name, args, self.folder)

    def replace_control(self, old: str, new: str) -> None:
        """Starts ``new`` with an empty folder, to take the place of ``old``.

        Operators' settings name it from now on, those of entries do not.
        """
        self.control_names[self.control_names.index(old)] = new
        self.addresses[new] = f"127.0.0.1:{free_port()}"
        self._write_operator()
        self._prepare_control(new)
        self.processes[new].start("--join")
        self.operate("replica", "add", new, self.addresses[new])
        self.operate("replica", "remove", old)

    def lose_disk(self, control_name: str) -> None:
        """Kills a control replica and deletes its data folder."""
        self.processes[control_name].kill()
        shutil.rmtree(self.folder / f"{control_name}.data")

    def _prepare_entry(self, name: str) -> None:
        domain = DOMAINS[self.entry_names.index(name) % len(DOMAINS)]
        seeds = [
            self.addresses[f"{other}.peers"] for other in self.entry_names
        ]
        path = self._write(
            f"{name}.toml",
            f'[instance]\nname = "{name}"\nfailure_domain = "{domain}"\n'
            f'[callers]\nlisten = "{self.addresses[name]}"\n'
            "instances_max_age = 1.0\nreceive_timeout = 2.0\n"
            "max_connections = 500\n"
            f'[peers]\nlisten = "{self.addresses[name + ".peers"]}"\n'
            f'key_file = "peer.key"\nseeds = {json.dumps(seeds)}\n'
            f'[targets]\nkey_hash = "{config.hash_key(TARGET_KEY)}"\n'
            f'[operators]\nkey_hash = "{config.hash_key(OPERATOR_KEY)}"\n'
            '[log]\nformat = "json"\nlevel = "DEBUG"\n'
            + self.policy
            + "[control]\n"
            + self._replicas(name),
        )
        args = ["entry", "--config", str(path)]
        self.processes[name] = Process(name, args, self.folder)

    def _prepare_target(self, name: str, kind: str) -> None:
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
        else:
            args += ["--service", "rounds-app"]
        self.processes[name] = Process(name, args, self.folder)

    # Operator's commands

    def run(self, *args: str, check: bool = True):
        """Runs a command of the operator to its end."""
        done = subprocess.run(
            [sys.executable, "-m", "galenashed", *args],
            capture_output=True,
            text=True,
            timeout=WAIT_SECONDS,
            env={**os.environ, "COLUMNS": "200"},
        )
        if check and done.returncode:
            raise AssertionError(f"{args}: {done.stdout} {done.stderr}")
        return done

    def operate(self, *args: str, check: bool = True):
        """Runs a command that takes the operator's settings."""
        return self.run(
            *args, "--config", str(self.operator_path), check=check
        )

    def publish(self, text: str, *args: str, check: bool = True):
        """Publishes a release note."""
        path = self._write(f"note-{time.monotonic_ns()}.toml", text)
        return self.operate("note", "publish", str(path), *args, check=check)

    def publish_all(self, texts: list[str]) -> None:
        """Publishes many notes one after the other, in this process."""

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
        """Returns what a budget stands at, as control sees it."""
        query = wire.Query(kind="balance", subject=budget)
        reply = self.ask_control(
            lambda c: c.query(query, timeout=WAIT_SECONDS)
        )
        return msgspec.to_builtins(reply.balances[0])

    def ask_control(self, work):
        """Returns ``work(client)`` run against control in this process."""

        async def connected():
            addresses = {n: self.addresses[n] for n in self.control_names}
            client = control.ControlClient(
                replicas=addresses, key=OPERATOR_KEY
            )
            try:
                return await work(client)
            finally:
                await client.close()

        return asyncio.run(connected())

    def leader(self) -> str:
        """Returns the leading control replica's name."""

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
        """Returns the bills of a request, as control has them."""
        query = wire.Query(kind="bill", subject=request_id)
        reply = self.ask_control(lambda c: c.query(query, timeout=30.0))
        return msgspec.to_builtins(reply.bills)

    # Callers

    def ask(self, entry: str, text: str = "hello", **options) -> Answer:
        """Sends a model request that is not streamed."""
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

    def call(
        self, entry: str, path: str = "/bookings", *, key: str = "", **options
    ) -> Answer:
        """Calls the plain service by POST."""
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
        """Returns a stand-in's own counts."""
        return fetch(self.addresses[target], "/standin/stats", key="").json()


def in_threads(count: int, work) -> list:
    """Runs ``work(n)`` in threads and returns results in order."""
    results: list = [None] * count

    def run(position: int) -> None:
        try:
            results[position] = work(position)
        except Exception as exc:
            results[position] = exc

    threads = [threading.Thread(target=run, args=(n,)) for n in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


class Stream:
    """A streamed model request, read event by event."""

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
        """Reads some events, or to the end.

        Raises OSError or ``http.client.HTTPException`` if the answer is cut
        off.
        """
        while events > 0:
            line = self._resp.readline()
            if not line:
                break
            data = line.strip().removeprefix(b"data: ")
            if data == b"[DONE]":
                self.finished = True
            elif data:
                self._take(json.loads(data))
                events -= 1
        return self

    def _take(self, fields: dict) -> None:
        if "error" in fields:
            self.error = fields["error"]
        for choice in fields.get("choices", []):
            self.words.append(choice["delta"]["content"])

    def close(self) -> None:
        """Leaves, as a caller may at any time."""
        self._conn.close()
