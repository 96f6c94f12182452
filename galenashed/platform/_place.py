"""Takes the callers' address before the rest of the program is imported.

Only one process can hold the address, so its predecessor is gone from then
on.  Control gives back the tokens that a dead holder can't have spent only if
the proof of its death comes soon after its last announcement; on a small part
of a processor core, the imports alone can take longer than that.
"""

import os
import pathlib
import socket
import time
import tomllib

SETTINGS_VARIABLE = "GALENASHED_BOOT"


class Place:
    """The callers' address, held since a time of day."""

    __slots__ = ("address", "held_since", "sock")

    def __init__(
        self, *, address: str, sock: socket.socket, held_since: float
    ):
        self.address = address
        self.sock = sock
        self.held_since = held_since


def hold_place() -> Place | None:
    """Binds the callers' address of the settings.

    Returns None if that fails, also if settings are missing or invalid: the
    program checks them again, and reports what is wrong.
    """
    try:
        path = pathlib.Path(os.environ[SETTINGS_VARIABLE])
        fields = tomllib.loads(path.read_text(encoding="utf-8"))
        address = fields["listen"]["front"]
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, int(port)))
        except OSError:
            sock.close()
            return None
    except (AttributeError, KeyError, OSError, TypeError, ValueError):
        return None
    return Place(address=address, sock=sock, held_since=time.time())
