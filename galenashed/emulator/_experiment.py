"""Experiments: a load played against several settings, with seeds."""

import pathlib
import random
import statistics
import typing

import msgspec

from galenashed.emulator import _engine
from galenashed.emulator import _fleet
from galenashed.emulator import _load


class ExperimentError(ValueError):
    """An experiment file that can't be read, with every fault found."""


class Case(msgspec.Struct, frozen=True, kw_only=True):
    """One row of the table; ``placement`` names a placer."""

    name: str
    placement: str = "predicted"
    entries: _fleet.FleetSettings = _fleet.FleetSettings()


class Experiment(msgspec.Struct, frozen=True, kw_only=True):
    """Contents of an experiment file."""

    seeds: list[int]
    engines: _engine.EngineSettings = _engine.EngineSettings()
    load: _load.LoadSettings
    cases: list[Case]


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """What a case came to, over all seeds; times in seconds.

    ``worth`` is the part earned of what all answers could be worth,
    ``late_first`` and ``paused`` are shares of the requests, ``cached`` is
    the share of prompt tokens found in memory, ``by_second`` the worth
    earned of the requests that arrived in each second.
    """

    case: str
    requests: int
    worth: float
    late_first: float
    paused: float
    first_p50: float
    first_p90: float
    first_p99: float
    cached: float
    by_second: list[float]


def read(path: pathlib.Path) -> Experiment:
    """Reads an experiment file; raises ExperimentError."""
    try:
        found = msgspec.toml.decode(path.read_bytes(), type=Experiment)
    except (msgspec.ValidationError, msgspec.DecodeError, OSError) as exc:
        raise ExperimentError(f"{path}: {exc}") from exc
    for case in found.cases:
        if case.placement not in _fleet.PLACERS:
            allowed = ", ".join(sorted(_fleet.PLACERS))
            raise ExperimentError(
                f"{path}: case {case.name!r}: placement:"
                f" {case.placement!r}, allowed are {allowed}"
            )
    return found


def run(experiment: Experiment) -> list[Result]:
    """Plays every case with every seed."""
    return [_run_case(experiment, case) for case in experiment.cases]


def _run_case(experiment: Experiment, case: Case) -> Result:
    outcomes: list[_fleet.Outcome] = []
    read_tokens = cached_tokens = 0
    for seed in experiment.seeds:
        arrivals = _load.arrivals(experiment.load, random.Random(seed))
        fleet = _fleet.Fleet(
            cfg=case.entries,
            engines=experiment.engines,
            placer=_fleet.PLACERS[case.placement],
            rng=random.Random(seed + 1),
        )
        outcomes += fleet.run(arrivals)
        for engine in fleet.engines.values():
            read_tokens += engine.tokens_read
            cached_tokens += engine.tokens_cached
    return _summary(
        case.name, outcomes, cached_tokens / (cached_tokens + read_tokens)
    )


def _summary(name: str, outcomes, cached: float) -> Result:
    firsts = sorted(item.first for item in outcomes)
    late = paused = 0
    for item in outcomes:
        kind = item.arrival.kind
        late += item.first * 1000 > kind.objective_ms
        paused += item.pause * 1000 > kind.pause_ms
    owed = sum(item.arrival.kind.worth for item in outcomes)
    return Result(
        case=name,
        requests=len(outcomes),
        worth=sum(item.worth for item in outcomes) / owed,
        late_first=late / len(outcomes),
        paused=paused / len(outcomes),
        first_p50=statistics.median(firsts),
        first_p90=firsts[int(0.9 * len(firsts))],
        first_p99=firsts[int(0.99 * len(firsts))],
        cached=cached,
        by_second=_by_second(outcomes),
    )


def _by_second(outcomes) -> list[float]:
    earned: dict[int, list[tuple[float, float]]] = {}
    for item in outcomes:
        worth = (item.worth, item.arrival.kind.worth)
        earned.setdefault(int(item.arrival.at), []).append(worth)
    return [
        sum(got for got, _ in pairs) / sum(most for _, most in pairs)
        for _, pairs in sorted(earned.items())
    ]


COLUMNS = [
    "requests",
    "worth",
    "late_first",
    "paused",
    "first_p50",
    "first_p90",
    "first_p99",
    "cached",
]


def table(
    results: typing.Iterable[Result],
) -> tuple[list[str], list[list[str]]]:
    """Returns headings and rows for people."""
    rows = []
    for result in results:
        values = (getattr(result, name) for name in COLUMNS)
        cells = [f"{value:.3f}" for value in values]
        cells[0] = str(result.requests)
        rows.append([result.case, *cells])
    return ["case", *COLUMNS], rows
