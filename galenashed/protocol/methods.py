"""RPC methods of the internal protocol."""

from galenashed.protocol import consensus
from galenashed.protocol import control
from galenashed.protocol import gossip
from galenashed.protocol import guards
from galenashed.protocol import lending
from galenashed.protocol import rpc
from galenashed.protocol import streams
from galenashed.protocol import witness

DELIVER = rpc.Method(
    path="/galenashed.Consensus/Deliver",
    kind="client_stream",
    request=list[consensus.Hello | consensus.Message],
    reply=bool,
)
PUBLISH = rpc.Method(
    path="/galenashed.Control/Publish",
    kind="unary",
    request=control.PublishNote,
    reply=control.Outcome,
    roles=("operator",),
)
REPLICAS = rpc.Method(
    path="/galenashed.Control/Replicas",
    kind="unary",
    request=control.ChangeReplicas,
    reply=control.Outcome,
    roles=("operator",),
)
EVACUATE = rpc.Method(
    path="/galenashed.Control/Evacuate",
    kind="unary",
    request=control.EvacuationOrder,
    reply=control.Outcome,
    roles=("peer", "operator"),
)
PROPOSE = rpc.Method(
    path="/galenashed.Control/Propose",
    kind="unary",
    request=list[control.Command],
    reply=list[control.Outcome],
)
FOLLOW = rpc.Method(
    path="/galenashed.Control/Follow",
    kind="bidi",
    request=control.FollowReport,
    reply=control.FollowEvent,
)
QUERY = rpc.Method(
    path="/galenashed.Control/Query",
    kind="unary",
    request=control.Query,
    reply=control.QueryReply,
    roles=("peer", "operator"),
)
STATUS = rpc.Method(
    path="/galenashed.Control/Status",
    kind="unary",
    request=bool,
    reply=control.ReplicaStatus,
    roles=("peer", "operator"),
)
RECORD_VERSIONS = rpc.Method(
    path="/galenashed.Control/RecordVersions",
    kind="unary",
    request=list[streams.SoftwareVersion],
    reply=bool,
)
FIND_VERSIONS = rpc.Method(
    path="/galenashed.Control/FindVersions",
    kind="unary",
    request=streams.VersionQuery,
    reply=streams.VersionReply,
)
WITNESS = rpc.Method(
    path="/galenashed.Entry/Witness",
    kind="bidi",
    request=witness.WitnessRequest,
    reply=witness.WitnessReply,
)
SET_LIFTED = rpc.Method(
    path="/galenashed.Entry/SetLifted",
    kind="unary",
    request=guards.SetLifted,
    reply=bool,
)
CLOSE_TERM = rpc.Method(
    path="/galenashed.Entry/CloseTerm",
    kind="unary",
    request=guards.CloseTerm,
    reply=bool,
)
LEND = rpc.Method(
    path="/galenashed.Entry/Lend",
    kind="unary",
    request=lending.LoanRequest,
    reply=lending.LoanReply,
)
RECORD_ORIGINS = rpc.Method(
    path="/galenashed.Entry/RecordOrigins",
    kind="client_stream",
    request=list[list[streams.StreamOrigin]],
    reply=bool,
)
FIND_ORIGIN = rpc.Method(
    path="/galenashed.Entry/FindOrigin",
    kind="unary",
    request=streams.OriginQuery,
    reply=streams.OriginReply,
)
REACH_TARGET = rpc.Method(
    path="/galenashed.Entry/ReachTarget",
    kind="unary",
    request=str,
    reply=bool,
)
SPREAD = rpc.Method(
    path="/galenashed.Entry/Spread",
    kind="client_stream",
    request=list[gossip.GossipMessage],
    reply=bool,
)
SPREAD_COMPACT = rpc.Method(
    path="/galenashed.Entry/SpreadCompact",
    kind="client_stream",
    request=list[gossip.CompactMessage],
    reply=bool,
)
