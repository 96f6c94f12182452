"""Which control replicas should vote: a pure plan, one change at a time.

Load pattern: replicas that are killed, frozen or cut off and come back, ones
that come back with an empty disk at the same address under a new name, and
successors that appear at another address.  The number of voters stays what
it was founded with, so no minority ever shrinks the cluster to its own view;
a replica is replaced only once another is there to take its place.
"""

import typing

from galenashed import consensus
from galenashed.protocol import control as wire

# A voter counts as gone after this long without a word from it.  Longer
# than an election and a restart, far below the time to catch up.
GONE_SECONDS = 2.0


class Candidate(typing.NamedTuple):
    """A control replica that is running and not gone, by its own word."""

    name: str
    address: str


class View(typing.NamedTuple):
    """What a leader knows.

    ``silent`` maps members to the seconds since they were last heard;
    ``caught_up`` names the learners that hold all that is committed.
    """

    members: consensus.Members
    leader: str
    silent: dict[str, float]
    caught_up: frozenset[str]
    candidates: list[Candidate]
    wanted: int


def plan(view: View) -> wire.ChangeReplicas | None:
    """Returns the next change of the membership; None if all is well."""
    members = {member.name: member for member in view.members}
    voters = [m for m in view.members if not m.learner]
    learners = [m for m in view.members if m.learner]
    alive = {candidate.name for candidate in view.candidates}
    replaced = _replaced(view, members)
    gone = [
        voter
        for voter in voters
        if voter.name != view.leader
        and (
            voter.name in replaced
            or (
                view.silent.get(voter.name, 0.0) > GONE_SECONDS
                and voter.name not in alive
            )
        )
    ]
    for learner in learners:
        if learner.name in replaced:
            return _change("remove", learner.name)
    missing = view.wanted - (len(voters) - len(gone))
    for learner in learners:
        if learner.name in view.caught_up and missing > 0:
            if len(voters) >= view.wanted and gone:
                return _change("remove", gone[0].name)
            return _change("promote", learner.name)
    surplus = len(voters) - view.wanted
    if surplus > 0 and gone:
        return _change("remove", gone[0].name)
    if missing > len(learners):
        for candidate in view.candidates:
            if candidate.name not in members:
                return _change("add", candidate.name, candidate.address)
    for learner in learners:
        idle = view.silent.get(learner.name, 0.0) > GONE_SECONDS
        if idle and learner.name not in alive:
            return _change("remove", learner.name)
    return None


def _replaced(view: View, members) -> set[str]:
    """Returns members whose address another replica answers at by now."""
    at_address = {c.address: c.name for c in view.candidates}
    return {
        name
        for name, member in members.items()
        if at_address.get(member.address, name) != name
    }


def _change(action: str, name: str, address: str = "") -> wire.ChangeReplicas:
    return wire.ChangeReplicas(
        action=action, name=name, address=address, actor="replica keeper"
    )
