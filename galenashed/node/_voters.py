"""Plans which control replicas should vote, one change at a time, without I/O.

Replicas may be killed, frozen or cut off and come back; they may come back
with an empty disk, at the same address under a new name; and replacements may
appear at another address.  The number of voters stays as configured, so a
minority never shrinks the cluster to the members that it can reach.  A voter
is replaced only once another replica can take its place.

A silent voter may have kept its disk, so it is removed only after its
successor votes: with fewer voters than configured, the disks that may be lost
at once could leave no majority.  A voter that came back under a new name has
no disk that could be needed, and is removed first.
"""

import typing

from galenashed import consensus
from galenashed.protocol import control as wire

# A member counts as gone after this long without a reply: longer than an
# election and a restart, far shorter than the time that a learner takes to
# catch up.
GONE_AFTER_SECONDS = 2.0


class Candidate(typing.NamedTuple):
    """A control replica that is announced as running and not draining."""

    name: str
    address: str


class ClusterView(typing.NamedTuple):
    """What the leader knows of the replicas.

    ``silent_seconds`` maps members to the seconds since their last reply;
    ``caught_up`` names the learners that have all committed entries, and
    ``retired`` the replicas that were removed at some time.  A candidate may
    be among the latter: it has kept its disk, since one that lost its disk
    has a new name.
    """

    members: consensus.Members
    leader: str
    silent_seconds: dict[str, float]
    caught_up: frozenset[str]
    candidates: list[Candidate]
    desired_voters: int
    retired: frozenset[str] = frozenset()


def plan_change(view: ClusterView) -> wire.ChangeReplicas | None:
    """Returns the next membership change, or None if none is needed."""
    members = {member.name: member for member in view.members}
    voters = [m for m in view.members if not m.learner]
    learners = [m for m in view.members if m.learner]
    alive = {candidate.name for candidate in view.candidates}
    replaced = _find_replaced(view, members)
    others = [voter for voter in voters if voter.name != view.leader]
    wiped = [voter for voter in others if voter.name in replaced]
    silent = [
        voter
        for voter in others
        if voter.name not in replaced
        and view.silent_seconds.get(voter.name, 0.0) > GONE_AFTER_SECONDS
        and voter.name not in alive
    ]
    gone = wiped + silent
    for learner in learners:
        if learner.name in replaced:
            return _change("remove", learner.name)
    if len(voters) > view.desired_voters and gone:
        return _change("remove", gone[0].name)
    missing = view.desired_voters - (len(voters) - len(gone))
    for learner in learners:
        if learner.name in view.caught_up and missing > 0:
            if len(voters) >= view.desired_voters and wiped:
                return _change("remove", wiped[0].name)
            return _change("promote", learner.name)
    if missing > len(learners):
        for candidate in view.candidates:
            if candidate.name not in members:
                action = "add"
                if candidate.name in view.retired:
                    action = "readmit"
                return _change(action, candidate.name, candidate.address)
    for learner in learners:
        is_silent = (
            view.silent_seconds.get(learner.name, 0.0) > GONE_AFTER_SECONDS
        )
        if is_silent and learner.name not in alive:
            return _change("remove", learner.name)
    return None


def _find_replaced(view: ClusterView, members) -> set[str]:
    """Returns members whose address another replica has taken over."""
    name_by_address = {c.address: c.name for c in view.candidates}
    return {
        name
        for name, member in members.items()
        if name_by_address.get(member.address, name) != name
    }


def _change(action: str, name: str, address: str = "") -> wire.ChangeReplicas:
    return wire.ChangeReplicas(
        action=action, name=name, address=address, actor="replica keeper"
    )
