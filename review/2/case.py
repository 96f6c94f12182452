"""A kill of all processes while the runners of a service are replaced.

Requesters read streams of two runners of one software version.  Two releases
replace half of the runners each, by those of another version: a new one
starts, then an old one deregisters and serves on.  Then all processes are
killed and are back within a second, and the requesters take their streams up
again.
"""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness

STREAMS = 8
# The rule allows that many streams with events of two versions.
ALLOWED = 2
# A stream lasts for 12 s, of a time limit of 15 s.
PAUSE_SECONDS = 0.2
RELEASE_AFTER_SECONDS = 1.0
LEAVE_AFTER_SECONDS = 0.5
RELEASE_GAP_SECONDS = 1.0
KILL_AFTER_SECONDS = 0.5
DOWN_SECONDS = 0.2
SERVES_ON_SECONDS = 8.0
# A requester comes back at least this long after its stream broke off.
RETRY_SECONDS = 0.7
TRIES = 8


async def read(site, number, stream):
    """Reads a stream and takes it up again where it breaks off."""
    nodes = site.nodes
    first = f"first-{number}"
    await harness.send_stream(
        site,
        nodes[number % len(nodes)],
        stream,
        first,
    )
    for attempt in range(1, TRIES + 1):
        if stream.complete or not stream.last_id:
            return
        await asyncio.sleep(RETRY_SECONDS)
        await harness.send_stream(
            site,
            nodes[(number + attempt) % len(nodes)],
            stream,
            f"again-{number}-{attempt}",
            resumes=first,
            last_id=stream.last_id,
        )


async def case(record):
    """Runs the case; returns what broke the rule, if anything did."""
    site = harness.Site(record=record)
    try:
        await site.start(routes=site.stream_routes())
        old = []
        for number in range(2):
            old.append(
                await harness.add_engine(
                    site,
                    f"e-{number}",
                    "v1",
                    site.nodes[number:],
                    pause=PAUSE_SECONDS,
                )
            )
        await asyncio.sleep(2 * harness.CONTACT_SECONDS)
        streams = [harness.Stream() for _ in range(STREAMS)]
        readers = [
            site.go(read(site, number, stream))
            for number, stream in enumerate(streams)
        ]
        await asyncio.sleep(RELEASE_AFTER_SECONDS)
        for number, (engine, reports) in enumerate(old):
            if number:
                await asyncio.sleep(RELEASE_GAP_SECONDS)
            await harness.add_engine(
                site,
                f"e-{number + 2}",
                "v2",
                site.nodes[number:],
                pause=PAUSE_SECONDS,
            )
            await asyncio.sleep(LEAVE_AFTER_SECONDS)
            reports.cancel()
            if not await engine.deregister(site.nodes[number]):
                raise harness.CaseError("a deregistration was not taken")
        await asyncio.sleep(KILL_AFTER_SECONDS)
        if harness.TROUBLE:
            for node in site.nodes:
                node.signal(signal.SIGKILL)
            await asyncio.sleep(DOWN_SECONDS)
            for node in site.nodes:
                node.end()
                node.start()
        await asyncio.sleep(SERVES_ON_SECONDS)
        if harness.TROUBLE:
            for engine, _ in old:
                await engine.stop()
        await asyncio.gather(*readers)
        mixed = 0
        for number, stream in enumerate(streams):
            versions = sorted(set(stream.versions))
            record.write(
                f"stream {number}: {len(stream.versions)} events of"
                f" {versions}, complete: {stream.complete}"
            )
            mixed += len(versions) > 1
        if mixed > ALLOWED:
            return f"{mixed} streams hold events of two versions"
        return ""
    finally:
        await site.close()


if __name__ == "__main__":
    harness.main(pathlib.Path(__file__).parent, case)
