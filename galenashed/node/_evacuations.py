"""Orders to evacuate failure domains, as an instance sends and obeys them.

Addresses the load of a whole failure domain that fails or is about to: its
targets get no requests from the order until it is revoked.
"""

import time
import typing

from galenashed import control
from galenashed import gateway
from galenashed import membership
from galenashed.protocol import control as wire
from galenashed.protocol import gossip as gossip_wire
from galenashed import telemetry

# Operators repeat an order for 5 s, at any instance.
ORDER_TIMEOUT_SECONDS = 2.0


class UnknownDomainError(Exception):
    """The domain is not known; ``known`` lists those that are."""

    def __init__(self, domain: str, known: list[str]):
        super().__init__(domain)
        self.domain = domain
        self.known = known


class OldBuildError(control.ControlUnavailableError):
    """An instance may run a build that would lose orders.

    Unlike with other errors of control, the order was not sent.
    """


class Evacuations:
    """The evacuated failure domains, and orders to change them.

    Parameters
    ----------
    client : ControlClient
        Sends the orders to the control replicas.
    targets : Targets
        Gets no requests to evacuated domains from now on.
    directory : Directory
        Lists the other instances.
    domains : collection of str
        The failure domains that the settings name, with that of this
        instance.
    is_warming_up : callable
        Returns whether this instance may not know all others yet.
    log : DecisionLog
        Receives a line for each change and each order.
    metrics : Metrics
        Counts the orders.
    """

    def __init__(
        self,
        *,
        client: control.ControlClient,
        targets: gateway.Targets,
        directory: membership.Directory,
        domains: typing.Collection[str],
        is_warming_up: typing.Callable[[], bool],
        log: telemetry.DecisionLog | telemetry.NullDecisionLog,
        metrics: telemetry.Metrics,
    ):
        self.client = client
        self.targets = targets
        self.directory = directory
        self.domains = domains
        self.is_warming_up = is_warming_up
        self.log = log
        self.metrics = metrics
        # The evacuated domains that this instance obeys, and their log index.
        self.index = 0
        self._evacuated: set[str] = set()

    def apply(self, event: wire.FollowEvent) -> bool:
        """Applies the evacuated domains of an event; returns if it has any.

        An older list, as of a replica that lags behind, is ignored.
        """
        evacuated = event.evacuations
        if evacuated is None or evacuated.index <= self.index:
            return False
        self.index = evacuated.index
        now = time.monotonic()
        self.targets.set_evacuated(evacuated.domains)
        for domain in self._evacuated.difference(evacuated.domains):
            # Targets may turn cold while they get no requests.
            self.targets.set_presumed_cold(domain, now)
        self._evacuated = set(evacuated.domains)
        self.metrics.count("evacuations.changes")
        self.log.write(
            "evacuations in force",
            index=evacuated.index,
            domains=evacuated.domains,
            age=round(event.age, 3),
        )
        return True

    def known_domains(self) -> list[str]:
        """Returns the failure domains that an order may name."""
        announced = {
            instance.failure_domain for instance in self.directory.all()
        }
        return sorted(announced.union(self.domains))

    async def order(self, domain: str, actor: str, *, active: bool) -> None:
        """Returns once an order is committed, now or when sent before.

        Raises UnknownDomainError, or ControlUnavailableError if the outcome
        is unknown, or its subclass OldBuildError if it was not sent.
        """
        known = self.known_domains()
        if domain not in known:
            raise UnknownDomainError(domain, known)
        self.metrics.count("evacuations.orders")
        order = wire.EvacuationOrder(domain=domain, active=active, actor=actor)
        result = "unavailable"
        try:
            self._check_builds()
            reply = await self.client.order_evacuation(
                order, timeout=ORDER_TIMEOUT_SECONDS
            )
            if not isinstance(reply, wire.Done):
                raise control.ControlUnavailableError(f"unexpected {reply}")
            result = "committed"
        except OldBuildError as exc:
            result = str(exc)
            raise
        finally:
            self.log.write(
                "evacuation ordered",
                domain=domain,
                active=active,
                actor=actor,
                result=result,
            )

    def _check_builds(self) -> None:
        """Raises OldBuildError if an order might be lost.

        A replica of a build from before evacuations would drop the order
        with its next snapshot.  Those that were not heard for a while, but
        are remembered, may come back.
        """
        if self.is_warming_up():
            raise OldBuildError(
                "this instance has just started and does not know the builds"
                " of all others yet; use another one"
            )
        now = time.monotonic()
        alive = {instance.name for instance in self.directory.alive(now)}
        old = find_old_build(self.directory.all(), alive)
        if old is not None:
            raise OldBuildError(
                f"instance {old!r} runs a build that does not know evacuations"
            )


def find_old_build(
    instances: typing.Iterable[gossip_wire.Instance],
    alive: typing.Container[str],
) -> str | None:
    """Returns the first instance with an old build, by name, if any."""
    old = [
        instance.name
        for instance in instances
        if not instance.understands_evacuations
        and (instance.name in alive or instance.replica)
    ]
    return min(old, default=None)
