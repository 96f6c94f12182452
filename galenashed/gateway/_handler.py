"""Routing a request to a target, with retries and time limits."""

import asyncio
import random
import time
import typing

from galenashed import engines
from galenashed.gateway import _answer_states
from galenashed.gateway import _attempts
from galenashed.gateway import _context
from galenashed.gateway import _continuations
from galenashed.gateway import _forwarding
from galenashed.gateway import _hedges
from galenashed.gateway import _origins
from galenashed.gateway import _prepaid
from galenashed.gateway import _refusals
from galenashed.gateway import _regions
from galenashed.gateway import _relay
from galenashed.gateway import _request
from galenashed.gateway import _stop
from galenashed.gateway import _table
from galenashed.gateway import _target
from galenashed.gateway import _targets
from galenashed.protocol import gossip as gossip_wire
from galenashed.protocol import routes as wire
from galenashed import quarantine
from galenashed import routing
from galenashed import telemetry
from galenashed import web

MIN_RETRY_AFTER_SECONDS = 0.05
# The time over which requests a second are averaged.
RATE_SECONDS = 5.0
CLIENT_ERROR = 400
# A process that ends closes its sockets one after the other.
CRASH_PROBE_SECONDS = 0.05


class Gateway:
    """Serves the requests of one entry by the routing table.

    Parameters
    ----------
    targets : Targets
        Targets that this entry knows, with their load.
    prepaid : PrepaidReserver
        Reserves tokens of prepaid teams.
    pool : ConnectionPool
        Provides connections to targets.
    codec : TargetCodec
        Encodes requests to targets and decodes their response headers.
    crash_quarantine : Quarantine
        Refuses requests under which targets crash.
    paths : Paths
        Tells which services this entry can't reach.
    peers : PeerFinder
        Finds other entries for requests to services out of reach.
    origins : OriginFinder
        Remembers the version of the software that began a stream.
    retries : RetryBudget
        Bounds the retries.
    log : DecisionLog
        Receives a line for each decision about a request.
    metrics : Metrics
        Receives counts and durations.
    rng : random.Random
        Samples the targets to compare and breaks ties between them.
    """

    def __init__(
        self,
        *,
        targets: _targets.Targets,
        prepaid: _prepaid.PrepaidReserver,
        pool: engines.ConnectionPool,
        codec: _request.TargetCodec,
        crash_quarantine: quarantine.Quarantine,
        paths: engines.Paths,
        peers: _forwarding.PeerFinder,
        origins: _origins.OriginFinder,
        retries: routing.RetryBudget,
        log: telemetry.DecisionLog | telemetry.NullDecisionLog,
        metrics: telemetry.Metrics,
        rng: random.Random,
    ):
        self.targets = targets
        self.prepaid = prepaid
        self.pool = pool
        self.codec = codec
        self.quarantine = crash_quarantine
        self.paths = paths
        self.peers = peers
        self._forwarder = _forwarding.PeerForwarder(
            paths=paths, peers=peers, codec=codec, log=log, metrics=metrics
        )
        self.origins = origins
        self._continuations = _continuations.Continuations(
            targets=targets, origins=origins, log=log
        )
        self.retries = retries
        self.retry_times = routing.RetryTimes(rng=rng)
        self._answer_states = _answer_states.AnswerStates()
        self.hedges = _hedges.Hedges(gateway=self)
        self.log = log
        self.metrics = metrics
        self.rng = rng
        self.route_index: _table.RouteIndex | None = None
        self.in_flight = 0
        self.request_rate = telemetry.RateMeter(seconds=RATE_SECONDS)
        # Called with the announcement of a target that says it leaves.
        self.on_leaving: typing.Callable[[gossip_wire.Target], object] = (
            lambda target: None
        )
        self._stop: _stop.PlannedStop | None = None
        self._timers: set[asyncio.Timeout] = set()
        # When the requests that targets have now were sent, oldest first.
        self._sent_at: dict[engines.Connection, float] = {}

    async def close(self) -> None:
        """Closes the connections to other entries."""
        await self._forwarder.close()

    def waiting_since(self) -> float | None:
        """Returns when the oldest request at a target was sent there."""
        return next(iter(self._sent_at.values()), None)

    def begin_drain(self, stop: _stop.PlannedStop) -> None:
        """Refuses what can't be served before the stop; cuts the rest then.

        A request that is cut gets an error response, or an incomplete one if
        the response has started.  Its tokens are billed.
        """
        self._stop = stop
        remaining = stop.stop_at - time.monotonic()
        loop_deadline = asyncio.get_running_loop().time() + remaining
        for timer in self._timers:
            when = timer.when()
            if when is not None and when > loop_deadline:
                timer.reschedule(loop_deadline)

    def _cuts_before_deadline(self, context: _context.RequestContext) -> bool:
        """Whether the stop ends a request before its time limit does."""
        return self._stop is not None and self._stop.stop_at < context.deadline

    def _time_left(self, context: _context.RequestContext) -> float:
        """Returns the seconds until the time limit or the stop."""
        if self._stop is not None and self._cuts_before_deadline(context):
            return self._stop.stop_at - time.monotonic()
        return context.time_left()

    def apply_routing_table(self, table: wire.RoutingTable) -> bool:
        """Switches to a newer table; returns whether it was newer."""
        if (
            self.route_index is not None
            and table.version <= self.route_index.version
        ):
            return False
        self.route_index = _table.RouteIndex(table=table)
        self.targets.apply_services(table.services)
        return True

    def admit(
        self, host: str, path: str, key: str
    ) -> tuple[wire.Route, wire.RoutedTeam | None]:
        """Returns the route and the team of a request.

        Raises ApiError if there is no configuration yet, no route matches or
        the API key is missing or unknown.
        """
        if self.route_index is None or not self.route_index.version:
            raise web.ApiError(
                status=503,
                code="no_configuration",
                message="this instance has no routes yet; use another one",
                retry_after=_refusals.RETRY_AFTER_SECONDS,
            )
        route = self.route_index.match(host, path)
        if route is None:
            raise _refusals.no_route_error(host, path)
        team = self.route_index.team_for_key(key) if key else None
        if team is None and self.route_index.table.teams and not route.keyless:
            raise web.ApiError(
                status=401,
                code="invalid_api_key",
                message="missing or unknown API key",
            )
        return route, team

    async def handle(
        self,
        request: _request.Request,
        route: wire.Route,
        team: wire.RoutedTeam | None,
        writer: _request.ResponseWriter,
    ) -> None:
        """Serves an admitted request.

        Raises ApiError if the request fails before a response has started.
        A response that has started and cannot be completed is aborted.
        """
        self.in_flight += 1
        self.request_rate.add(time.monotonic())
        try:
            await self._handle(request, route, team, writer)
        except web.ApiError as exc:
            self.metrics.count(f"gateway.refused.{exc.code}")
            self.log.write(
                "refused",
                request=request.id,
                route=route.name,
                status=exc.status,
                code=exc.code,
                run=exc.execution_status.value,
                reason=exc.message,
                after=_context.elapsed_seconds(request),
            )
            raise
        except asyncio.CancelledError:
            self.metrics.count("gateway.caller_left")
            self.log.write(
                "caller left",
                request=request.id,
                after=_context.elapsed_seconds(request),
            )
            raise
        finally:
            self.in_flight -= 1

    async def _handle(self, request, route, team, writer) -> None:
        if self._stop is not None and not self._stop.may_accept(
            _context.find_deadline(request, route), time.monotonic()
        ):
            raise _refusals.stopping_error()
        service = _table.select_service(
            route, request.resumed_request or request.id
        )
        if self._forwarder.is_needed(request, service):
            await self._forward_to_peer(request, route, team, service, writer)
        else:
            await self._serve(request, route, team, writer)

    async def _forward_to_peer(
        self, request, route, team, service, writer
    ) -> int:
        """Has another entry serve a request; see :class:`PeerForwarder`."""
        deadline = _context.find_deadline(request, route)
        if self._stop is not None:
            deadline = min(deadline, self._stop.stop_at)
        regions = _regions.find_home_regions(route, team)
        return await self._forwarder.forward(
            request, route, service, writer, deadline, regions
        )

    async def _serve(self, request, route, team, writer) -> None:
        """Serves a request by the targets that this entry reaches.

        Another entry serves it if the paths to them are being lost.
        """
        assert self.route_index is not None
        origin = await self._continuations.find_origin(request, route)
        suspect = self.quarantine.find_quarantined(request)
        in_trial = False
        if suspect is not None:
            in_trial = await self.quarantine.begin_trial(request)
            if not in_trial:
                raise quarantine.make_error(suspect, executed=False)
        if origin is None:
            service = _table.select_service(route, request.id)
        else:
            service = origin.service
        routed_service = self.route_index.service(service)
        engine = routed_service.engine if routed_service is not None else None
        reservation = await self.prepaid.open(request, team, route)
        context = _context.RequestContext(
            request=request,
            route=route,
            team=team,
            service=service,
            tokens_per_event=engine.tokens_per_event if engine else 1,
            reservation=reservation,
            in_trial=in_trial,
            version=origin.version if origin is not None else None,
        )
        self.retries.on_request()
        relay = _relay.Relay(context=context, writer=writer)
        lost_path = False
        try:
            async with asyncio.timeout(self._time_left(context)) as timer:
                self._timers.add(timer)
                try:
                    await self._run_attempts(context, relay)
                except web.ApiError:
                    lost_path = await self._lost_path(context, relay)
                    if not lost_path:
                        raise
                finally:
                    self._timers.discard(timer)
            if lost_path:
                status = await self._forward_to_peer(
                    request, route, team, service, writer
                )
                if 0 < status < CLIENT_ERROR:
                    # The other entry bills the request.
                    reservation.may_have_run = False
        except TimeoutError:
            stopped = self._cuts_before_deadline(context)
            if relay.started:
                self.log.write(
                    "cut at the stop" if stopped else "cut at the time limit",
                    request=request.id,
                    events=relay.event_count,
                    after=_context.elapsed_seconds(request),
                )
                relay.abort()
                return
            if stopped:
                raise _refusals.stopped_error(
                    may_have_run=reservation.may_have_run
                ) from None
            raise _refusals.timeout_error(
                may_have_run=reservation.may_have_run
            ) from None
        finally:
            reservation.event_count = relay.event_count
            reservation.close(request, context.tokens_per_event)

    async def _lost_path(
        self, context: _context.RequestContext, relay: _relay.Relay
    ) -> bool:
        """Whether another entry may serve a request that failed here.

        The request must not have run, or may be repeated, and must have
        failed because no target can be reached.
        """
        attempts = context.attempts
        repeatable = (
            context.route.repeatable
            and attempts.runs < context.route.max_targets
        )
        if relay.started or context.request.forwarded:
            return False
        if attempts.runs and not repeatable:
            return False
        if attempts.unsent:
            await self.paths.check()
        if context.service not in self.paths.lost:
            return False
        return not attempts.runs or self.retries.try_acquire()

    def _record_origin(
        self, context: _context.RequestContext, target: gossip_wire.Target
    ) -> None:
        """Records which software writes the stream of a request."""
        context.version = target.version
        if context.route.resumable:
            context.begun = self._continuations.record(
                context.request, context.route, context.service, target
            )

    async def _run_attempts(
        self, context: _context.RequestContext, relay: _relay.Relay
    ) -> None:
        """Tries targets until one answers or no retry is allowed."""
        while True:
            if context.attempted_targets and self._forwarder.is_needed(
                context.request, context.service
            ):
                if not await relay.finish_after_failure():
                    raise self._attempts_failed_error(context)
                return
            suspect = self.quarantine.find_quarantined(context.request)
            starts_trial = context.in_trial and not context.attempted_targets
            if suspect is not None and not starts_trial:
                if not await relay.finish_after_failure():
                    raise quarantine.make_error(
                        suspect, executed=bool(context.attempts.runs)
                    )
                return
            target = self.choose_target(context)
            if target is None:
                if not await relay.finish_after_failure():
                    raise self._attempts_failed_error(context)
                return
            outcome = await self.hedges.send(context, target, relay)
            if outcome is None:
                if context.begun is not None:
                    self.origins.end(context.begun.request)
                self._record_answer(context, relay)
                return
            context.attempts.record(outcome)
            self.log.write(
                "sending ended",
                request=context.request.id,
                target=target.name,
                ending=outcome.value,
                reason=context.last_error,
                framing=relay.framing,
                events=relay.attempt_event_count,
                unfinished=relay.unfinished_bytes,
                parts=context.request.part_ids,
                sent=len(context.attempted_targets),
                left=round(context.time_left(), 3),
            )
            allowed = (
                relay.can_continue
                and not context.crashed_target
                and _attempts.may_retry(
                    context.route,
                    context.attempts,
                    outcome,
                    context.time_left(),
                )
            )
            # An attempt without a connection puts no load on a target, so
            # repeating it does not use the retry budget.
            not_sent = outcome is _attempts.AttemptOutcome.NOT_SENT
            if allowed and (not_sent or self.retries.try_acquire()):
                self.metrics.count("gateway.sent_again")
                continue
            if await relay.finish_after_failure():
                return
            raise self._attempts_failed_error(context)

    def _record_answer(
        self, context: _context.RequestContext, relay: _relay.Relay
    ) -> None:
        now = time.monotonic()
        self.retry_times.on_answer(context.service, now - context.sent_at, now)
        self.metrics.duration(
            f"gateway.{context.route.kind.value}",
            _context.elapsed_seconds(context.request),
        )
        first = None
        if relay.first_event_at is not None:
            first = round(relay.first_event_at - context.request.arrived_at, 4)
            self.metrics.duration("gateway.first_event", first)
        self.log.write(
            "answered",
            request=context.request.id,
            target=context.attempted_targets[-1],
            status=relay.status,
            first_event=first,
            events=relay.event_count,
            framing=relay.framing,
            unfinished=relay.unfinished_bytes,
            reserved=context.reservation.tokens,
            after=_context.elapsed_seconds(context.request),
        )

    def choose_target(
        self, context: _context.RequestContext
    ) -> _target.TargetState | None:
        now = time.monotonic()
        unsuitable: set[str] = set()
        if context.begun is not None:
            begun = self.targets.correct_origin(context.begun)
            if begun is None:
                context.last_error = "the version of the stream is not known"
                return None
            context.version = begun.version
        if context.version is not None:
            unsuitable = self.targets.other_versions(
                context.service, context.version
            )
        elif context.route.resumable:
            unsuitable = self._continuations.unrecorded_targets(
                context.service
            )
            if unsuitable:
                context.last_error = (
                    "targets of versions that are not on record are left out"
                )
        unsuitable = unsuitable | self.targets.outside(
            context.service, context.home_regions
        )
        target = self.targets.choose(
            context.service,
            context.request.prompt,
            unsuitable.union(context.attempted_targets),
            now,
            self.rng,
            tokens=context.request.max_tokens,
        )
        if target is None and not context.attempts.runs:
            self._explain_refusal(context, unsuitable, now)
        return target

    def _explain_refusal(
        self,
        context: _context.RequestContext,
        unsuitable: set[str],
        now: float,
    ) -> None:
        """Sets why no target takes a request, and when one may."""
        wait = self.targets.seconds_until_allowed(
            context.service, unsuitable, now
        )
        if wait is not None:
            context.last_error = (
                self.targets.cold.explain_refusal(context.service, wait, now)
                or "the targets take no requests for a time"
            )
            # Spreads the callers that come back.
            context.retry_after = max(
                MIN_RETRY_AFTER_SECONDS, wait * (1.0 + self.rng.random())
            )
        elif context.version is not None and not self.targets.has_ready(
            context.service, context.version
        ):
            context.last_error = (
                f"service {context.service!r} has no target of the version"
                f" {context.version!r} that began the stream"
            )
            # Targets are replaced by newer versions.
            context.may_return = False
        elif self.targets.is_brittle(context.service, now):
            context.last_error = "brittle targets have no room"
        elif not context.last_error:
            context.last_error = self.targets.explain_absence(context.service)
            if context.home_regions is not None:
                context.last_error = context.explain_no_target()
                self.metrics.count("regions.refused")

    async def send(
        self,
        context: _context.RequestContext,
        target: _target.TargetState,
        relay: _relay.Relay,
    ) -> _attempts.AttemptOutcome | None:
        """Sends the request to a target.

        Returns None once the response is complete, else why there was none.
        """
        context.attempted_targets.append(target.name)
        relay.begin_attempt()
        now = context.sent_at = time.monotonic()
        self.log.write(
            "sent",
            request=context.request.id,
            route=context.route.name,
            team=context.team.name if context.team else None,
            target=target.name,
            target_version=target.announced.version,
            continues_after=relay.last_event_id
            or context.request.resume_after,
            running=target.running,
            waiting=target.waiting,
            slowness=round(target.slowness, 2),
            report_age=target.report_age(now),
            unread=target.pending_prefill_tokens,
            missing=target.uncached_tokens(context.request.prompt),
            sending=len(context.attempted_targets),
            version=self.route_index.version if self.route_index else 0,
            after=_context.elapsed_seconds(context.request),
        )
        self.targets.on_request_start(
            target,
            context.request.id,
            context.request.prompt,
            now,
            tokens=context.request.max_tokens,
        )
        failed = True
        known = self.quarantine.index
        suspected = self.quarantine.is_suspected(context.request)
        try:
            outcome = await relay.run(self._exchange(context, target, relay))
            if outcome is _attempts.AttemptOutcome.LOST:
                await self._check_crashed(
                    context, target, relay, known, suspected=suspected
                )
            failed = outcome in (
                _attempts.AttemptOutcome.NOT_SENT,
                _attempts.AttemptOutcome.LOST,
                _attempts.AttemptOutcome.FAILED,
            )
            return outcome
        except BaseException:
            # The caller disconnected or the time limit passed, which says
            # nothing about the health of the target.
            failed = False
            raise
        finally:
            self.targets.on_request_end(
                target,
                context.request.id,
                failed=failed,
                now=time.monotonic(),
                tokens=context.request.max_tokens,
            )

    async def _check_crashed(
        self,
        context: _context.RequestContext,
        target: _target.TargetState,
        relay: _relay.Relay,
        known: int,
        *,
        suspected: bool,
    ) -> None:
        """Reports the request if the target crashed before its answer ended.

        ``known`` is the index of the quarantine when the request was sent,
        ``suspected`` tells whether other targets had crashed under it then.
        """
        announced = target.announced
        events = relay.attempt_event_count
        if events:
            is_down = await self._is_down(announced)
        else:
            is_down = await self.pool.refuses_connections(announced.address)
        if not is_down:
            return
        self.targets.on_refused(target, time.monotonic())
        if not events:
            self.targets.eject(target, time.monotonic())
        await self.paths.check(max_age=0.0)
        if self.paths.isolated and await self.peers.any_reaches(
            announced.address
        ):
            # A partition of this entry from all targets looks like a crash
            # of each.
            self.log.write(
                "target out of reach",
                request=context.request.id,
                target=target.name,
            )
            return
        has_head = relay.framing is not None
        answer = self._answer_states.find(
            context.service,
            has_head=has_head,
            events=events,
            unfinished=relay.unfinished_bytes,
        )
        if not events:
            # A stream with events is continued, as most are only open on a
            # target that crashes.
            context.crashed_target = has_head or suspected
        self.metrics.count("gateway.target_crashed")
        self.log.write(
            "target crashed",
            request=context.request.id,
            target=target.name,
            answer=answer.value,
            events=events,
            parts=context.request.part_ids,
            digest=context.request.digest,
            known=known,
        )
        await self.quarantine.report_crash(
            context.request,
            target.incarnation_name,
            answer=answer,
            known=known,
        )

    async def _exchange(self, context, target, relay):
        announced = target.announced
        try:
            conn = await self.pool.acquire(
                announced.address, new_connection=not context.route.repeatable
            )
        except engines.NotSentError as exc:
            context.last_error = str(exc)
            self.targets.eject(target, time.monotonic())
            if isinstance(exc.__cause__, ConnectionRefusedError):
                self.targets.on_refused(target, time.monotonic())
            self.paths.on_connect_failed(target.name)
            return _attempts.AttemptOutcome.NOT_SENT
        is_new = not conn.used
        if is_new:
            self.paths.on_connected()
        if self.targets.is_evacuated(target):
            self.pool.release(conn)
            self.metrics.count("gateway.evacuated")
            context.last_error = "the failure domain of the target"
            context.last_error += f" was evacuated: {announced.failure_domain}"
            return _attempts.AttemptOutcome.REJECTED
        self._sent_at[conn] = time.monotonic()
        try:
            conn.send(
                self.codec.encode(
                    _request.Attempt(
                        request=context.request,
                        target=announced,
                        team=context.team,
                        priority=context.priority,
                        time_left=context.time_left(),
                        resume_after=relay.last_event_id
                        or context.request.resume_after,
                    )
                ),
                no_response_body=context.request.method == "HEAD",
            )
            head = await conn.head()
            answer = self.codec.decode(head)
            self._check_belongs(answer, context.request, conn, is_new=is_new)
            return await self._receive_answer(
                context, target, conn, relay, head, answer
            )
        except engines.TargetLostError as exc:
            context.last_error = str(exc)
            context.reservation.may_have_run = True
            return _attempts.AttemptOutcome.LOST
        except BaseException:
            # The target may have started to execute the request.
            context.reservation.may_have_run = True
            raise
        finally:
            del self._sent_at[conn]
            self.pool.release(conn)

    def _check_belongs(
        self,
        answer: _request.TargetResponse,
        request: _request.Request,
        conn: engines.Connection,
        *,
        is_new: bool,
    ) -> None:
        """Raises TargetLostError if a response is not that to a request.

        On a connection that was used before, a response without an id may
        have been left by another request.
        """
        if answer.request_id == request.id:
            return
        if answer.request_id is not None:
            raise engines.TargetLostError(
                f"{conn.address}: response to another request"
            )
        if self.codec.returns_ids and not is_new:
            raise engines.TargetLostError(
                f"{conn.address}: response without an id on a connection"
                " that was used before"
            )

    async def _receive_answer(
        self, context, target, conn, relay, head, answer
    ):
        announced = target.announced
        if answer.load is not None:
            self.targets.on_report(target, answer.load, time.monotonic())
        if answer.misdirected:
            context.last_error = "the address belongs to another target"
            self.targets.eject(target, time.monotonic())
            return _attempts.AttemptOutcome.REJECTED
        if answer.leaving:
            self.on_leaving(announced)
        if answer.max_rejections is not None or not answer.not_executed:
            self._note_max_rejections(target, answer.max_rejections)
        if answer.limit is not None or not answer.not_executed:
            # A rejection need not come from what limits the target.
            self._note_limit(target, answer.limit)
        if answer.not_executed:
            context.last_error = f"rejected with status {head.status}"
            now = time.monotonic()
            self.targets.back_off(target, now)
            if answer.retry_after is not None:
                self.targets.pause(target, answer.retry_after, now)
            return _attempts.AttemptOutcome.REJECTED
        context.reservation.may_have_run = True

        answered = False

        def on_answer() -> None:
            nonlocal answered
            if not answered:
                answered = True
                if relay.attempt_event_count:
                    self._record_origin(context, announced)
                    self._answer_states.on_first_event(
                        context.service, time.monotonic() - relay.head_at
                    )
                target.pending_prompts.end(context.request.id)

        outcome = await relay.forward(
            head, conn, on_answer, lambda: self._is_down(announced)
        )
        on_answer()
        if relay.outlasts_lost_attempts:
            self.quarantine.on_answer_complete(context.request)
        return outcome

    def _attempts_failed_error(
        self, context: _context.RequestContext
    ) -> web.ApiError:
        if context.attempts.runs:
            return _refusals.target_lost_error(
                len(context.attempted_targets), context.last_error
            )
        retry_after = context.retry_after
        if retry_after is None and context.may_return:
            now = time.monotonic()
            retry_after = self.retry_times.choose(
                context.service,
                self.targets.room(context.service, now),
                priority=context.priority,
                time_left=context.time_left(),
                now=now,
            )
        return _refusals.unavailable_error(
            context.last_error, retry_after=retry_after
        )

    async def _is_down(self, announced: gossip_wire.Target) -> bool:
        """Whether the process that has just closed a connection has ended."""
        return await self.pool.refuses_connections(
            announced.address, hold_seconds=CRASH_PROBE_SECONDS
        )

    def _note_limit(
        self, target: _target.TargetState, limit: float | None
    ) -> None:
        if self.targets.on_limit(target, limit, time.monotonic()):
            self.log.write("target limit", target=target.name, limit=limit)

    def _note_max_rejections(
        self, target: _target.TargetState, rejections: float | None
    ) -> None:
        if self.targets.on_max_rejections(
            target, rejections, time.monotonic()
        ):
            self.log.write(
                "target rejections",
                target=target.name,
                most_per_second=rejections,
            )
