"""Runs an entry whose paths to targets can be cut, for tests.

All processes of a test share the loopback interface, so the cut is made inside
the entry.  The file that ``CUT_FILE`` names has one line, which says how and
to which addresses: ``refuse`` refuses new connections while open ones live on,
``reset`` also resets open ones, and in ``silence`` nothing arrives any more.
"""

import asyncio
import os
import pathlib
import sys

from aiohttp import client_proto
import uvloop

from galenashed.cli import main

CUT_FILE = "CUT_FILE"


def read_cut(address):
    """Returns how the path to an address is cut; empty if it is not."""
    try:
        text = pathlib.Path(os.environ[CUT_FILE]).read_text(encoding="utf-8")
    except FileNotFoundError:
        return ""
    how, *addresses = text.split() or [""]
    return how if "{}:{}".format(*address[:2]) in addresses else ""


async def follow_cut(address):
    """Fails, or waits forever, if the path to an address is cut."""
    cut = read_cut(address)
    if cut == "silence":
        await asyncio.Event().wait()
    if cut:
        raise ConnectionRefusedError(111, "cut")


class CutLoop(uvloop.Loop):
    """Opens no connections to targets during a cut."""

    async def create_connection(self, factory, host=None, port=None, **kwargs):
        if host is not None:
            await follow_cut((host, port))
        return await super().create_connection(factory, host, port, **kwargs)

    async def sock_connect(self, sock, address):
        await follow_cut(address)
        return await super().sock_connect(sock, address)


def cut_open_connections():
    """Makes open connections to targets follow the cut."""
    data_received = client_proto.ResponseHandler.data_received

    def receive_unless_cut(handler, data):
        peer = handler.transport and handler.transport.get_extra_info(
            "peername"
        )
        cut = read_cut(peer) if peer else ""
        if cut == "reset":
            handler.transport.abort()
        elif cut != "silence":
            data_received(handler, data)

    client_proto.ResponseHandler.data_received = receive_unless_cut


if __name__ == "__main__":
    uvloop.new_event_loop = CutLoop
    cut_open_connections()
    sys.exit(main.run())
