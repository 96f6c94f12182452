"""Membership of instances and targets, as sans-IO data structures.

:class:`Directory` merges announcements, renews leases and keeps tombstones.
:class:`BroadcastQueue` holds the updates still to be sent, and
:func:`choose_peers` and :func:`choose_relays` select the entries to send them
to.
"""

from galenashed.membership._broadcasts import BroadcastQueue
from galenashed.membership._directory import Directory
from galenashed.membership._overlay import choose_peers
from galenashed.membership._relays import choose_relays

__all__ = ["BroadcastQueue", "Directory", "choose_peers", "choose_relays"]
