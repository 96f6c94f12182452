"""Telling other entries of instances and targets, over few links each."""

from galenashed.gossip._spreader import Spreader

__all__ = ["Spreader"]
