"""A node of the fleet: entry and control replica in one process."""

from galenashed.node._evacuations import OldBuildError
from galenashed.node._evacuations import UnknownDomainError
from galenashed.node._server import Node
from galenashed.node._settings import NodeSettings

__all__ = ["Node", "NodeSettings", "OldBuildError", "UnknownDomainError"]
