"""Small stand-ins of the targets, for tests, benchmarks and first steps.

They speak the published protocols of model engines and plain services, and
count on their own what they ran, so that a test can compare.
"""

from galenashed.standins._announcer import Announcer
from galenashed.standins._engine import EngineOptions
from galenashed.standins._engine import StandinEngine
from galenashed.standins._server import StandinServer
from galenashed.standins._service import StandinService

__all__ = [
    "Announcer",
    "EngineOptions",
    "StandinEngine",
    "StandinServer",
    "StandinService",
]
