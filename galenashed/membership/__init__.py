"""Which instances and targets there are.

:class:`Directory` is the sans-IO part: it merges announcements, renews
leases and keeps tombstones.
"""

from galenashed.membership._directory import Directory
from galenashed.membership._overlay import choose_partners
from galenashed.membership._rumors import Rumors

__all__ = ["Directory", "Rumors", "choose_partners"]
