"""Gossip of instances and targets between entries, with a small fan-out."""

from galenashed.gossip._gossiper import Gossiper
from galenashed.gossip._reach import ReachExchange

__all__ = ["Gossiper", "ReachExchange"]
