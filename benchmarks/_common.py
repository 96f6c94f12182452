"""Helpers of the benchmarks: process usage, percentiles and tables."""

import os
import pathlib
import sys

CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def cpu_seconds(pid: int) -> float:
    """Returns the user and system CPU time that a process has used."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def resident_mib(pid: int) -> float:
    """Returns the resident memory of a process in MiB."""
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(pages) * PAGE_BYTES / 2**20


def percentile(values: list[float], fraction: float) -> float:
    """Returns the value below which ``fraction`` of the values lie.

    ``fraction`` is between 0 and 1.
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def print_header(module_name: str) -> None:
    """Prints the command that was run and the machine it ran on."""
    arguments = " ".join(sys.argv[1:])
    print(f"command: python -m benchmarks.{module_name} {arguments}".rstrip())
    version = sys.version.split()[0]
    print(f"machine: {os.cpu_count()} cores, Python {version}\n")


def print_table(headings: list[str], rows: list[list[str]]) -> None:
    """Prints a Markdown table."""
    print("| " + " | ".join(headings) + " |")
    print("|" + "---|" * len(headings))
    for row in rows:
        print("| " + " | ".join(row) + " |")
    print()
