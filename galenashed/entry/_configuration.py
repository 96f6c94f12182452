"""The configuration release that an entry applies."""

import time

from galenashed import control
from galenashed.protocol import control as wire
from galenashed import web

RETRY_AFTER_SECONDS = 1.0


class Configuration:
    """Applies events of the configuration feed, newer versions only.

    ``release`` is the configuration in force; ``suspects`` is the latest list
    of suspected requests from the feed, ``evacuated`` that of evacuated
    failure domains.

    Parameters
    ----------
    max_stale : float
        Seconds without an event from an up-to-date replica after which the
        configuration counts as stale.
    serve_when_stale : bool
        Whether the entry goes on serving with a stale configuration.
    """

    def __init__(self, *, max_stale: float, serve_when_stale: bool):
        self.max_stale = max_stale
        self.serve_when_stale = serve_when_stale
        self.release = wire.Release()
        self.suspects = wire.Suspects(index=0, crashes={})
        self.evacuated = wire.EvacuatedDomains(index=0, domains=[])
        self._own_reports: dict[str, wire.Crashes] = {}
        self._teams_by_key: dict[str, wire.Team] = {}
        self._budgets_by_team: dict[str, list[str]] = {}
        self._services_by_model: dict[str, list[wire.Service]] = {}
        self._caught_up = False
        self._current_as_of = 0.0

    def on_event(self, event: wire.FollowEvent) -> bool:
        """Applies an event; returns whether anything changed."""
        changed = False
        if event.release is not None:
            changed = self._apply_release(event.release)
        for note in event.notes:
            if note.index > self.release.index:
                merged = control.merge_release(
                    self.release, note.publish, note.index
                )
                changed = self._apply_release(merged) or changed
        if event.suspects is not None:
            changed = self._apply_suspects(event.suspects) or changed
        evacuated = event.evacuations
        if evacuated is not None and evacuated.index > self.evacuated.index:
            self.evacuated = evacuated
            changed = True
        if event.age < self.max_stale:
            self._caught_up = True
            self._current_as_of = time.monotonic() - event.age
        return changed

    def _apply_suspects(self, suspects: wire.Suspects) -> bool:
        if suspects.index < self.suspects.index:
            return False
        changed = suspects.index > self.suspects.index
        self.suspects = suspects
        self._own_reports = {
            digest: reply
            for digest, reply in self._own_reports.items()
            if reply.index > suspects.index
        }
        return changed

    def record_crash(self, digest: str, reply: wire.Crashes) -> None:
        """Applies a crash count from control before the feed delivers it.

        The index of ``suspects`` is left to the feed, since this entry may
        not have received crashes of other requests before ``reply.index``.
        """
        if reply.index > self.suspects.index:
            self._own_reports[digest] = reply

    def crash_count(self, digest: str) -> int:
        """Returns how many targets are known to have crashed on a request."""
        count = self.suspects.crashes.get(digest, 0)
        reply = self._own_reports.get(digest)
        return count if reply is None else max(count, reply.count)

    def _apply_release(self, release: wire.Release) -> bool:
        if release.index <= self.release.index:
            return False
        self.release = release
        self._teams_by_key = {
            team.key_hash: team for team in release.teams.values()
        }
        self._budgets_by_team = {}
        for budget, team in release.budgets.items():
            self._budgets_by_team.setdefault(team, []).append(budget)
        self._services_by_model = {}
        for service in release.services.values():
            for model in service.models:
                services_of_model = self._services_by_model.setdefault(
                    model, []
                )
                services_of_model.append(service)
        return True

    @property
    def stale(self) -> bool:
        """Whether no up-to-date event came within ``max_stale`` seconds."""
        age = time.monotonic() - self._current_as_of
        return not self._caught_up or age > self.max_stale

    @property
    def serving(self) -> bool:
        """Whether the entry serves requests now."""
        if not self._caught_up:
            return False
        return self.serve_when_stale or not self.stale

    def check_serving(self) -> None:
        """Raises ApiError if the entry does not serve requests now."""
        if not self.serving:
            raise web.ApiError(
                status=503,
                code="configuration_stale",
                message="the configuration of this instance is stale;"
                " use another instance",
                retry_after=RETRY_AFTER_SECONDS,
            )

    def team_by_key(self, key_hash: str) -> wire.Team | None:
        """Returns the team whose API key has this hash."""
        return self._teams_by_key.get(key_hash)

    def budgets_for_team(self, team: str) -> list[str]:
        """Returns the names of the team's budgets, sorted."""
        return sorted(self._budgets_by_team.get(team, ()))

    def service_for_model(self, model: str) -> wire.Service | None:
        """Returns the service that serves a model."""
        if model not in self.release.models:
            return None
        services = self._services_by_model.get(model)
        return services[0] if services else None
