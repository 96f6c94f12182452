"""The inner protocol: typed messages between the system's own processes.

Messages are ``msgspec`` structs, encoded as MessagePack on the wire and in
the log.  The gRPC servers and channels that carry them live in
:mod:`galenashed.protocol.rpc`, which is not imported here, so that the
coordination parts can use the messages without loading gRPC.
"""

from galenashed.protocol import consensus
from galenashed.protocol import control
from galenashed.protocol import spread

__all__ = ["consensus", "control", "spread"]
