"""Internal protocol: typed messages between the processes of the system.

Messages are ``msgspec`` structs, encoded as MessagePack on the wire and in
the replicated log.  The gRPC servers and channels that carry them are in
:mod:`galenashed.protocol.rpc`, which is not imported here, so that code
without network access, such as the consensus core and the budget escrow,
can use the messages without loading gRPC.
"""

from galenashed.protocol import consensus
from galenashed.protocol import control
from galenashed.protocol import gossip

__all__ = ["consensus", "control", "gossip"]
