"""Processor time and memory of the platform program's imports.

Every kill, replacement and power loss pays for a start, on machines with a
tenth of a processor core.  Prints one JSON object: processor seconds and
resident megabytes of the program's imports and of the libraries that it can't
do without, as medians over fresh interpreters.

    python -m benchmarks.start_time --runs 5
"""

import argparse
import json
import resource
import statistics
import subprocess
import sys

PROGRAM = "galenashed.platform._program"
LIBRARIES = "asyncio, grpc.aio, httptools, loguru, msgspec, uvloop"
REPORT = "; import resource as r; print(r.getrusage(r.RUSAGE_SELF).ru_maxrss)"


def _measure(modules: str) -> tuple[float, float]:
    """Returns processor seconds and resident MB of one interpreter."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    done = subprocess.run(
        [sys.executable, "-c", f"import {modules}{REPORT}"],
        capture_output=True,
        check=True,
        text=True,
    )
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    seconds = after.ru_utime + after.ru_stime
    seconds -= before.ru_utime + before.ru_stime
    return seconds, int(done.stdout) / 1024


def main() -> None:
    """Prints the medians."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--runs", type=int, default=5)
    args = parser.parse_args()
    result = {}
    for name, modules in (("program", PROGRAM), ("libraries", LIBRARIES)):
        # The first run may compile sources.
        _measure(modules)
        runs = [_measure(modules) for _ in range(args.runs)]
        seconds, megabytes = zip(*runs, strict=True)
        result[f"{name}_cpu_seconds"] = round(statistics.median(seconds), 3)
        result[f"{name}_resident_mb"] = round(statistics.median(megabytes), 1)
    result["ratio"] = round(
        result["program_cpu_seconds"] / result["libraries_cpu_seconds"], 2
    )
    print(json.dumps(result))


if __name__ == "__main__":
    main()
