"""Reproducible synthetic load of requests that share parts of their prompts.

Requests arrive in clumps, which are groups of a few requests at almost the
same time, and at a rate that varies over time.
"""

import math
import random
import typing

import msgspec


class SharedPart(msgspec.Struct, frozen=True, kw_only=True):
    """A prompt part of ``tokens`` tokens that has ``count`` variants.

    Each request uses one of the variants, chosen at random.
    """

    tokens: int
    count: int


class RequestKind(msgspec.Struct, frozen=True, kw_only=True):
    """Requests with the same distribution of sizes and the same objectives.

    Parameters
    ----------
    name : str
        Prefix of the names of the shared prompt parts.
    rate : float
        Mean requests per second.
    parts : list of SharedPart
        Prompt parts that several requests share, in their order.
    own : int
        Mean tokens of the rest of the prompt.
    output : int
        Mean output tokens.
    objective_ms : float
        Longest time to the first event of a response with full worth.
    pause_ms : float
        Longest pause between events of a response with full worth.
    limit_ms : float
        A response that takes longer than this is worth nothing.
    worth : float
        Worth of a response that meets all objectives.
    worth_late : float
        Worth of any other response within ``limit_ms``.
    priority : int
        Lower values leave an engine's queue first.
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
    """A request of the load.

    ``arrived_at`` is in seconds from the start; ``parts`` holds the names of
    the shared prompt parts with their tokens.
    """

    arrived_at: float
    kind: RequestKind
    parts: tuple[tuple[str, int], ...]
    unique_tokens: int
    output_tokens: int


class LoadSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Arrival process of the requests.

    Parameters
    ----------
    seconds : float
        Length of the run.
    clump : float
        Mean number of requests in a clump.
    swing : float
        Amplitude of the sine wave of the rate, as a fraction of its mean.
    period_s : float
        Period of that wave, in seconds.
    burst : float
        Factor of the rate during the burst.
    burst_at_s : float
        Start of the burst, in seconds.
    burst_s : float
        Length of the burst, in seconds.
    kinds : list of RequestKind
        Kinds of requests, which arrive independently of each other.
    """

    seconds: float = 30.0
    clump: float = 3.0
    swing: float = 0.15
    period_s: float = 11.0
    burst: float = 1.0
    burst_at_s: float = 0.0
    burst_s: float = 0.0
    kinds: list[RequestKind]


# Sigma of the log-normal distribution of prompt and output tokens.
SIZE_SIGMA = 0.8
# Time span over which the requests of a clump are spread.
CLUMP_SECONDS = 0.1


def generate_arrivals(cfg: LoadSettings, rng: random.Random) -> list[Arrival]:
    """Returns the requests of one run in order of arrival."""
    arrivals = []
    for kind in cfg.kinds:
        now = 0.0
        while True:
            clump_rate = kind.rate * _rate_factor(cfg, now) / cfg.clump
            now += rng.expovariate(clump_rate)
            if now >= cfg.seconds:
                break
            for _ in range(_draw_clump_size(cfg.clump, rng)):
                arrived_at = now + rng.random() * CLUMP_SECONDS
                arrivals.append(_draw_arrival(kind, arrived_at, rng))
    return sorted(arrivals, key=lambda arrival: arrival.arrived_at)


def _rate_factor(cfg: LoadSettings, now: float) -> float:
    wave = 1 + cfg.swing * math.sin(2 * math.pi * now / cfg.period_s)
    if cfg.burst_at_s <= now < cfg.burst_at_s + cfg.burst_s:
        return wave * cfg.burst
    return wave


def _draw_clump_size(mean: float, rng: random.Random) -> int:
    """Returns a number from a geometric distribution, 1 at least."""
    size = 1
    while rng.random() < 1 - 1 / mean:
        size += 1
    return size


def _draw_arrival(
    kind: RequestKind, arrived_at: float, rng: random.Random
) -> Arrival:
    parts = tuple(
        (f"{kind.name}/{n}/{rng.randrange(part.count)}", part.tokens)
        for n, part in enumerate(kind.parts)
    )
    return Arrival(
        arrived_at=arrived_at,
        kind=kind,
        parts=parts,
        unique_tokens=_draw_tokens(kind.own, rng),
        output_tokens=_draw_tokens(kind.output, rng),
    )


def _draw_tokens(mean: int, rng: random.Random) -> int:
    """Returns a number of tokens from a log-normal distribution.

    It is limited to 1 to 6 times the mean.
    """
    mu = math.log(mean) - SIZE_SIGMA**2 / 2
    return max(1, min(6 * mean, round(rng.lognormvariate(mu, SIZE_SIGMA))))
