"""Where streams began, and at which targets they may begin or go on."""

import time

from galenashed.gateway import _origins
from galenashed.gateway import _request
from galenashed.gateway import _table
from galenashed.gateway import _targets
from galenashed.protocol import gossip as gossip_wire
from galenashed.protocol import routes as wire
from galenashed.protocol import streams
from galenashed import telemetry
from galenashed import web

# A stream that broke off shortly before its time limit may be taken up for as
# long again.
MAX_STREAM_TIME_LIMITS = 2.0


class Continuations:
    """Keeps streams that are taken up to the version that began them.

    Parameters
    ----------
    targets : Targets
        Targets that this entry knows.
    origins : OriginFinder
        Remembers the version of the software that began a stream.
    log : DecisionLog
        Receives a line for each stream that is taken up.
    """

    def __init__(
        self,
        *,
        targets: _targets.Targets,
        origins: _origins.OriginFinder,
        log: telemetry.DecisionLog | telemetry.NullDecisionLog,
    ):
        self.targets = targets
        self.origins = origins
        self.log = log

    async def find_origin(
        self, request: _request.Request, route: wire.Route
    ) -> streams.StreamOrigin | None:
        """Returns where the stream began that a request continues.

        None if it continues none.  Targets don't check that they continue
        what their own version began.  So a request whose beginning is unknown
        is served only if one version alone can have begun it; otherwise
        raises ApiError.
        """
        if request.resume_after is None:
            return None
        if route.kind is not wire.RouteKind.STREAM:
            return None
        origin = None
        if request.resumed_request:
            origin = await self.origins.find(request.resumed_request)
        if origin is not None:
            origin = self.targets.correct_origin(origin)
        known = origin is not None
        if origin is None:
            origin = await self._only_possible_origin(request, route)
        self.log.write(
            "stream taken up",
            request=request.id,
            resumes=request.resumed_request,
            after=request.resume_after,
            known=known,
            service=origin.service if origin else None,
            version=origin.version if origin else None,
        )
        if origin is None:
            raise web.ApiError(
                status=503,
                code="stream_origin_unknown",
                message="the version that began the stream is not known",
            )
        if origin.service not in _table.services(route):
            raise web.ApiError(
                status=503,
                code="stream_origin_gone",
                message="the route no longer leads to the service that began"
                " the stream",
            )
        return origin

    async def _only_possible_origin(
        self, request: _request.Request, route: wire.Route
    ) -> streams.StreamOrigin | None:
        """Returns where a stream must have begun that nobody knows.

        None if targets of several versions have been there since it began,
        or if it can't be told which.
        """
        services = _table.services(route)
        if request.resumed_request:
            # The request that began the stream was sent to this one.
            services = [_table.select_service(route, request.resumed_request)]
        if len(services) != 1:
            return None
        (service,) = services
        # This process may have started, or heard of a target, only since.
        recorded = await self.origins.find_versions(
            service, _longest_stream(route)
        )
        if recorded is None:
            return None
        since = request.arrived_at - _longest_stream(route)
        versions = recorded | self.targets.versions(service, since)
        if len(versions) != 1:
            return None
        return streams.StreamOrigin(
            request=request.resumed_request or request.id,
            service=service,
            version=versions.pop(),
            keep_seconds=_longest_stream(route),
        )

    def record(
        self,
        request: _request.Request,
        route: wire.Route,
        service: str,
        target: gossip_wire.Target,
    ) -> streams.StreamOrigin:
        """Records which software writes the stream of a request."""
        origin = streams.StreamOrigin(
            request=request.resumed_request or request.id,
            service=service,
            version=target.version,
            keep_seconds=_longest_stream(route),
            target=target.name,
            started=target.started,
            begun_at=time.time(),
        )
        self.origins.record(origin)
        return origin

    def unrecorded_targets(self, service: str) -> set[str]:
        """Returns the targets at which no stream may begin yet.

        Whoever takes it up could not learn that their version was in use.
        """
        return {
            name
            for version in self.targets.versions(service, float("-inf"))
            if not self.origins.may_begin(service, version)
            for name in self.targets.of_version(service, version)
        }


def _longest_stream(route: wire.Route) -> float:
    """Returns how long ago a stream that is taken up may have begun."""
    return MAX_STREAM_TIME_LIMITS * route.time_limit
