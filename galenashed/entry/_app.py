"""The HTTP API of an entry."""

import asyncio
import time
import typing

import blacksheep
import blacksheep.exceptions
import loguru
import msgspec

from galenashed import config
from galenashed import control
from galenashed.entry import _call
from galenashed.entry import _calls
from galenashed.entry import _configuration
from galenashed.entry import _forwarding
from galenashed.entry import _instances
from galenashed.entry import _models
from galenashed.entry import _requests
from galenashed import membership
from galenashed.protocol import control as wire
from galenashed.protocol import gossip as gossip_wire
from galenashed.protocol import rpc
from galenashed import web
from galenashed import webapp

LOG = loguru.logger

QUERY_TIMEOUT_SECONDS = 3.0
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
RECEIVE_KEY = "galenashed.receive"
MAX_DISCARDED_BYTES = 4 * 2**20


class EntryApp:
    """The ASGI application that serves the HTTP API of an entry.

    Parameters
    ----------
    cfg : galenashed.config.EntrySettings
        Keys, timeouts and size limits.
    configuration : Configuration
        The configuration release in force.
    models : ModelHandler
        Serves model requests.
    calls : CallHandler
        Serves calls of plain services.
    forwarder : PeerForwarder
        Forwards requests to services that this entry can't reach.
    instances : Instances
        Lists the instances that callers can use.
    control_client : ControlClient
        Queries balances and bills.
    flush_bills : callable
        Waits until control has acknowledged the pending bills.
    announce : callable
        Accepts a target's announcement.
    targets : Directory
        The known targets.
    """

    def __init__(
        self,
        *,
        cfg: config.EntrySettings,
        configuration: _configuration.Configuration,
        models: _models.ModelHandler,
        calls: _calls.CallHandler,
        forwarder: _forwarding.PeerForwarder,
        instances: _instances.Instances,
        control_client: control.ControlClient,
        flush_bills,
        announce,
        targets: membership.Directory,
    ):
        self.cfg = cfg
        self.configuration = configuration
        self.models = models
        self.calls = calls
        self.forwarder = forwarder
        self.instances = instances
        self.control_client = control_client
        self.flush_bills = flush_bills
        self.announce = announce
        self.targets = targets
        self.in_flight = 0
        self._app = webapp.make_app()
        self._app.exceptions_handlers[404] = _on_not_found
        self._add_routes()

    def _add_routes(self) -> None:
        add = self._add_route
        for path in ("/v1/chat/completions", "/v1/completions"):
            add("POST", path, self._create_completion)
        add("GET", "/v1/models", self._list_models)
        add("GET", "/v1/instances", self._list_instances)
        add("GET", "/v1/budgets", self._list_budgets)
        add("GET", "/v1/bills/:id", self._get_bill)
        add("POST", "/targets/announce", self._announce)
        add("GET", "/v1/targets", self._list_targets)
        add("GET", "/health", self._health)
        for method in METHODS:
            add(method, "/services/*", self._call_service)

    async def __call__(self, scope, receive, send) -> None:
        """Serves one ASGI scope."""
        scope[RECEIVE_KEY] = receive
        self.in_flight += 1
        try:
            await self._app(scope, receive, send)
        finally:
            self.in_flight -= 1

    async def start(self) -> None:
        """Starts the application; must run before the first request."""
        await self._app.start()

    def _add_route(
        self, method: str, path: str, handler: webapp.Handler
    ) -> None:
        """Adds a route whose errors become error responses of the API."""

        async def handle_errors(
            request: blacksheep.Request,
        ) -> blacksheep.Response:
            try:
                return await handler(request)
            except web.ApiError as exc:
                LOG.debug("{} {}", exc.code, exc.message)
                return webapp.error_response(exc)
            except blacksheep.exceptions.MessageAborted:
                raise
            except Exception:
                LOG.exception("unhandled error in a request handler")
                error = web.ApiError(
                    status=500,
                    code="internal_error",
                    message="internal error",
                    execution_status=web.ExecutionStatus.UNKNOWN,
                )
                return webapp.error_response(error)

        webapp.add_route(self._app, method, path, handle_errors)

    # Steps shared by the handlers

    def _authenticate(self, request: blacksheep.Request) -> wire.Team:
        key = _bearer_key(request)
        team = self.configuration.team_by_key(rpc.hash_key(key))
        if not key or team is None:
            raise _unauthorized()
        return team

    def _budget(self, request: blacksheep.Request, team: wire.Team) -> str:
        names = self.configuration.budgets_for_team(team.name)
        value = request.get_first_header(b"Galenashed-Budget")
        if value is not None:
            name = value.decode("latin-1")
            if name in names:
                return name
            raise web.ApiError(
                status=400,
                code="unknown_budget",
                message=f"Galenashed-Budget: {name!r}; allowed:"
                f" {', '.join(names)}",
            )
        if not names:
            raise web.ApiError(
                status=429,
                code="insufficient_quota",
                message=f"team {team.name!r} has no budget",
            )
        return names[0]

    async def _read_body(self, request: blacksheep.Request) -> bytes:
        try:
            async with asyncio.timeout(self.cfg.receive_timeout):
                return await self._read_bounded(request)
        except TimeoutError:
            raise web.ApiError(
                status=408,
                code="request_timeout",
                message="the request body was not received within"
                f" {self.cfg.receive_timeout} s",
            ) from None

    async def _read_bounded(self, request: blacksheep.Request) -> bytes:
        body = bytearray()
        size = 0
        stream = typing.cast(typing.AsyncIterable, request.stream())
        async for chunk in stream:
            size += len(chunk)
            if size <= self.cfg.max_body_bytes:
                body += chunk
            elif size > self.cfg.max_body_bytes + MAX_DISCARDED_BYTES:
                break
        # A body slightly over the limit is read to its end and discarded: a
        # caller that is still sending would not see the error response.
        if size > self.cfg.max_body_bytes:
            raise self._body_too_large()
        return bytes(body)

    def _body_too_large(self) -> web.ApiError:
        return web.ApiError(
            status=413,
            code="body_too_large",
            message="the request body exceeds"
            f" {self.cfg.max_body_bytes} bytes",
        )

    # Handlers

    async def _create_completion(self, request) -> blacksheep.Response:
        self.configuration.check_serving()
        team = self._authenticate(request)
        body = await self._read_body(request)
        parsed = _requests.parse_model_request(
            request.scope["path"], body, self.configuration.release.models
        )
        key = _requests.parse_idempotency_key(
            request.get_first_header(b"Idempotency-Key")
        )
        if key:
            parsed.set_idempotency_key(key)
        parsed.priority = _requests.parse_priority(
            request.get_first_header(b"Galenashed-Priority")
        )
        budget = self._budget(request, team)
        receive = request.scope[RECEIVE_KEY]
        return await self._serve_or_forward(
            request,
            body,
            self.configuration.service_for_model(parsed.model.name),
            lambda: self.models.handle(parsed, team, budget, receive),
            repeatable=True,
        )

    async def _serve_or_forward(
        self, request, body, service, serve, *, repeatable: bool
    ) -> blacksheep.Response:
        """Serves a request, or has an entry with a path to targets serve it.

        ``serve`` is a coroutine function that serves it here.
        """
        forwarder = self.forwarder
        if service is None or not forwarder.is_needed(request, service):
            try:
                return await serve()
            except web.ApiError as exc:
                if service is None or not await forwarder.can_forward(
                    request, service, exc
                ):
                    raise
        return await forwarder.forward(
            request,
            body,
            service,
            repeatable=repeatable,
            receive=request.scope[RECEIVE_KEY],
        )

    async def _call_service(self, request) -> blacksheep.Response:
        team = self._authenticate(request)
        raw_path = request.scope["raw_path"].decode("latin-1")
        name, _, path = raw_path.removeprefix("/services/").partition("/")
        service = self.configuration.release.services.get(name)
        if service is None or service.kind != "plain":
            raise web.ApiError(
                status=404,
                code="service_not_found",
                message=f"plain service {name!r} does not exist",
            )
        query = request.scope["query_string"].decode("latin-1")
        call = _call.Call(
            service=service,
            team=team,
            budget_name=self._budget(request, team) if service.cost else "",
            method=request.method,
            path=f"/{path}?{query}" if query else f"/{path}",
            headers=[
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in request.headers
            ],
            body=await self._read_body(request),
            key=_requests.parse_idempotency_key(
                request.get_first_header(b"Idempotency-Key")
            ),
        )
        try:
            self.configuration.check_serving()
        except web.ApiError as exc:
            if not call.idempotent:
                # An earlier attempt through another entry may have run it.
                exc.execution_status = web.ExecutionStatus.UNKNOWN
            raise
        return await self._serve_or_forward(
            request,
            call.body,
            service,
            lambda: self.calls.handle(call),
            repeatable=call.idempotent,
        )

    async def _list_models(self, request) -> blacksheep.Response:
        self._authenticate(request)
        created = int(time.time())
        listed = [
            {
                "id": model.name,
                "object": "model",
                "created": created,
                "owned_by": "galenashed",
            }
            for model in self.configuration.release.models.values()
        ]
        return _json({"object": "list", "data": listed})

    async def _list_instances(self, request) -> blacksheep.Response:
        self._authenticate(request)
        domain = request.query.get("failure_domain", [""])[0]
        listed = self.instances.ranked(domain)
        response = _json(
            {"instances": listed, "max_age": self.instances.max_age}
        )
        age = int(self.instances.max_age)
        response.headers.add(b"Cache-Control", b"max-age=%d" % age)
        return response

    async def _list_budgets(self, request) -> blacksheep.Response:
        team = self._authenticate(request)
        await self._flush_bills()
        reply = await self._query(wire.Query(kind="balance", team=team.name))
        listed = [
            {
                "budget": balance.budget,
                "prepaid": balance.prepaid,
                "settled": balance.settled,
                "outstanding": balance.outstanding,
                "remaining": balance.prepaid - balance.settled,
            }
            for balance in reply.balances
        ]
        return _json({"budgets": listed})

    async def _get_bill(self, request) -> blacksheep.Response:
        team = self._authenticate(request)
        await self._flush_bills()
        bill_id = request.route_values["id"]
        reply = await self._query(
            wire.Query(kind="bill", subject=bill_id, team=team.name)
        )
        if not reply.bills:
            raise web.ApiError(
                status=404,
                code="bill_not_found",
                message=f"this team has no recent bill {bill_id!r}",
            )
        bill = reply.bills[-1]
        return _json(
            {
                "id": bill.id,
                "budget": bill.budget,
                "subject": bill.subject,
                "prompt_tokens": bill.prompt_tokens,
                "output_tokens": bill.output_tokens,
                "billed_tokens": bill.tokens,
            }
        )

    async def _flush_bills(self) -> None:
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_SECONDS):
                await self.flush_bills()
        except TimeoutError:
            raise _control_unavailable() from None

    async def _query(self, query: wire.Query) -> wire.QueryReply:
        try:
            return await self.control_client.query(
                query, timeout=QUERY_TIMEOUT_SECONDS
            )
        except control.ControlUnavailableError:
            raise _control_unavailable() from None

    async def _list_targets(self, request) -> blacksheep.Response:
        if not rpc.key_matches(
            _bearer_key(request), self.cfg.operator_key_hash
        ):
            raise _unauthorized()
        alive = self.targets.alive(time.monotonic())
        return _json({"targets": alive})

    async def _announce(self, request) -> blacksheep.Response:
        if not rpc.key_matches(_bearer_key(request), self.cfg.target_key_hash):
            raise _unauthorized()
        body = await self._read_body(request)
        try:
            target = msgspec.json.decode(body, type=gossip_wire.Target)
        except msgspec.DecodeError as exc:
            raise web.ApiError(
                status=400, code="bad_announcement", message=str(exc)
            ) from None
        error = gossip_wire.find_error(target)
        if target.state not in ("ready", "leaving"):
            error = f"state: {target.state!r}; allowed: ready, leaving"
        if error is not None:
            raise web.ApiError(
                status=400, code="bad_announcement", message=error
            )
        self.announce(target)
        return _json({"lease": self.instances.target_lease})

    async def _health(self, request) -> blacksheep.Response:
        serving = self.configuration.serving
        return _json({"serving": serving}, status=200 if serving else 503)


def _json(value, status: int = 200) -> blacksheep.Response:
    content = blacksheep.Content(
        b"application/json", msgspec.json.encode(value)
    )
    return blacksheep.Response(status, None, content)


async def _on_not_found(app, request, exc) -> blacksheep.Response:
    return webapp.error_response(
        web.ApiError(
            status=404,
            code="not_found",
            message=f"path {request.scope['path']} does not exist",
        )
    )


def _bearer_key(request: blacksheep.Request) -> str:
    value = request.get_first_header(b"Authorization") or b""
    kind, _, key = value.decode("latin-1").partition(" ")
    return key.strip() if kind.lower() == "bearer" else ""


def _unauthorized() -> web.ApiError:
    return web.ApiError(
        status=401,
        code="invalid_api_key",
        message="the API key is missing or invalid; allowed:"
        " Authorization: Bearer KEY",
    )


def _control_unavailable() -> web.ApiError:
    return web.ApiError(
        status=503,
        code="control_unavailable",
        message="the control replicas are unavailable",
        retry_after=1.0,
    )
