"""Stand-in targets for tests, benchmarks and the quickstart.

They implement the published protocols of model engines and plain services.
They also count their executions independently of the entries, so that tests
can compare the counts.
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
