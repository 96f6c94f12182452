"""Gossip of instances and targets between entries, with a small fan-out."""

from galenashed.gossip._gossiper import Gossiper

__all__ = ["Gossiper"]
