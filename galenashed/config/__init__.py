"""Loading and validation of settings and release notes in TOML files.

A file is validated completely before it is used.  Each error is reported as
a :class:`Finding` with its file, line and key; all findings are returned
together as the error of an ``expression.Result``.
"""

from galenashed.config._findings import Finding
from galenashed.config._notes import load_note
from galenashed.config._settings import ControlSettings
from galenashed.config._settings import detect_kind
from galenashed.config._settings import EntrySettings
from galenashed.config._settings import format_key_hash
from galenashed.config._settings import load_settings
from galenashed.config._settings import LogSettings
from galenashed.config._settings import OperatorSettings

__all__ = [
    "ControlSettings",
    "EntrySettings",
    "Finding",
    "LogSettings",
    "OperatorSettings",
    "detect_kind",
    "format_key_hash",
    "load_note",
    "load_settings",
]
