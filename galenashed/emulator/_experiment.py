"""Experiments: simulations of one load with several settings and seeds."""

import pathlib
import random
import statistics
import typing

import msgspec

from galenashed.emulator import _engine
from galenashed.emulator import _fleet
from galenashed.emulator import _load


class ExperimentError(ValueError):
    """An experiment file can't be read or has an invalid value."""


class Case(msgspec.Struct, frozen=True, kw_only=True):
    """Settings to compare with those of other cases.

    Parameters
    ----------
    name : str
        Heading of the row with its results.
    placement : str
        Key of ``PLACEMENT_POLICIES``.
    entries : FleetSettings
        Number of entries, and the slow engines.
    """

    name: str
    placement: str = "predicted"
    entries: _fleet.FleetSettings = _fleet.FleetSettings()


class Experiment(msgspec.Struct, frozen=True, kw_only=True):
    """Contents of an experiment file.

    Each case is simulated once per seed, with the same load for all cases.
    """

    seeds: list[int]
    engines: _engine.EngineSettings = _engine.EngineSettings()
    load: _load.LoadSettings
    cases: list[Case]


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """Results of a case over all seeds.

    Parameters
    ----------
    case : str
        Name of the case.
    requests : int
        Number of requests.
    worth : float
        Worth of all responses, as a fraction of the highest possible.
    late_first : float
        Fraction of requests whose first event missed the objective.
    paused : float
        Fraction of requests with a pause over the limit.
    first_p50, first_p90, first_p99 : float
        Percentiles of the seconds to the first event.
    cached : float
        Fraction of prompt tokens found in the engines' caches.
    by_second : list of float
        Like ``worth``, of the requests that arrived in each second.
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


def read_experiment(path: pathlib.Path) -> Experiment:
    """Reads an experiment file; raises ExperimentError."""
    try:
        experiment = msgspec.toml.decode(path.read_bytes(), type=Experiment)
    except (msgspec.ValidationError, msgspec.DecodeError, OSError) as exc:
        raise ExperimentError(f"{path}: {exc}") from exc
    for case in experiment.cases:
        if case.placement not in _fleet.PLACEMENT_POLICIES:
            allowed = ", ".join(sorted(_fleet.PLACEMENT_POLICIES))
            raise ExperimentError(
                f"{path}: case {case.name!r}: unknown placement"
                f" {case.placement!r}; expected one of {allowed}"
            )
    return experiment


def run_experiment(experiment: Experiment) -> list[Result]:
    """Simulates every case with every seed."""
    return [_run_case(experiment, case) for case in experiment.cases]


def _run_case(experiment: Experiment, case: Case) -> Result:
    outcomes: list[_fleet.Outcome] = []
    prefilled_tokens = cache_hit_tokens = 0
    for seed in experiment.seeds:
        arrivals = _load.generate_arrivals(
            experiment.load, random.Random(seed)
        )
        fleet = _fleet.Fleet(
            cfg=case.entries,
            engine_cfg=experiment.engines,
            policy=_fleet.PLACEMENT_POLICIES[case.placement],
            rng=random.Random(seed + 1),
        )
        outcomes += fleet.run(arrivals)
        for engine in fleet.engines.values():
            prefilled_tokens += engine.prefilled_tokens
            cache_hit_tokens += engine.cache_hit_tokens
    return _summarize(
        case.name,
        outcomes,
        cache_hit_tokens / (cache_hit_tokens + prefilled_tokens),
    )


def _summarize(case_name: str, outcomes, cached: float) -> Result:
    first_event_seconds = sorted(
        outcome.first_event_seconds for outcome in outcomes
    )
    late_count = paused_count = 0
    for outcome in outcomes:
        kind = outcome.arrival.kind
        late_count += outcome.first_event_seconds * 1000 > kind.objective_ms
        paused_count += outcome.longest_pause * 1000 > kind.pause_ms
    highest_worth = sum(outcome.arrival.kind.worth for outcome in outcomes)
    return Result(
        case=case_name,
        requests=len(outcomes),
        worth=sum(outcome.worth for outcome in outcomes) / highest_worth,
        late_first=late_count / len(outcomes),
        paused=paused_count / len(outcomes),
        first_p50=statistics.median(first_event_seconds),
        first_p90=first_event_seconds[int(0.9 * len(first_event_seconds))],
        first_p99=first_event_seconds[int(0.99 * len(first_event_seconds))],
        cached=cached,
        by_second=_worth_by_second(outcomes),
    )


def _worth_by_second(outcomes) -> list[float]:
    """Returns the fraction of the highest worth, by second of arrival.

    Seconds without arrivals are left out.
    """
    worths: dict[int, list[tuple[float, float]]] = {}
    for outcome in outcomes:
        pair = (outcome.worth, outcome.arrival.kind.worth)
        worths.setdefault(int(outcome.arrival.arrived_at), []).append(pair)
    return [
        sum(worth for worth, _ in pairs) / sum(highest for _, highest in pairs)
        for _, pairs in sorted(worths.items())
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


def format_table(
    results: typing.Iterable[Result],
) -> tuple[list[str], list[list[str]]]:
    """Returns the headings and the rows of a table to print."""
    rows = []
    for result in results:
        values = (getattr(result, name) for name in COLUMNS)
        cells = [f"{value:.3f}" for value in values]
        cells[0] = str(result.requests)
        rows.append([result.case, *cells])
    return ["case", *COLUMNS], rows
