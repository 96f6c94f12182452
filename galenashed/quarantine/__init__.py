"""Quarantine of requests under which targets crash.

Entries report crashes to control, which decides for all of them what must not
run; see :mod:`galenashed.control._quarantine`.
"""

from galenashed.quarantine._quarantine import AnswerState
from galenashed.quarantine._quarantine import make_error
from galenashed.quarantine._quarantine import Quarantine
from galenashed.quarantine._quarantine import SuspectedRequest

__all__ = ["AnswerState", "Quarantine", "SuspectedRequest", "make_error"]
