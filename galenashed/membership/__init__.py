"""Which instances and targets there are.

:class:`Directory` is the sans-IO part: it merges announcements, renews
leases and keeps tombstones.
"""

from galenashed.membership._broadcasts import BroadcastQueue
from galenashed.membership._directory import Directory
from galenashed.membership._overlay import choose_peers

__all__ = ["BroadcastQueue", "Directory", "choose_peers"]
