"""Maps the identities of announcements to names, and back."""

from galenashed.protocol import gossip as wire
from galenashed.protocol import heartbeats

# How long an announcement that was refused as outdated is not asked for.
REFUSED_SECONDS = 10.0
# How long one entry has to answer before another one is asked.
ASKED_SECONDS = 0.5
MAX_UNWANTED = 4096


class Identities:
    """The identities of the announcements that an entry knows.

    Parameters
    ----------
    own_name : str
        Name of this entry, whose announcements are not in its directory.
    """

    __slots__ = (
        "_instance_names",
        "_target_names",
        "_unwanted_until",
        "instances",
        "own",
        "own_name",
        "targets",
    )

    def __init__(self, *, own_name: str):
        self.own_name = own_name
        # Identity of this entry's newest announcement.
        self.own = 0
        # Identities by name.
        self.instances: dict[str, int] = {}
        self.targets: dict[str, int] = {}
        self._instance_names: dict[int, str] = {}
        self._target_names: dict[int, str] = {}
        self._unwanted_until: dict[int, float] = {}

    def set_own(self, own: wire.Instance) -> bool:
        """Applies this entry's announcement; returns whether it changed."""
        identity = heartbeats.identify_instance(own)
        changed = identity != self.own
        self.own = identity
        return changed

    def add_instance(self, instance: wire.Instance) -> bool:
        """Applies an announcement; returns whether the identity changed."""
        return _replace(
            self.instances,
            self._instance_names,
            instance.name,
            heartbeats.identify_instance(instance),
        )

    def add_target(self, target: wire.Target) -> bool:
        """Applies an announcement; returns whether the identity changed."""
        return _replace(
            self.targets,
            self._target_names,
            target.name,
            heartbeats.identify_target(target),
        )

    def instance_name(self, identity: int) -> str | None:
        """Returns which instance has an identity, None if it is unknown."""
        return self._instance_names.get(identity)

    def target_name(self, identity: int) -> str | None:
        """Returns which target has an identity, None if it is unknown."""
        return self._target_names.get(identity)

    def is_known(self, identity: int) -> bool:
        """Whether an instance or target has an identity."""
        return (
            identity in self._instance_names or identity in self._target_names
        )

    def refuse(self, identity: int, now: float) -> None:
        """Notes that the announcement of an identity was not taken over."""
        self._ignore(identity, now + REFUSED_SECONDS)

    def ask(self, identity: int, now: float) -> None:
        """Notes that an entry is asked for an announcement."""
        self._ignore(identity, now + ASKED_SECONDS)

    def _ignore(self, identity: int, until: float) -> None:
        if len(self._unwanted_until) >= MAX_UNWANTED:
            self._unwanted_until.clear()
        self._unwanted_until[identity] = until

    def is_wanted(self, identity: int, now: float) -> bool:
        """Whether to ask for the announcement of an unknown identity."""
        return identity != self.own and now >= self._unwanted_until.get(
            identity, 0.0
        )

    def retain(self, instances: set[str], targets: set[str]) -> None:
        """Removes all names that are in neither set."""
        _retain(self.instances, self._instance_names, instances)
        _retain(self.targets, self._target_names, targets)


def _replace(
    identities: dict[str, int],
    names: dict[int, str],
    name: str,
    identity: int,
) -> bool:
    previous = identities.get(name)
    if previous == identity:
        return False
    if previous is not None and names.get(previous) == name:
        del names[previous]
    identities[name] = identity
    names[identity] = name
    return True


def _retain(
    identities: dict[str, int], names: dict[int, str], kept: set[str]
) -> None:
    for name in identities.keys() - kept:
        identity = identities.pop(name)
        if names.get(identity) == name:
            del names[identity]
