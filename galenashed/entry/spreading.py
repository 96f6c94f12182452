"""Spreading announcements between entries, for programs that embed it."""

from galenashed.entry._spreader import Spreader

__all__ = ["Spreader"]
