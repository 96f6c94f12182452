"""HTTP client of the entry daemon for targets, based on aiohttp.

Nodes don't import it: they send requests over the connections of
:mod:`galenashed.engines`, and start faster without it.
"""

from galenashed.clients._client import check_complete
from galenashed.clients._client import is_close_delimited
from galenashed.clients._client import read_body
from galenashed.clients._client import TargetClient

__all__ = [
    "TargetClient",
    "check_complete",
    "is_close_delimited",
    "read_body",
]
