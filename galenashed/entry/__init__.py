"""What callers and targets see of the system.

:class:`EntryServer` serves model requests and calls of plain services,
takes the announcements of targets and tells callers which instances to use.
"""

from galenashed.entry._server import EntryServer

__all__ = ["EntryServer"]
