"""An engine in a process of its own, for tests that kill it.

Its answers are framed by chunks or by the end of the connection, in turn, and
its events come in pieces that end at any byte.  Run as
``python -m galenashed.platform.tests._target_process ID ADDRESS VERSION SEED
CONTROL_ADDRESS...``.
"""

import asyncio
import random
import sys

from galenashed.platform.tests import _site
from galenashed.tests import _fleet

EVENTS = 12
REPORT_SECONDS = 0.3
MAX_PAUSE_SECONDS = 0.04


class Engine(_site.Target):
    """Writes ``EVENTS`` events of its version, slowly."""

    def __init__(self, *, seed, **options):
        super().__init__(service="engines", **options)
        self.rng = random.Random(seed)

    async def send_events(self, writer, headers):
        first = int(headers.get("last-event-id", 0)) + 1
        chunked = self.rng.random() < 0.5
        head = self.response_head(200, headers)
        head += "Content-Type: text/event-stream\r\n"
        if chunked:
            head += "Transfer-Encoding: chunked\r\n"
        writer.write(f"{head}\r\n".encode())
        for number in range(first, EVENTS + 1):
            event = self.event(number)
            cut = self.rng.choice([0, 0, self.rng.randrange(len(event))])
            for piece in filter(None, (event[:cut], event[cut:])):
                if chunked:
                    piece = b"%x\r\n%s\r\n" % (len(piece), piece)
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(self.rng.uniform(0, MAX_PAUSE_SECONDS))
        if chunked:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        return chunked


async def report(target, controls):
    """Sends reports to the first node that answers."""
    while True:
        for control in controls:
            try:
                await asyncio.to_thread(
                    _fleet.fetch,
                    control,
                    f"/Instances.Heartbeat/{target.id}",
                    method="POST",
                    body=target.next_heartbeat(),
                    key="",
                    timeout=0.5,
                )
            except OSError:
                continue
            break
        await asyncio.sleep(REPORT_SECONDS)


async def run(name, address, version, seed, *controls):
    target = Engine(
        target_id=name, address=address, version=version, seed=int(seed)
    )
    await target.start()
    await report(target, controls)


if __name__ == "__main__":
    asyncio.run(run(*sys.argv[1:]))
