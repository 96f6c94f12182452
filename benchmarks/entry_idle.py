"""Measures the CPU and memory usage of idle entries by fleet size."""

import argparse
import time

from benchmarks import _common
from galenashed.tests import _fleet

SAMPLE_SECONDS = 10.0


def measure(entries: int, engines: int) -> list[str]:
    """Returns the table row of a fleet of the given size."""
    fleet = _fleet.Fleet(entries=entries, engines=engines, services=0)
    try:
        fleet.start()
        time.sleep(2.0)
        pids = [fleet.processes[n].popen.pid for n in fleet.entry_names]
        cpu_before = [_common.cpu_seconds(pid) for pid in pids]
        time.sleep(SAMPLE_SECONDS)
        shares = [
            (_common.cpu_seconds(pid) - start) / SAMPLE_SECONDS
            for pid, start in zip(pids, cpu_before, strict=True)
        ]
        resident = [_common.resident_mib(pid) for pid in pids]
    finally:
        fleet.close()
    return [
        str(entries),
        str(engines),
        f"{sum(shares) / len(shares):.2%}",
        f"{max(shares):.2%}",
        f"{sum(resident) / len(resident):.1f}",
    ]


def main() -> None:
    """Prints the table."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    _common.print_header("entry_idle")
    rows = [measure(n, m) for n, m in ((1, 2), (5, 2), (10, 2), (10, 8))]
    _common.print_table(
        [
            "entries",
            "engines",
            "share of a core, mean",
            "share of a core, max",
            "resident, MiB",
        ],
        rows,
    )


if __name__ == "__main__":
    main()
