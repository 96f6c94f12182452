"""All processes are killed after a runner has left; an old report is late."""

import asyncio
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import site3  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# How late a status report from before the leaving arrives.
LATE = 7.0
# The runner serves for this long after its leaving was acknowledged.
SERVES = site3.DRAIN + 8.0
# Other runners of the service.
SETTLED = 7


async def call(site, number, node):
    """Sends an order to a node."""
    request = f"order-{number}-{node}"
    answer = await site3.fetch(
        site.front(node),
        "POST",
        "/order/book",
        headers=site.headers(request, ms=3000),
        timeout=4.0,
    )
    status = None if answer is None else answer.status
    site.record.write(f"{request} sent to node {node}: {status}")


async def restart_all(site):
    """Kills all processes; they start again within a second."""
    for node in range(len(site.nodes)):
        site.signal(node, signal.SIGKILL)
    await asyncio.sleep(0.5)
    for node in range(len(site.nodes)):
        site.start_node(node)


async def case(site, record):
    for number in range(SETTLED):
        await site3.Runner(site, site3.APP, f"app-{number}").start()
    runner = site3.Runner(site, site3.APP, "app-left")
    await runner.start()
    # Until all nodes are in touch, and know the runners.
    await asyncio.sleep(site3.CONTACT + 2.0)
    runner.stop_beats()
    report = runner.report()

    async def arrive():
        await asyncio.sleep(LATE)
        acked = await runner.beat(0, report)
        record.write(f"the late report reaches node 0, acked: {acked}")

    arriving = asyncio.create_task(arrive())
    runner.leaving = True
    if not await runner.deregister(1):
        raise RuntimeError("the leaving was not acknowledged")
    left_at = record.now()
    record.write("app-left has left, acknowledged by node 1")
    await asyncio.sleep(0.5)
    if TROUBLE:
        await restart_all(site)
        for node in range(len(site.nodes)):
            await site.wait_ready(node)
    # All are in touch again: contactMs after the start, or twice that.
    await asyncio.sleep(max(0.0, left_at + LATE + 0.3 - record.now()))
    in_touch_at = record.now()
    number = 0
    while record.now() < left_at + SERVES:
        number += 1
        nodes = range(len(site.nodes))
        await asyncio.gather(*[call(site, number, node) for node in nodes])
        await asyncio.sleep(0.1)
    runner.crash()
    await arriving
    too_late = [
        (at - left_at, request)
        for at, request, _ in runner.runs
        if at > max(left_at + site3.DRAIN, in_touch_at)
    ]
    for after, request in too_late:
        record.write(f"DRAIN: {request} reached app-left {after:.2f} s after")
    return not too_late


site3.main(str(FOLDER), case)
