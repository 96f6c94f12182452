"""Runs a node whose paths to targets can be cut, for tests.

All processes of a test share the loopback interface, so the cut is made inside
the node.  The file that ``CUT_FILE`` names says how: ``refuse`` refuses new
connections to targets while open ones live on, ``reset`` also resets open
ones, and in ``silence`` nothing arrives any more.
"""

import asyncio
import os
import pathlib
import sys

import uvloop

from galenashed import engines
from galenashed.platform import _program

CUT_FILE = "CUT_FILE"
# Targets of the tests listen here, nodes at other loopback addresses.
TARGETS_HOST = "127.0.0.1"


def read_cut():
    """Returns how the paths are cut now; empty if they are not."""
    try:
        return pathlib.Path(os.environ[CUT_FILE]).read_text()
    except FileNotFoundError:
        return ""


class CutLoop(uvloop.Loop):
    """Opens no connections to targets during a cut."""

    async def create_connection(self, factory, host=None, port=None, **kwargs):
        cut = read_cut() if host == TARGETS_HOST else ""
        if cut == "silence":
            await asyncio.Event().wait()
        if cut:
            raise ConnectionRefusedError(111, "cut")
        return await super().create_connection(factory, host, port, **kwargs)


def cut_open_connections():
    """Makes open connections to targets follow the cut."""
    send = engines.Connection.send
    data_received = engines.Connection.data_received

    def is_cut(conn, how):
        return conn.address.startswith(f"{TARGETS_HOST}:") and (
            read_cut() == how
        )

    def send_unless_cut(conn, data, **options):
        if is_cut(conn, "silence"):
            data = b""
        send(conn, data, **options)
        if is_cut(conn, "reset"):
            conn.abort()

    def receive_unless_cut(conn, data):
        if is_cut(conn, "reset"):
            conn.abort()
        elif not is_cut(conn, "silence"):
            data_received(conn, data)

    engines.Connection.send = send_unless_cut
    engines.Connection.data_received = receive_unless_cut


if __name__ == "__main__":
    uvloop.new_event_loop = CutLoop
    cut_open_connections()
    sys.exit(_program.main())
