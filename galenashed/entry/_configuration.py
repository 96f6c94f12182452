"""The release in force at an entry."""

import time

from galenashed import control
from galenashed.protocol import control as wire
from galenashed import web

RETRY_SECONDS = 1.0


class Configuration:
    """Follows the configuration feed and never steps back.

    ``release`` is what is in force, ``suspects`` which requests have ended
    targets.

    Parameters
    ----------
    max_stale : float
        Seconds without a sign of life from an up-to-date replica after
        which the entry counts as cut off.
    serve_when_stale : bool
        Whether a cut-off entry goes on serving from what it holds.
    """

    def __init__(self, *, max_stale: float, serve_when_stale: bool):
        self.max_stale = max_stale
        self.serve_when_stale = serve_when_stale
        self.release = wire.Release()
        self.suspects = wire.Suspects(index=0, crashes={})
        self._teams_by_key: dict[str, wire.Team] = {}
        self._budgets_by_team: dict[str, list[str]] = {}
        self._services_by_model: dict[str, list[wire.Service]] = {}
        self._caught_up = False
        self._fresh_at = 0.0

    def on_event(self, event: wire.FollowEvent) -> bool:
        """Takes an event; returns whether it brought anything newer."""
        changed = False
        if event.release is not None:
            changed = self._adopt(event.release)
        for note in event.notes:
            if note.index > self.release.index:
                merged = control.merge_release(
                    self.release, note.publish, note.index
                )
                changed = self._adopt(merged) or changed
        if event.suspects is not None:
            changed = self._adopt_suspects(event.suspects) or changed
        if event.age < self.max_stale:
            self._caught_up = True
            self._fresh_at = time.monotonic() - event.age
        return changed

    def _adopt_suspects(self, suspects: wire.Suspects) -> bool:
        if suspects.index < self.suspects.index:
            return False
        changed = suspects.index > self.suspects.index
        self.suspects = suspects
        return changed

    def note_crash(self, digest: str, reply: wire.Crashes) -> None:
        """Takes control's own word on a request, ahead of the feed."""
        if reply.index > self.suspects.index:
            crashes = {**self.suspects.crashes, digest: reply.count}
            self.suspects = wire.Suspects(index=reply.index, crashes=crashes)

    def _adopt(self, release: wire.Release) -> bool:
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
                held = self._services_by_model.setdefault(model, [])
                held.append(service)
        return True

    @property
    def cut_off(self) -> bool:
        """Whether control has been silent for longer than allowed."""
        age = time.monotonic() - self._fresh_at
        return not self._caught_up or age > self.max_stale

    @property
    def serving(self) -> bool:
        """Whether requests are served now."""
        if not self._caught_up:
            return False
        return self.serve_when_stale or not self.cut_off

    def check_serving(self) -> None:
        """Raises ApiError if requests are not served now."""
        if not self.serving:
            raise web.ApiError(
                status=503,
                code="configuration_stale",
                message="this instance is cut off from the configuration;"
                " use another one",
                retry_after=RETRY_SECONDS,
            )

    def team_by_key(self, key_hash: str) -> wire.Team | None:
        """Returns the team whose key has this hash."""
        return self._teams_by_key.get(key_hash)

    def budgets_of(self, team: str) -> list[str]:
        """Returns the team's budgets in order of their names."""
        return sorted(self._budgets_by_team.get(team, ()))

    def service_of(self, model: str) -> wire.Service | None:
        """Returns the service that serves a model."""
        if model not in self.release.models:
            return None
        services = self._services_by_model.get(model)
        return services[0] if services else None
