"""Telling other entries of instances and targets, over few links each."""

from galenashed.gossip._gossiper import Gossiper

__all__ = ["Gossiper"]
