"""Which instances and targets there are.

:class:`Directory` is the sans-IO part: it merges announcements, renews
leases and keeps tombstones.  :class:`Spreader` is the asyncio task that
tells the other entries what this one heard at first hand.
"""

from galenashed.membership._directory import Directory
from galenashed.membership._spreader import Spreader

__all__ = ["Directory", "Spreader"]
