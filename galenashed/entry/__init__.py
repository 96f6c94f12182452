"""The HTTP front end for callers and targets.

:class:`EntryServer` serves model requests and calls of plain services,
accepts the announcements of targets and lists the instances that callers
can use.
"""

from galenashed.entry._server import EntryServer

__all__ = ["EntryServer"]
