"""Evacuated failure domains in the replicated state.

Addresses the load of a whole failure domain that fails or is about to: its
targets get no requests from the order until it is revoked.
"""

import typing

from galenashed.control import _state
from galenashed.protocol import control as wire

MAX_DOMAIN_LENGTH = 200


def apply(
    state: _state.ControlState, order: wire.EvacuationOrder, index: int
) -> bool:
    """Applies an order; returns whether it changed anything.

    An order that was sent again changes nothing.  The last committed order of
    a domain holds, whatever the order in which they were sent.
    """
    if order.active == (order.domain in state.evacuations):
        return False
    if order.active:
        state.evacuations[order.domain] = _state.EvacuationRecord(
            index=index, at=state.now, actor=order.actor
        )
    else:
        del state.evacuations[order.domain]
    state.evacuations_index = index
    return True


def list_domains(state: _state.ControlState) -> wire.EvacuatedDomains:
    """Returns what entries must know."""
    return wire.EvacuatedDomains(
        index=state.evacuations_index, domains=sorted(state.evacuations)
    )


def list_records(state: _state.ControlState) -> list[wire.Evacuation]:
    """Returns the orders in force, by domain."""
    return [
        wire.Evacuation(
            domain=domain, index=record.index, at=record.at, actor=record.actor
        )
        for domain, record in sorted(state.evacuations.items())
    ]


def find_error(order: wire.EvacuationOrder) -> str | None:
    """Returns why an operator's order is invalid, None if it is valid."""
    if 0 < len(order.domain) <= MAX_DOMAIN_LENGTH:
        return None
    return (
        f"domain: {order.domain[:MAX_DOMAIN_LENGTH]!r};"
        f" allowed: 1 to {MAX_DOMAIN_LENGTH} characters"
    )


def find_old_build(
    statuses: typing.Mapping[str, wire.ReplicaStatus | None],
) -> str | None:
    """Returns a replica or entry that does not know evacuations, if any.

    Replicas that do not answer are left out: an order must be possible after
    the loss of a minority.
    """
    for name, status in statuses.items():
        if status is None:
            continue
        if not status.understands_evacuations:
            return f"control replica {name!r}"
        for follower in status.followers:
            if follower.connected and not follower.understands_evacuations:
                return f"entry {follower.name!r}"
    return None
