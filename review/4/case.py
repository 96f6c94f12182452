"""Streams that are taken up elsewhere while their node is frozen.

Requesters read streams through one node, which freezes.  Meanwhile the first
runner of another software version joins the service.  The requesters abandon
their streams after a gap of four seconds and take them up at the other nodes.
"""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness

# One of them freezes, a tenth.
NODES = 10
STREAMS = 16
# A stream lasts for 9 s.
EVENTS = 90
FREEZE_SECONDS = 8.0
# When the runner of the other version reports, after the freeze has begun.
JOIN_AFTER_SECONDS = 2.0
TRIES = 3
RETRY_SECONDS = 0.3


async def take_up(site, number, stream, nodes):
    """Takes a stream up again; returns whether it went on."""
    before = stream.last_id
    for attempt_number in range(TRIES):
        node = nodes[(number + attempt_number) % len(nodes)]
        attempt = f"again-{number}-{attempt_number}"
        await harness.send_stream(
            site,
            node,
            stream,
            attempt,
            resumes=f"first-{number}",
            last_id=before,
        )
        if stream.last_id > before:
            return True
        await asyncio.sleep(RETRY_SECONDS)
    return False


async def read_first(site, number, stream, node):
    """Reads a stream from its beginning."""
    await harness.send_stream(site, node, stream, f"first-{number}")


async def read_both(site, number, stream, node, nodes):
    """Reads a stream and takes it up if it breaks off.

    Returns whether it went on, None if it was not taken up.
    """
    await read_first(site, number, stream, node)
    if stream.complete:
        return None
    return await take_up(site, number, stream, nodes)


async def read_new(site, number, nodes):
    """Reads a new stream; returns whether it begins."""
    stream = harness.Stream()
    await read_first(site, f"new-{number}", stream, nodes[number % len(nodes)])
    return stream.last_id > 0


async def case(record):
    """Runs the case; returns what broke the rule, if anything did."""
    site = harness.Site(record=record, nodes=NODES)
    try:
        await site.start(routes=site.stream_routes())
        frozen = site.nodes[-1]
        nodes = site.nodes[:-1]
        for number in range(2):
            await harness.add_engine(site, f"e-{number}", "v1", nodes[number:])
        await asyncio.sleep(2 * harness.CONTACT_SECONDS)
        streams = [harness.Stream() for _ in range(STREAMS)]
        readers = [
            site.go(read_both(site, number, stream, frozen, nodes))
            for number, stream in enumerate(streams)
        ]
        await asyncio.sleep(1.5)
        if harness.TROUBLE:
            frozen.signal(signal.SIGSTOP)
        await asyncio.sleep(JOIN_AFTER_SECONDS)
        await harness.add_engine(site, "e-2", "v2", nodes)
        await asyncio.sleep(harness.MAX_GAP_SECONDS - JOIN_AFTER_SECONDS)
        new = [site.go(read_new(site, n, nodes)) for n in range(STREAMS)]
        await asyncio.sleep(FREEZE_SECONDS - harness.MAX_GAP_SECONDS)
        if harness.TROUBLE:
            frozen.signal(signal.SIGCONT)
        went_on = await asyncio.gather(*readers)
        began = await asyncio.gather(*new)
        taken_up = [value for value in went_on if value is not None]
        record.write(
            f"{sum(taken_up)} of {len(taken_up)} streams went on,"
            f" {sum(began)} of {len(began)} new ones began"
        )
        if len(taken_up) < 12:
            return ""
        share = sum(taken_up) / len(taken_up)
        if share < sum(began) / len(began) / 2:
            return (
                f"{sum(taken_up)} of {len(taken_up)} streams went on,"
                f" {sum(began)} of {len(began)} new ones began"
            )
        return ""
    finally:
        await site.close()


if __name__ == "__main__":
    harness.main(pathlib.Path(__file__).parent, case)
