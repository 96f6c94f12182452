"""The ``quickstart`` command: a complete fleet in one process."""

import asyncio
import pathlib
import random
import secrets
import socket
import tempfile

import aiohttp
import msgspec

from galenashed.cli import _output
from galenashed.cli import _runner
from galenashed import config
from galenashed import consensus
from galenashed import control
from galenashed import entry
from galenashed.protocol import control as wire
from galenashed.protocol import rpc
from galenashed import standins
from galenashed import telemetry

MODEL = "quickstart-model"
PREPAID_TOKENS = 10_000
READY_POLL_SECONDS = 0.05


def quickstart(question: str = "How do I check the pressure?") -> int:
    """Runs a complete fleet in one process and sends a streamed request.

    Prints the answer, the bill and the remaining budget.

    Parameters
    ----------
    question
        Prompt to send to the simulated model.
    """
    telemetry.configure_logging(
        level="WARNING", format="human", instance="quickstart"
    )
    with tempfile.TemporaryDirectory() as directory:
        return _runner.run(_run_fleet(pathlib.Path(directory), question))


def _find_free_address() -> str:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


class _Fleet:
    """A fleet with one control replica, one entry and one engine.

    The servers are started in this order and stopped in reverse order.
    """

    def __init__(self, directory: pathlib.Path):
        self.directory = directory
        self.team_key = secrets.token_urlsafe(24)
        self.target_key = secrets.token_urlsafe(24)
        self.peer_key = secrets.token_urlsafe(24)
        self.operator_key = secrets.token_urlsafe(24)
        self.replicas = {"c1": _find_free_address()}

    async def start(self) -> None:
        """Starts the servers; returns once the entry knows the engine."""
        await self._start_control()
        await self._publish_note()
        await self._start_entry()
        await self._start_engine()

    async def close(self) -> None:
        """Stops the servers."""
        await self.engine.abort()
        await self.entry.abort()
        await self.control.close()

    async def _start_control(self) -> None:
        storage = consensus.Storage(
            directory=self.directory / "c1", cluster="quickstart", name="c1"
        )
        storage.create(control.make_members(self.replicas))
        self.control = control.ControlServer(
            name="c1",
            address=self.replicas["c1"],
            replicas=self.replicas,
            storage=storage,
            peer_key=self.peer_key,
            key_hashes={
                "peer": rpc.hash_key(self.peer_key),
                "operator": rpc.hash_key(self.operator_key),
            },
            rng=random.Random(),
        )
        await self.control.start()

    async def _publish_note(self) -> None:
        note = wire.Note(
            number=1,
            author="quickstart",
            models=[wire.Model(name=MODEL, version="1")],
            services=[
                wire.Service(name="engines", kind="engine", models=[MODEL])
            ],
            teams=[
                wire.Team(name="demo", key_hash=rpc.hash_key(self.team_key))
            ],
            budgets=[
                wire.Budget(
                    name="demo",
                    team="demo",
                    top_ups=[wire.TopUp(id="first", tokens=PREPAID_TOKENS)],
                )
            ],
        )
        client = control.ControlClient(
            replicas=self.replicas, key=self.operator_key
        )
        command = wire.PublishNote(
            note=note, digest=control.compute_digest(note)
        )
        await client.publish(command, timeout=10.0)
        await client.close()

    async def _start_entry(self) -> None:
        cfg = config.EntrySettings(
            name="e1",
            failure_domain="local",
            callers_address=_find_free_address(),
            max_body_bytes=2**20,
            max_connections=100,
            max_queue=100,
            receive_timeout=10.0,
            instances_max_age=0.1,
            peers_address=_find_free_address(),
            seeds=[],
            peer_key=self.peer_key,
            replicas=self.replicas,
            target_key_hash=rpc.hash_key(self.target_key),
            operator_key_hash=rpc.hash_key(self.operator_key),
            target_lease=3.0,
            preset="refusals-first",
            max_stale=10.0,
            log=config.LogSettings(level="WARNING", format="human"),
            statsd="",
        )
        self.entry = entry.EntryServer(cfg=cfg, rng=random.Random())
        await self.entry.start()
        self.url = f"http://{cfg.callers_address}"

    async def _start_engine(self) -> None:
        engine = standins.StandinEngine(options=standins.EngineOptions())
        self.engine = standins.StandinServer(
            standin=engine,
            name="engine-1",
            service="engines",
            failure_domain="local",
            address="127.0.0.1:0",
            entries=[self.url.removeprefix("http://")],
            key=self.target_key,
            models=[MODEL],
        )
        await self.engine.start()
        while self.entry.target_directory.get("engine-1") is None:
            await asyncio.sleep(READY_POLL_SECONDS)


async def _run_fleet(directory: pathlib.Path, question: str) -> int:
    fleet = _Fleet(directory)
    await fleet.start()
    headers = {"Authorization": f"Bearer {fleet.team_key}"}
    try:
        async with aiohttp.ClientSession(
            fleet.url, headers=headers
        ) as session:
            return await _send_request(session, question)
    finally:
        await fleet.close()


async def _send_request(session: aiohttp.ClientSession, question: str) -> int:
    body = {
        "model": MODEL,
        "stream": True,
        "max_tokens": 32,
        "messages": [{"role": "user", "content": question}],
    }
    print(f"question: {question}")
    print("answer:   ", end="", flush=True)
    async with session.post("/v1/chat/completions", json=body) as resp:
        if resp.status != 200:
            return _output.fail(await resp.text())
        request_id = resp.headers["X-Request-Id"]
        async for line in resp.content:
            _print_event(line)
    print()
    async with session.get(f"/v1/bills/{request_id}") as resp:
        bill = await resp.json()
    print(
        f"bill:     {bill['billed_tokens']} tokens"
        f" ({bill['prompt_tokens']} prompt, {bill['output_tokens']} output)"
    )
    async with session.get("/v1/budgets") as resp:
        balance = (await resp.json())["budgets"][0]
    print(
        f"budget:   {balance['remaining']} of {balance['prepaid']} tokens left"
    )
    return _output.EXIT_OK


def _print_event(line: bytes) -> None:
    data = line.strip().removeprefix(b"data: ")
    if not data.startswith(b"{"):
        return
    for choice in msgspec.json.decode(data).get("choices", []):
        print(choice["delta"].get("content", ""), end="", flush=True)
