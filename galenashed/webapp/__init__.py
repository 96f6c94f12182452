"""Helpers for blacksheep applications.

Nodes don't import them: they serve plain ASGI applications through
:mod:`galenashed.web`, and start faster without blacksheep.
"""

from galenashed.webapp._app import add_route
from galenashed.webapp._app import Handler
from galenashed.webapp._app import make_app
from galenashed.webapp._errors import error_response

__all__ = ["Handler", "add_route", "error_response", "make_app"]
