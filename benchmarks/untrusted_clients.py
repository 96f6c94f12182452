"""Soak of a node with clients that keep no limit beside ordinary ones.

Prints, for each round of clients, the memory and descriptors of the node and
what ordinary requests got.  Run it by hand; it ends by itself::

    python -m benchmarks.untrusted_clients --minutes 4
"""

import argparse
import collections
import threading
import time

from galenashed.platform.tests import _site
from galenashed.tests import _crowd
from galenashed.tests import _fleet

PAUSE_SECONDS = 0.05
SETTINGS = """
[limits]
memoryMb = 160
maxFds = 1638
"""
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4 * 2**20,
    "headerTimeoutMs": 2000,
    "idleTimeoutMs": 5000,
}


class Site(_site.Site):
    """A site with the limits of a small machine."""

    def write_settings(self, number, *, bootstrap):
        path = super().write_settings(number, bootstrap=bootstrap)
        path.write_text(path.read_text() + SETTINGS)
        return path


class Ordinary:
    """Sends one request after the other and counts the answers."""

    def __init__(self, site):
        self.site = site
        self.counts = collections.Counter()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *args):
        self._stop.set()
        self._thread.join()

    def _run(self):
        while not self._stop.wait(PAUSE_SECONDS):
            try:
                response = self.site.call(
                    "/l/x", method="GET", body=b"", timeout=5.0
                )
                self.counts[response.status] += 1
            except OSError as exc:
                self.counts[type(exc).__name__] += 1


def run(minutes: float) -> None:
    """Runs rounds of clients for some minutes."""
    with Site(nodes=3) as site:
        site.put_configuration(limits=LIMITS)
        site.add_target("app")
        headers = {
            "Host": _site.HOST,
            "X-Attempt-Id": "1",
            "X-Deadline-Ms": "3000",
            "Api-Key": _site.KEY,
        }
        addresses = [site.front_address(0), site.control_address(0)]
        _fleet.wait_for(
            lambda: site.call("/l/x", method="GET", body=b"").status == 200,
            "an ordinary request",
        )
        kinds = _crowd.make_clients("/l/x", headers)
        with _crowd.Watch(site.processes[0]) as watch:
            print(f"before: {watch.memory_mb('VmRSS'):.0f} MB")
            until = time.monotonic() + 60 * minutes
            while time.monotonic() < until:
                run_round(site, watch, kinds, addresses)
            print(f"highest: {watch.memory_mb():.0f} MB")
            print(f"alive: {watch.is_alive}")


def run_round(site, watch, kinds, addresses) -> None:
    """Lets each kind of clients at each address, and prints a line."""
    for name, kind in kinds.items():
        for address in addresses:
            watch.descriptors = 0
            with Ordinary(site) as ordinary:
                _crowd.run(address, [kind] * _crowd.CLIENTS)
            print(
                f"{name}: {watch.memory_mb('VmRSS'):.0f} MB,"
                f" {watch.descriptors} descriptors,"
                f" ordinary {dict(ordinary.counts)}",
                flush=True,
            )


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--minutes", type=float, default=4.0)
    run(parser.parse_args().minutes)
