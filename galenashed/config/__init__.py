"""Loading and validation of settings and release notes in TOML files.

A file is validated completely before it is used.  Each error is reported as
a :class:`Finding` with its file, line and key; all findings are returned
together as the error of an ``expression.Result``.

:func:`check_table` and :func:`check_note` find what is valid and does not do
what it seems to; the ``describe`` functions tell how two configurations
differ.
"""

from galenashed.config._changes import describe_note_changes
from galenashed.config._changes import describe_table_changes
from galenashed.config._changes import describe_top_ups
from galenashed.config._checks import check_note
from galenashed.config._checks import check_table
from galenashed.config._checks import CheckResult
from galenashed.config._checks import Remark
from galenashed.config._checks import Severity
from galenashed.config._findings import find_key_lines
from galenashed.config._findings import find_line
from galenashed.config._findings import Finding
from galenashed.config._findings import format_key
from galenashed.config._findings import KeyPath
from galenashed.config._notes import load_note
from galenashed.config._settings import ControlSettings
from galenashed.config._settings import detect_kind
from galenashed.config._settings import EntrySettings
from galenashed.config._settings import format_key_hash
from galenashed.config._settings import load_settings
from galenashed.config._settings import LogSettings
from galenashed.config._settings import OperatorSettings

__all__ = [
    "CheckResult",
    "ControlSettings",
    "EntrySettings",
    "Finding",
    "KeyPath",
    "LogSettings",
    "OperatorSettings",
    "Remark",
    "Severity",
    "check_note",
    "check_table",
    "describe_note_changes",
    "describe_table_changes",
    "describe_top_ups",
    "detect_kind",
    "find_key_lines",
    "find_line",
    "format_key",
    "format_key_hash",
    "load_note",
    "load_settings",
]
