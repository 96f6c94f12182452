"""Measures the memory that a process uses."""

import os
import pathlib

STATM_PATH = pathlib.Path("/proc/self/statm")


def resident_bytes() -> int:
    """Returns the resident set size of this process, in bytes.

    Returns 0 where the system does not report it.

    Example::

        megabytes = telemetry.resident_bytes() / 1_000_000
    """
    try:
        pages = int(STATM_PATH.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")
