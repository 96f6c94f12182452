"""Discrete-event simulation of entries, engines and callers in one process.

It compares placement policies, among them the gateway's own placement code.
Time is simulated, so an experiment takes seconds.  The network is modelled as
a constant delay.
"""

from galenashed.emulator._engine import Engine
from galenashed.emulator._engine import EngineRequest
from galenashed.emulator._engine import EngineSettings
from galenashed.emulator._experiment import Experiment
from galenashed.emulator._experiment import ExperimentError
from galenashed.emulator._experiment import format_table
from galenashed.emulator._experiment import read_experiment
from galenashed.emulator._experiment import Result
from galenashed.emulator._experiment import run_experiment
from galenashed.emulator._fleet import Fleet
from galenashed.emulator._fleet import FleetSettings
from galenashed.emulator._fleet import Outcome
from galenashed.emulator._fleet import PLACEMENT_POLICIES
from galenashed.emulator._load import Arrival
from galenashed.emulator._load import generate_arrivals
from galenashed.emulator._load import LoadSettings
from galenashed.emulator._load import RequestKind
from galenashed.emulator._load import SharedPart

__all__ = [
    "PLACEMENT_POLICIES",
    "Arrival",
    "Engine",
    "EngineRequest",
    "EngineSettings",
    "Experiment",
    "ExperimentError",
    "Fleet",
    "FleetSettings",
    "LoadSettings",
    "Outcome",
    "RequestKind",
    "Result",
    "SharedPart",
    "format_table",
    "generate_arrivals",
    "read_experiment",
    "run_experiment",
]
