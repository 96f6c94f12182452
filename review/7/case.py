"""A caller of a tenant sends requests with long paths.

Each head is within the limit, and each request takes a few tokens.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import sys
import time
import uuid

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import site2  # noqa: E402

# Whether the disruption is made.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

MEMORY_BYTES = 300 * 1_000_000
PATH_BYTES = 15_000
CONNECTIONS = 8
REQUEST_SECONDS = 0.04
LOAD_SECONDS = 40.0
RESTART_SECONDS = 1.0
RECOVER_SECONDS = 12.0
# Ends of a process by themselves that the rule counts.
COUNTED_ENDS = 3
READ_SECONDS = 2 * site2.CONTACT_MS / 1000
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Engine(site2.Target):
    """Answers with one event."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.handle = self.stream

    async def stream(self, writer, method, path, headers, body):
        event = b"id: 1\ndata: token\n\n"
        head = self.head(200, headers, "Content-Type: text/event-stream\r\n")
        head += f"Content-Length: {len(event)}\r\n\r\n"
        writer.write(head.encode() + event)
        await writer.drain()
        return True


class Platform:
    """Kills processes that use more than their memory, as the pages say."""

    def __init__(self, site):
        self.site = site
        self.highest = {machine.name: 0 for machine in site.machines}
        self.kills = dict(self.highest)

    async def run(self, machine):
        while True:
            size = resident_bytes(machine.process.pid)
            self.highest[machine.name] = max(size, self.highest[machine.name])
            if size > MEMORY_BYTES:
                self.kills[machine.name] += 1
                self.site.record.write(
                    "killed", machine=machine.name, size=size
                )
                await machine.kill()
                await asyncio.sleep(RESTART_SECONDS)
                await machine.start()
            await asyncio.sleep(0.1)


def resident_bytes(pid):
    text = pathlib.Path(f"/proc/{pid}/statm").read_text()
    return int(text.split()[1]) * PAGE_BYTES


def disk_bytes(folder):
    size = 0
    for path in folder.iterdir():
        with contextlib.suppress(FileNotFoundError):
            size += path.stat().st_size
    return size


async def case(site):
    for number in range(3):
        engine = Engine(site, f"i-{number}", "lm", home=number)
        await engine.start()
        site.targets.append(engine)
    await asyncio.sleep(3.0)
    platform = Platform(site)
    watch = [
        asyncio.create_task(platform.run(machine)) for machine in site.machines
    ]
    try:
        return await measure(site, platform)
    finally:
        for task in watch:
            task.cancel()
        await asyncio.gather(*watch, return_exceptions=True)


async def measure(site, platform):
    until = time.monotonic() + LOAD_SECONDS
    clients = [
        asyncio.create_task(
            send_forever(site, site.machines[number % 4], until)
        )
        for number in range(CONNECTIONS)
    ]
    counts = await asyncio.gather(*clients)
    await asyncio.sleep(RECOVER_SECONDS)
    versions = await read_back(site)
    sent = sum(sent for sent, _ in counts)
    served = sum(served for _, served in counts)
    print(f"{sent} requests, {served} served")
    for machine in site.machines:
        size = disk_bytes(machine.data) if machine.core else 0
        print(
            f"  {machine.name}: memory up to"
            f" {platform.highest[machine.name] / 1e6:.0f} of"
            f" {MEMORY_BYTES / 1e6:.0f} MB, ended for that"
            f" {platform.kills[machine.name]} times,"
            f" {size / 1e6:.0f} MB on its disk"
        )
    print(
        f"read back over {READ_SECONDS} s, from {RECOVER_SECONDS} s after the"
        f" last request: {versions}; acknowledged: {site.version}"
    )
    core = [machine.name for machine in site.machines if machine.core]
    often = [name for name in core if platform.kills[name] >= COUNTED_ENDS]
    return len(often) > len(core) / 2


async def read_back(site):
    """Returns the versions, or else statuses, that machines answer with."""
    answers = []
    until = time.monotonic() + READ_SECONDS
    while time.monotonic() < until:
        for machine in site.machines:
            answer = await site2.call(
                machine.control, "GET", "/Configuration.Read", timeout=2.0
            )
            version = answer.status
            if answer.status == 200:
                version = json.loads(answer.body)["version"]
            site.record.write("read", machine=machine.name, answer=version)
            answers.append(version)
        await asyncio.sleep(0.2)
    return sorted(set(answers))


async def send_forever(site, machine, until):
    """Sends requests on a kept connection; returns sent and served ones."""
    sent = served = 0
    host, _, port = machine.front.rpartition(":")
    while time.monotonic() < until:
        writer = None
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            while time.monotonic() < until:
                attempt = uuid.uuid4().hex[:16]
                site.record.write(
                    "request", request=attempt, machine=machine.name
                )
                writer.write(make_request(attempt))
                sent += 1
                first, headers = await site2.read_head(reader)
                _, complete = await site2.read_body(reader, headers)
                status = first.split(" ")[1]
                served += complete and status == "200"
                site.record.write("answer", request=attempt, status=status)
                await asyncio.sleep(REQUEST_SECONDS)
        except (OSError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.2)
        finally:
            if writer is not None:
                writer.close()
    return sent, served


def make_request(attempt):
    name = uuid.uuid4().hex
    if TROUBLE:
        name = name.rjust(PATH_BYTES, "a")
    head = (
        f"POST /digest/{name} HTTP/1.1\r\n"
        f"Host: {site2.HOST}\r\n"
        f"X-Attempt-Id: {attempt}\r\n"
        "X-Deadline-Ms: 4000\r\n"
        f"Api-Key: {site2.KEY}\r\n"
        "X-Model: m\r\n"
        "X-Token-Usage: 100,4\r\n"
        "X-Prefix-Hash: 5c1e07a2:100\r\n"
        "Content-Length: 0\r\n\r\n"
    )
    assert len(head) < 16_000
    return head.encode()


site2.run(FOLDER, case)
