"""A request's way from the route to a target and back."""

import asyncio
import random
import time

from galenashed import engines
from galenashed.gateway import _attempts
from galenashed.gateway import _prepaid
from galenashed.gateway import _relay
from galenashed.gateway import _request
from galenashed.gateway import _table
from galenashed.gateway import _targets
from galenashed.protocol import routes as wire
from galenashed import routing
from galenashed import telemetry
from galenashed import web

RETRY_SECONDS = 0.5


class Job:
    """One request on its way."""

    __slots__ = (
        "account",
        "deadline",
        "limit_at",
        "per_event",
        "progress",
        "request",
        "route",
        "sent_to",
        "service",
        "team",
        "trouble",
    )

    def __init__(self, *, request, route, team, service, per_event, account):
        self.request: _request.Request = request
        self.route: wire.Route = route
        self.team: wire.KeyedTeam | None = team
        self.service: str = service
        self.per_event: int = per_event
        self.account: _prepaid.Account = account
        self.limit_at = request.arrived + route.time_limit
        self.deadline = self.limit_at
        if request.wait_limit is not None:
            asked = request.arrived + request.wait_limit
            self.deadline = min(self.limit_at, asked)
        self.progress = _attempts.Progress()
        self.sent_to: list[str] = []
        self.trouble = ""

    @property
    def priority(self) -> int:
        if self.team is not None and self.team.priority is not None:
            return self.team.priority
        return self.route.priority

    def time_left(self) -> float:
        """Returns the seconds until the caller or the route gives up."""
        return self.deadline - time.monotonic()


class Gateway:
    """Serves the requests of one entry by the routing table.

    Parameters
    ----------
    targets : Targets
        Known targets.
    prepaid : PrepaidAccounts
        Sets tokens aside.
    pool : ConnectionPool
        Connections to targets.
    dialect : Dialect
        How targets are spoken to.
    retries : RetryBudget
        Bounds the sendings beyond the first.
    log : DecisionLog
        Takes a line for each decision about a request.
    metrics : Metrics
        Takes counts and durations.
    rng : random.Random
        Breaks ties between targets.
    """

    def __init__(
        self,
        *,
        targets: _targets.Targets,
        prepaid: _prepaid.PrepaidAccounts,
        pool: engines.ConnectionPool,
        dialect: _request.Dialect,
        retries: routing.RetryBudget,
        log: telemetry.DecisionLog | telemetry.NullDecisionLog,
        metrics: telemetry.Metrics,
        rng: random.Random,
    ):
        self.targets = targets
        self.prepaid = prepaid
        self.pool = pool
        self.dialect = dialect
        self.retries = retries
        self.log = log
        self.metrics = metrics
        self.rng = rng
        self.routing: _table.Routing | None = None
        self.in_flight = 0

    def adopt(self, table: wire.RoutingTable) -> bool:
        """Puts a newer table in force; returns whether it was newer."""
        if self.routing is not None and table.version <= self.routing.version:
            return False
        self.routing = _table.Routing(table=table)
        return True

    def admit(
        self, host: str, path: str, key: str
    ) -> tuple[wire.Route, wire.KeyedTeam | None]:
        """Returns the route and the team of a request; raises ApiError."""
        if self.routing is None or not self.routing.version:
            raise web.ApiError(
                status=503,
                code="no_configuration",
                message="this instance knows no routes yet; use another",
                retry_after=RETRY_SECONDS,
            )
        route = self.routing.match(host, path)
        if route is None:
            raise web.ApiError(
                status=404,
                code="no_route",
                message=f"no route for host {host!r} and path {path!r}",
            )
        team = self.routing.team_of(key) if key else None
        if team is None and self.routing.table.teams and not route.keyless:
            raise web.ApiError(
                status=401,
                code="invalid_api_key",
                message="missing or unknown key",
            )
        return route, team

    async def handle(
        self,
        request: _request.Request,
        route: wire.Route,
        team: wire.KeyedTeam | None,
        sink: _request.Sink,
    ) -> None:
        """Runs an admitted request; raises ApiError before an answer began.

        An answer that has begun and can't be ended is broken off.
        """
        self.in_flight += 1
        try:
            await self._handle(request, route, team, sink)
        except web.ApiError as exc:
            self.metrics.count(f"gateway.refused.{exc.code}")
            self.log.write(
                "refused",
                request=request.id,
                route=route.name,
                status=exc.status,
                code=exc.code,
                run=exc.run.value,
                reason=exc.message,
                after=_since(request),
            )
            raise
        except asyncio.CancelledError:
            self.metrics.count("gateway.caller_left")
            self.log.write(
                "caller left", request=request.id, after=_since(request)
            )
            raise
        finally:
            self.in_flight -= 1

    async def _handle(self, request, route, team, sink) -> None:
        assert self.routing is not None
        service = _table.pick_share(route, request.id)
        known = self.routing.service(service)
        engine = known.engine if known is not None else None
        account = await self.prepaid.open(request, team, route.objective)
        job = Job(
            request=request,
            route=route,
            team=team,
            service=service,
            per_event=engine.tokens_per_event if engine else 1,
            account=account,
        )
        self.retries.on_request()
        relay = _relay.Relay(job=job, sink=sink)
        try:
            async with asyncio.timeout(job.time_left()):
                await self._run(job, relay)
        except TimeoutError:
            if relay.started:
                self.log.write(
                    "cut at the time limit",
                    request=request.id,
                    events=relay.events,
                    after=_since(request),
                )
                relay.abort()
                return
            raise self._timed_out(job) from None
        finally:
            account.events = relay.events
            account.close(request, job.per_event)

    async def _run(self, job: Job, relay: _relay.Relay) -> None:
        """Sends the request to one target after another."""
        while True:
            target = self._choose(job)
            if target is None:
                if not await relay.give_up():
                    raise self._given_up(job)
                return
            ending = await self._send(job, target, relay)
            if ending is None:
                self._note_answer(job, relay)
                return
            job.progress.note(ending)
            self.log.write(
                "sending ended",
                request=job.request.id,
                target=target.name,
                ending=ending.value,
                reason=job.trouble,
                sent=len(job.sent_to),
                left=round(job.time_left(), 3),
            )
            allowed = _attempts.may_send_again(
                job.route, job.progress, ending, job.time_left()
            )
            # What was never sent reaches no target and costs no retry.
            free = ending is _attempts.Ending.NOT_SENT
            if allowed and (free or self.retries.take()):
                self.metrics.count("gateway.sent_again")
                continue
            if await relay.give_up():
                return
            raise self._given_up(job)

    def _note_answer(self, job: Job, relay: _relay.Relay) -> None:
        self.metrics.duration(
            f"gateway.{job.route.kind.value}", _since(job.request)
        )
        first = None
        if relay.first_at is not None:
            first = round(relay.first_at - job.request.arrived, 4)
            self.metrics.duration("gateway.first_event", first)
        self.log.write(
            "answered",
            request=job.request.id,
            target=job.sent_to[-1],
            status=relay.status,
            first_event=first,
            events=relay.events,
            reserved=job.account.tokens,
            after=_since(job.request),
        )

    def _choose(self, job: Job) -> _targets.TargetState | None:
        now = time.monotonic()
        target = self.targets.choose(
            job.service, job.request.prompt, job.sent_to, now, self.rng
        )
        if target is None and not job.trouble:
            job.trouble = f"service {job.service!r} has no target"
        return target

    async def _send(
        self, job: Job, target: _targets.TargetState, relay: _relay.Relay
    ) -> _attempts.Ending | None:
        """Sends the request to a target; None once the answer is whole."""
        job.sent_to.append(target.name)
        now = time.monotonic()
        self.log.write(
            "sent",
            request=job.request.id,
            route=job.route.name,
            team=job.team.name if job.team else None,
            target=target.name,
            running=target.running,
            waiting=target.waiting,
            report_age=target.report_age(now),
            unread=target.pending_prefill_tokens,
            missing=target.uncached_tokens(job.request.prompt),
            sending=len(job.sent_to),
            version=self.routing.version if self.routing else 0,
            after=_since(job.request),
        )
        self.targets.begin(target, job.request.id, job.request.prompt)
        failed = True
        try:
            ending = await self._exchange(job, target, relay)
            failed = ending in (
                _attempts.Ending.NOT_SENT,
                _attempts.Ending.LOST,
                _attempts.Ending.FAILED,
            )
            return ending
        except BaseException:
            # The caller left or the time is up: no word on the target.
            failed = False
            raise
        finally:
            self.targets.end(
                target, job.request.id, failed=failed, now=time.monotonic()
            )

    async def _exchange(self, job, target, relay):
        fresh = not job.route.repeatable
        address = target.announced.address
        try:
            conn = await self.pool.acquire(address, fresh=fresh)
        except engines.NotSentError as exc:
            job.trouble = str(exc)
            self.targets.eject(target, time.monotonic())
            return _attempts.Ending.NOT_SENT
        try:
            conn.send(
                self.dialect.encode(
                    _request.Attempt(
                        request=job.request,
                        target=target.announced,
                        team=job.team,
                        priority=job.priority,
                        time_left=job.time_left(),
                        resume_after=relay.last_id or job.request.resume_after,
                    )
                ),
                without_body=job.request.method == "HEAD",
            )
            return await self._answer(job, target, conn, relay)
        except engines.TargetLostError as exc:
            job.trouble = str(exc)
            job.account.ran = True
            return _attempts.Ending.LOST
        except BaseException:
            # It may have begun to run.
            job.account.ran = True
            raise
        finally:
            self.pool.release(conn)

    async def _answer(self, job, target, conn, relay):
        head = await conn.head()
        answer = self.dialect.decode(head)
        if answer.load is not None:
            self.targets.on_report(target, answer.load, time.monotonic())
        if answer.elsewhere:
            job.trouble = "the address belongs to another target"
            self.targets.eject(target, time.monotonic())
            return _attempts.Ending.REJECTED
        if answer.echoed not in (None, job.request.id):
            raise engines.TargetLostError(
                f"{conn.address}: answer to another request"
            )
        if answer.not_run:
            job.trouble = f"rejected with status {head.status}"
            self.targets.eject(
                target, time.monotonic(), _targets.REJECTED_SECONDS
            )
            return _attempts.Ending.REJECTED
        job.account.ran = True
        return await relay.take(
            head, conn, lambda: target.prompts.end(job.request.id)
        )

    def _timed_out(self, job: Job) -> web.ApiError:
        if not job.sent_to:
            return _no_room("the time ran out before a target was found")
        return web.ApiError(
            status=504,
            code="time_limit",
            message="the time limit passed before an answer came",
            run=web.ExecutionStatus.UNKNOWN,
        )

    def _given_up(self, job: Job) -> web.ApiError:
        if not job.progress.runs:
            return _no_room(job.trouble)
        return web.ApiError(
            status=502,
            code="target_lost",
            message=f"given up after {len(job.sent_to)} targets:"
            f" {job.trouble}",
            run=web.ExecutionStatus.UNKNOWN,
        )


def _no_room(reason: str) -> web.ApiError:
    return web.ApiError(
        status=503,
        code="targets_unavailable",
        message=f"no target took the request: {reason}",
        retry_after=RETRY_SECONDS,
    )


def _since(request: _request.Request) -> float:
    """Returns the seconds since a request arrived."""
    return round(time.monotonic() - request.arrived, 4)
