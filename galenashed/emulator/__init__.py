"""Engines and entries emulated in one process, for trying decisions out.

Load meets emulated engines by the same placement that the gateway uses, in
simulated time, so that an experiment takes seconds.  It emulates targets and
callers; the network is only a delay.
"""

from galenashed.emulator._engine import Engine
from galenashed.emulator._engine import EngineSettings
from galenashed.emulator._engine import Work
from galenashed.emulator._experiment import Experiment
from galenashed.emulator._experiment import ExperimentError
from galenashed.emulator._experiment import read
from galenashed.emulator._experiment import Result
from galenashed.emulator._experiment import run
from galenashed.emulator._experiment import table
from galenashed.emulator._fleet import Fleet
from galenashed.emulator._fleet import FleetSettings
from galenashed.emulator._fleet import Outcome
from galenashed.emulator._fleet import PLACERS
from galenashed.emulator._load import Arrival
from galenashed.emulator._load import arrivals
from galenashed.emulator._load import Kind
from galenashed.emulator._load import LoadSettings
from galenashed.emulator._load import SharedPart

__all__ = [
    "PLACERS",
    "Arrival",
    "Engine",
    "EngineSettings",
    "Experiment",
    "ExperimentError",
    "Fleet",
    "FleetSettings",
    "Kind",
    "LoadSettings",
    "Outcome",
    "Result",
    "SharedPart",
    "Work",
    "arrivals",
    "read",
    "run",
    "table",
]
