"""What an idle entry takes, as the number of entries grows."""

import argparse
import time

from benchmarks import _common
from galenashed.tests import _fleet

SECONDS = 10.0


def measure(entries: int, engines: int) -> list[str]:
    """Returns a table row for a fleet of that size."""
    fleet = _fleet.Fleet(entries=entries, engines=engines, services=0)
    try:
        fleet.start()
        time.sleep(2.0)
        pids = [fleet.processes[n].popen.pid for n in fleet.entry_names]
        before = [_common.cpu_seconds(pid) for pid in pids]
        time.sleep(SECONDS)
        shares = [
            (_common.cpu_seconds(pid) - start) / SECONDS
            for pid, start in zip(pids, before, strict=True)
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
    _common.print_head("entry_idle")
    rows = [measure(n, m) for n, m in ((1, 2), (5, 2), (10, 2), (10, 8))]
    _common.print_table(
        [
            "entries",
            "engines",
            "of a core, mean",
            "of a core, most",
            "resident, MiB",
        ],
        rows,
    )


if __name__ == "__main__":
    main()
