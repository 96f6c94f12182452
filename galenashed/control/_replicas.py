"""Which control replicas take part, as operators change it."""

import typing

from galenashed import consensus
from galenashed.protocol import control as wire

MAX_REPLICAS = 7


def make_members(replicas: dict[str, str]) -> consensus.Members:
    """Returns the first membership of a cluster, every one a voter."""
    return tuple(
        consensus.Member(name, address) for name, address in replicas.items()
    )


def change_of(
    command: wire.ChangeReplicas, retired: typing.Callable[[], list[str]]
) -> typing.Callable[[consensus.Members], consensus.Members]:
    """Returns what the command does to a membership.

    ``retired`` returns the names that took part once.  Raises
    MembershipError, as the function returned does.
    """
    changes = {"add": _add, "promote": _promote, "remove": _remove}
    change = changes.get(command.action)
    if change is None:
        raise consensus.MembershipError(
            f"action: {command.action!r}; allowed: {', '.join(changes)}"
        )

    def checked(members: consensus.Members) -> consensus.Members:
        if command.name in retired():
            # Its old votes may still be under way.
            raise consensus.MembershipError(
                f"name: {command.name!r} took part once; allowed: a new name"
            )
        return change(members, command)

    return checked


def is_done(members: consensus.Members, command: wire.ChangeReplicas) -> bool:
    """Whether a membership is as the command wants it."""
    held = {member.name: member for member in members}.get(command.name)
    if command.action == "remove":
        return held is None
    if command.action == "promote":
        return held is not None and not held.learner
    return held is not None and held.address == command.address


def _add(members: consensus.Members, command: wire.ChangeReplicas):
    if len(members) >= MAX_REPLICAS:
        raise consensus.MembershipError(
            f"{len(members)} replicas take part; allowed: {MAX_REPLICAS}"
        )
    return consensus.add_learner(members, command.name, command.address)


def _promote(members: consensus.Members, command: wire.ChangeReplicas):
    return consensus.promote(members, command.name)


def _remove(members: consensus.Members, command: wire.ChangeReplicas):
    return consensus.remove(members, command.name)
