"""A runner leaves before its first status report, which is late, arrives."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import site3  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# How late the status report is, if it is late.
LATE = 2.6
# The runner serves for this long after its leaving was acknowledged.
SERVES = site3.DRAIN + 4.0
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


async def case(site, record):
    for number in range(SETTLED):
        await site3.Runner(site, site3.APP, f"app-{number}").start()
    # Until all nodes are in touch, and know the runner.
    await asyncio.sleep(site3.CONTACT + 2.0)
    runner = site3.Runner(site, site3.APP, "app-short")
    await runner.start(beats=False)
    report = runner.report()
    late = LATE if TROUBLE else 0.0

    async def arrive():
        await asyncio.sleep(late)
        acked = await runner.beat(0, report)
        record.write(f"report 1 of app-short reaches node 0, acked: {acked}")

    arriving = asyncio.create_task(arrive())
    await asyncio.sleep(0.3)
    # It is taken away at once: it says that it leaves, to another node.
    runner.leaving = True
    acked = await runner.deregister(1)
    left_at = record.now()
    record.write(f"app-short has left, acknowledged by node 1: {acked}")
    if not acked:
        raise RuntimeError("the leaving was not acknowledged")
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
        if at > left_at + site3.DRAIN
    ]
    for after, request in too_late:
        record.write(f"DRAIN: {request} reached app-short {after:.2f} s after")
    return not too_late


site3.main(str(FOLDER), case)
