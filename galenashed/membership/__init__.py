"""Which instances and targets there are.

:class:`Directory` is the sans-IO part: it merges announcements, renews
leases and keeps tombstones.
"""

from galenashed.membership._directory import Directory

__all__ = ["Directory"]
