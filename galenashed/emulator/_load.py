"""Seeded load: kinds of requests with shared prompts, in clumps and waves."""

import math
import random
import typing

import msgspec


class SharedPart(msgspec.Struct, frozen=True, kw_only=True):
    """A part of prompts of which there are ``count`` different ones."""

    tokens: int
    count: int


class Kind(msgspec.Struct, frozen=True, kw_only=True):
    """A kind of request.

    ``rate`` is in requests a second; sizes are means in tokens.  An answer
    whose first event comes within ``objective_ms`` and that never pauses for
    longer than ``pause_ms`` is worth ``worth``, a later one ``worth_late``,
    one that is not there within ``limit_ms`` nothing.
    """

    name: str
    rate: float
    parts: list[SharedPart] = []
    own: int
    output: int
    objective_ms: float
    pause_ms: float = 500.0
    limit_ms: float
    worth: float = 1.0
    worth_late: float = 0.3
    priority: int = 0


class Arrival(typing.NamedTuple):
    """A request of the load; ``parts`` are names with their tokens."""

    at: float
    kind: Kind
    parts: tuple[tuple[str, int], ...]
    own: int
    output: int


class LoadSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How requests arrive.

    They come in clumps of ``clump`` in the mean; the rate swings by
    ``swing`` of its mean within ``period_s`` seconds, and is ``burst`` times
    as high from ``burst_at_s`` on for ``burst_s`` seconds.
    """

    seconds: float = 30.0
    clump: float = 3.0
    swing: float = 0.15
    period_s: float = 11.0
    burst: float = 1.0
    burst_at_s: float = 0.0
    burst_s: float = 0.0
    kinds: list[Kind]


# Sizes spread like a log-normal distribution with this sigma.
SIZE_SIGMA = 0.8
# Seconds within which the requests of a clump arrive.
CLUMP_SECONDS = 0.1


def arrivals(cfg: LoadSettings, rng: random.Random) -> list[Arrival]:
    """Returns the requests of one run in the order of their times."""
    found = []
    for kind in cfg.kinds:
        now = 0.0
        while True:
            rate = kind.rate * _factor(cfg, now) / cfg.clump
            now += rng.expovariate(rate)
            if now >= cfg.seconds:
                break
            for _ in range(_clump(cfg.clump, rng)):
                at = now + rng.random() * CLUMP_SECONDS
                found.append(_arrival(kind, at, rng))
    return sorted(found, key=lambda arrival: arrival.at)


def _factor(cfg: LoadSettings, now: float) -> float:
    wave = 1 + cfg.swing * math.sin(2 * math.pi * now / cfg.period_s)
    if cfg.burst_at_s <= now < cfg.burst_at_s + cfg.burst_s:
        return wave * cfg.burst
    return wave


def _clump(mean: float, rng: random.Random) -> int:
    """Returns a size that is geometrically distributed."""
    size = 1
    while rng.random() < 1 - 1 / mean:
        size += 1
    return size


def _arrival(kind: Kind, at: float, rng: random.Random) -> Arrival:
    parts = tuple(
        (f"{kind.name}/{n}/{rng.randrange(part.count)}", part.tokens)
        for n, part in enumerate(kind.parts)
    )
    return Arrival(
        at=at,
        kind=kind,
        parts=parts,
        own=_size(kind.own, rng),
        output=_size(kind.output, rng),
    )


def _size(mean: int, rng: random.Random) -> int:
    mu = math.log(mean) - SIZE_SIGMA**2 / 2
    return max(1, min(6 * mean, round(rng.lognormvariate(mu, SIZE_SIGMA))))
