"""A part of a prompt crashes targets after the first event of their answers.

Requests with that part come twice a second, no two alike, at any machine.
"""

import asyncio
import os
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import site2  # noqa: E402

# Whether the disruption is made.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

DEADLY_PART = "91bd3f06"
SOUND_PART = "5c1e07a2"
TARGETS = 4
EVENTS = 8
EVENT_SECONDS = 0.05
RESTART_SECONDS = 2.0
REQUEST_SECONDS = 0.5
WATCH_SECONDS = 40.0
CRASHES = 5
ALLOWED = 3


class Engine(site2.Target):
    """Streams events; crashes once it has written one on the deadly part."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.deadly = TROUBLE
        self.handle = self.stream
        # When requests with the part began to run, and when it crashed.
        self.deadly_runs = []
        self.crashes = []

    async def stream(self, writer, method, path, headers, body):
        is_deadly = f"{DEADLY_PART}:" in headers.get("x-prefix-hash", "")
        if is_deadly:
            self.deadly_runs.append(time.monotonic())
        head = self.head(200, headers, "Content-Type: text/event-stream\r\n")
        head += "Transfer-Encoding: chunked\r\n\r\n"
        writer.write(head.encode())
        first = int(headers.get("last-event-id", 0)) + 1
        for number in range(first, EVENTS + 1):
            event = b"id: %d\ndata: token\n\n" % number
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if is_deadly and self.deadly:
                await self.crash()
                return False
            await asyncio.sleep(EVENT_SECONDS)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def crash(self):
        if not self.server.is_serving():
            return
        self.crashes.append(time.monotonic())
        self.site.record.write("crash", target=self.id)
        self.server.close()
        self.reporter.cancel()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(0.0)
        self.restart = asyncio.create_task(self.start_again())

    async def start_again(self):
        await asyncio.sleep(RESTART_SECONDS)
        self.born = int(time.time() * 1000)
        self.seq = 0
        await self.start()


async def case(site):
    for number in range(TARGETS):
        engine = Engine(site, f"i-{number}", "lm", home=number % 4)
        await engine.start()
        site.targets.append(engine)
    await asyncio.sleep(3.0)
    rng = random.Random(1)
    started = time.monotonic()
    requests = []
    count = 0
    while time.monotonic() - started < WATCH_SECONDS:
        count += 1
        machine = rng.choice(site.machines)
        parts = [SOUND_PART, DEADLY_PART] if count % 2 else [SOUND_PART]
        requests.append(asyncio.create_task(generate(site, machine, parts)))
        await asyncio.sleep(REQUEST_SECONDS / 2)
    answers = await asyncio.gather(*requests)
    crashes = sorted(at for item in site.targets for at in item.crashes)
    runs = sorted(at for item in site.targets for at in item.deadly_runs)
    complete = sum(item.status == 200 and item.complete for item in answers)
    print(
        f"{count} requests, {complete} answered in full; {len(crashes)}"
        f" crashes; {len(runs)} runs with the part"
    )
    if len(crashes) < CRASHES:
        return False
    since = crashes[CRASHES - 1] + site2.CONTACT_MS / 1000
    late = [at for at in runs if at > since]
    print(
        f"{len(late)} of these later than {site2.CONTACT_MS} ms after the"
        f" fifth crash; allowed: {ALLOWED}"
    )
    return len(late) > ALLOWED


async def generate(site, machine, parts):
    own = f"{random.getrandbits(32):08x}"
    prompt = ",".join([*(f"{part}:400" for part in parts), f"{own}:100"])
    total = 400 * len(parts) + 100
    return await site.request(
        machine,
        "/digest/x",
        X_Model="m",
        X_Token_Usage=f"{total},{4 * EVENTS}",
        X_Prefix_Hash=prompt,
    )


site2.run(FOLDER, case)
