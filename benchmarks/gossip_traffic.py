"""Bytes and processor time of gossip among simulated entries.

Runs the real cores and codec without sockets, in a fleet that is steady:
targets announce themselves once a second to an entry of their failure domain.
Prints one JSON object; rates are per second of simulated time, ``cores`` are
processor seconds a second for the core and the codec alone.

    python -m benchmarks.gossip_traffic --instances 200 --targets 64
"""

import argparse
import collections
import json
import random
import time

import msgspec

from galenashed.gossip import _core
from galenashed import membership
from galenashed.protocol import gossip as wire

STEP_SECONDS = 0.01
MIN_GAP_SECONDS = 0.05
WARM_UP_SECONDS = 10.0
TARGET_LEASE_SECONDS = 3.6
INSTANCE_LEASE_SECONDS = 2.5
REPLICAS_PER_DOMAIN = 1


class _Entry:
    """One entry: its core, its next round and what it has sent."""

    def __init__(self, number: int, domains: int, seeds: list[str]):
        self.domain = f"domain-{number % domains}"
        self.address = f"10.1.{number // 250}.{number % 250}:8228"
        self.has_replica = number < domains * REPLICAS_PER_DOMAIN
        self.sequence = 0
        self.next_round = random.Random(number).random() * 0.3
        self.last_round = 0.0
        self.sent_bytes = 0
        self.received_records = 0
        self.core = _core.Gossip(
            name=f"edge-{self.domain}-{number}",
            instances=membership.Directory(lease=INSTANCE_LEASE_SECONDS),
            targets=membership.Directory(lease=TARGET_LEASE_SECONDS),
            seeds=seeds,
            on_change=lambda target: None,
            rng=random.Random(number),
        )

    def describe(self, now: float) -> wire.Instance:
        """Returns the entry's announcement, as a node writes it."""
        self.sequence += 1
        return wire.Instance(
            name=self.core.name,
            incarnation="0123456789ab",
            started=1.7e9,
            sequence=self.sequence,
            address=self.address.replace("8228", "8227"),
            peer_address=self.address,
            failure_domain=self.domain,
            region="reykjanes",
            in_flight=int(now) % 7,
            cores=0.516,
            cores_used=0.1,
            replica=f"replica-{self.address}" if self.has_replica else "",
            replica_address=self.address if self.has_replica else "",
            request_rate=2.35,
            relay_address=self.address.replace("8228", "8226"),
        )


def _make_target(number: int, sequence: int, domains: int) -> wire.Target:
    return wire.Target(
        name=f"i-{number:010x}",
        incarnation="1700000000000",
        started=1.7e9,
        sequence=sequence,
        service="galena-fleet",
        address=f"10.3.{number // 250}.{number % 250}:8446",
        failure_domain=f"domain-{number % domains}",
        slots=24,
    )


class _Fleet:
    """Simulated entries that exchange encoded messages without delay."""

    def __init__(self, *, instances: int, targets: int, domains: int):
        self.domains = domains
        self.target_count = targets
        seeds: list[str] = []
        self.entries = [_Entry(n, domains, seeds) for n in range(instances)]
        seeds += [entry.address for entry in self.entries[:3]]
        self.by_address = {entry.address: entry for entry in self.entries}
        self.between_domains_bytes = 0
        self._decoders: dict[type, msgspec.msgpack.Decoder] = {}
        self._in_transit: list[tuple[str, type, bytes]] = []
        self._announced: collections.Counter[int] = collections.Counter()

    def run(self, start: float, seconds: float) -> None:
        """Advances the simulation."""
        for step in range(1, int(seconds / STEP_SECONDS) + 1):
            now = start + step * STEP_SECONDS
            self._deliver(now)
            self._announce(step, now)
            for entry in self.entries:
                self._run_if_due(entry, now)

    def _deliver(self, now: float) -> None:
        in_transit, self._in_transit = self._in_transit, []
        for address, kind, data in in_transit:
            decoder = self._decoders.get(kind)
            if decoder is None:
                decoder = msgspec.msgpack.Decoder(list[kind])
                self._decoders[kind] = decoder
            for message in decoder.decode(data):
                self.by_address[address].core.receive(message, now)

    def _announce(self, step: int, now: float) -> None:
        period = round(1 / STEP_SECONDS)
        for number in range(step % period, self.target_count, period):
            self._announced[number] += 1
            target = _make_target(
                number, self._announced[number], self.domains
            )
            count = len(self.entries) // self.domains
            place = number // self.domains % count
            entry = self.entries[place * self.domains + number % self.domains]
            entry.core.announce(target, now)

    def _run_if_due(self, entry: _Entry, now: float) -> None:
        if entry.core.urgent:
            earliest = max(now, entry.last_round + MIN_GAP_SECONDS)
            entry.next_round = min(entry.next_round, earliest)
        if now < entry.next_round:
            return
        entry.last_round = now
        entry.next_round = now + entry.core.round_seconds
        for address, message in entry.core.next_messages(
            entry.describe(now), now
        ):
            data = msgspec.msgpack.encode([message])
            entry.sent_bytes += len(data)
            if self.by_address[address].domain != entry.domain:
                self.between_domains_bytes += len(data)
            self._in_transit.append((address, type(message), data))


def main() -> None:
    """Prints the rates after a time in which all learn of each other."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--instances", type=int, default=200)
    parser.add_argument("--targets", type=int, default=64)
    parser.add_argument("--domains", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=5.0)
    args = parser.parse_args()
    fleet = _Fleet(
        instances=args.instances, targets=args.targets, domains=args.domains
    )
    fleet.run(0.0, WARM_UP_SECONDS)
    warm_up = [entry.sent_bytes for entry in fleet.entries]
    between = fleet.between_domains_bytes
    cpu = time.process_time()
    fleet.run(WARM_UP_SECONDS, args.seconds)
    cpu = time.process_time() - cpu
    rates = [
        (entry.sent_bytes - before) / args.seconds
        for entry, before in zip(fleet.entries, warm_up, strict=True)
    ]
    between = fleet.between_domains_bytes - between
    missing = sum(
        len(fleet.entries) - 1 - len(entry.core.instances.alive(now))
        for now in [WARM_UP_SECONDS + args.seconds]
        for entry in fleet.entries
    )
    result = {
        "instances": args.instances,
        "targets": args.targets,
        "domains": args.domains,
        "sent_bytes_per_instance_second": round(sum(rates) / len(rates)),
        "max_sent_bytes_per_instance_second": round(max(rates)),
        "between_domains_bytes_per_second": round(between / args.seconds),
        "cores_per_instance": round(cpu / args.seconds / args.instances, 5),
        "instances_missed": missing,
    }
    print(json.dumps(result))


if __name__ == "__main__":
    main()
