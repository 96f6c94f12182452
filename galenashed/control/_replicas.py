"""Membership changes of the control replicas requested by operators."""

import typing

from galenashed import consensus
from galenashed.protocol import control as wire

MAX_REPLICAS = 7


def make_members(replicas: dict[str, str]) -> consensus.Members:
    """Returns the initial membership of a cluster, all of them voters."""
    return tuple(
        consensus.Member(name, address) for name, address in replicas.items()
    )


def make_change(
    command: wire.ChangeReplicas, retired: typing.Callable[[], list[str]]
) -> typing.Callable[[consensus.Members], consensus.Members]:
    """Returns a function that applies the command to a membership.

    ``retired`` returns the names of removed replicas.  They can't be added
    again, only readmitted: a replica that has lost its disk must not take
    part under a name that it has voted under.  Both this function and the
    returned one raise MembershipError if the command is not allowed.
    """
    changes = {
        "add": _add,
        "readmit": _add,
        "promote": _promote,
        "remove": _remove,
    }
    change = changes.get(command.action)
    if change is None:
        raise consensus.MembershipError(
            f"action: {command.action!r}; allowed: {', '.join(changes)}"
        )

    def checked_change(members: consensus.Members) -> consensus.Members:
        is_retired = command.name in retired()
        if command.action == "readmit" and not is_retired:
            raise consensus.MembershipError(
                f"name: {command.name!r} was never removed; allowed:"
                " a replica that took part once"
            )
        if command.action == "add" and is_retired:
            # Votes of the removed replica may still be in transit.
            raise consensus.MembershipError(
                f"name: {command.name!r} took part once; allowed: a new name"
            )
        return change(members, command)

    return checked_change


def is_applied(
    members: consensus.Members, command: wire.ChangeReplicas
) -> bool:
    """Returns whether the membership already reflects the command."""
    existing = {member.name: member for member in members}.get(command.name)
    if command.action == "remove":
        return existing is None
    if command.action == "promote":
        return existing is not None and not existing.learner
    return existing is not None and existing.address == command.address


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
