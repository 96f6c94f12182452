"""A gateway and targets on loopback addresses, for tests of the gateway."""

import asyncio
import random
import time

from galenashed import engines
from galenashed import gateway
from galenashed.protocol import gossip
from galenashed.protocol import routes
from galenashed.quarantine.tests import _fixture as quarantine_fixture
from galenashed import routing
from galenashed import telemetry

TIME_LIMIT_SECONDS = 10.0
# What the target sends at most, so that a test that fails uses little memory.
OFFERED_BYTES = 32 * 2**20
PIECE_BYTES = 64 * 1024


class Target:
    """Answers with ``first``, then ``repeated`` until the connection closes.

    It answers once ``may_answer`` is set.
    """

    def __init__(self, first, repeated=b""):
        self.first = first
        self.piece = repeated * (PIECE_BYTES // max(1, len(repeated)))
        self.may_answer = asyncio.Event()
        self.requests = []
        self.sent_bytes = 0
        self.closed_at = None
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def serve(self, reader, writer):
        try:
            while True:
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
                await self.may_answer.wait()
                writer.write(self.first)
                await self.send_pieces(writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.closed_at = time.monotonic()
            writer.close()

    async def send_pieces(self, writer):
        while self.piece and self.sent_bytes < OFFERED_BYTES:
            writer.write(self.piece)
            await writer.drain()
            self.sent_bytes += len(self.piece)


class TargetCodec:
    """Encodes a minimal request."""

    returns_ids = False

    def encode(self, attempt):
        return b"GET /%s HTTP/1.1\r\nhost: x\r\n\r\n" % (
            (attempt.resume_after or "").encode()
        )

    def decode(self, head):
        return gateway.TargetResponse(
            request_id=None, not_executed=False, misdirected=False, load=None
        )


class PrepaidReservation:
    """A request that needs no tokens."""

    tokens = 0
    event_count = 0
    may_have_run = False

    def close(self, request, tokens_per_event):
        pass


class PrepaidReserver:
    async def open(self, request, team, route):
        return PrepaidReservation()


class ResponseWriter:
    """Keeps the start of the response; ``may_write`` stops the caller."""

    def __init__(self):
        self.body = b""
        self.size = 0
        self.finished = False
        self.aborted = False
        self.may_write = asyncio.Event()
        self.may_write.set()

    async def start(self, head, *, with_content_length):
        pass

    async def write(self, data):
        await self.may_write.wait()
        self.size += len(data)
        self.body += data[: 1024 - len(self.body)]

    async def finish(self):
        self.finished = True

    def abort(self):
        self.aborted = True


class Peers:
    """No other entry serves requests; one may reach targets."""

    reaches_targets = False

    async def any_reaches(self, address):
        return self.reaches_targets

    def entries_with_path(self, service, regions):
        return []


class Origins:
    """Keeps the origins of streams that this entry began."""

    def __init__(self):
        self.records = gateway.OriginRecords()

    def record(self, origin):
        self.records.add(origin, time.monotonic())

    def end(self, request):
        pass

    async def find(self, request):
        return self.records.get(request, time.monotonic())

    def may_begin(self, service, version):
        return True

    async def find_versions(self, service, max_age):
        return set()


def make_paths(pool, targets):
    return engines.Paths(
        pool=pool,
        targets=targets,
        log=telemetry.NullDecisionLog(),
        metrics=telemetry.NullMetrics(),
        rng=random.Random(1),
    )


class Fixture:
    """A gateway with a service under test and one without faults."""

    def __init__(
        self,
        *,
        kind,
        resumable=False,
        time_limit,
        home_regions=(),
        regions_by_domain=None,
    ):
        self.route = routes.Route(
            name="r",
            host="h",
            prefix="/",
            kind=kind,
            shares=[routes.WeightedService(service="s", weight=1)],
            time_limit=time_limit,
            max_targets=3,
            resumable=resumable,
            home_regions=list(home_regions),
        )
        self.healthy_route = routes.Route(
            name="healthy",
            host="h",
            prefix="/healthy/",
            kind=routes.RouteKind.IDEMPOTENT,
            shares=[routes.WeightedService(service="healthy", weight=1)],
            time_limit=time_limit,
        )
        self.targets = gateway.Targets(
            domain="east",
            limits=routing.TargetLimits(name="entry"),
            regions_by_domain=regions_by_domain,
        )
        self.pool = engines.ConnectionPool(connect_timeout=1.0)
        self.peers = Peers()
        self.control = quarantine_fixture.Control()
        self.gateway = gateway.Gateway(
            targets=self.targets,
            prepaid=PrepaidReserver(),
            pool=self.pool,
            codec=TargetCodec(),
            crash_quarantine=quarantine_fixture.make_quarantine(self.control),
            paths=make_paths(self.pool, self.targets),
            peers=self.peers,
            origins=Origins(),
            retries=routing.RetryBudget(share=1.0, max_saved=10.0),
            log=telemetry.NullDecisionLog(),
            metrics=telemetry.NullMetrics(),
            rng=random.Random(1),
        )
        self.gateway.apply_routing_table(
            routes.RoutingTable(
                version=1,
                routes=[self.route, self.healthy_route],
                services=[
                    routes.RoutedService(name="s"),
                    routes.RoutedService(name="healthy"),
                ],
            )
        )
        self.servers = []

    async def add(self, target, *, service="s", domain="east"):
        """Starts a target and adds it to a service."""
        address = await target.start()
        self.servers.append(target)
        self.targets.update(
            gossip.Target(
                name=f"t{len(self.servers)}",
                incarnation="1",
                started=0.0,
                sequence=1,
                service=service,
                address=address,
                failure_domain=domain,
                state="ready",
                slots=8,
            )
        )
        return target

    async def start_request(self, writer, bad, other):
        """Returns the task of a request that ``bad`` begins to answer.

        ``other`` becomes available after ``bad`` has the request.
        """
        await self.add(bad)
        task = asyncio.create_task(self.handle(writer))
        await wait_until(lambda: bad.requests)
        other.may_answer.set()
        await self.add(other)
        bad.may_answer.set()
        return task

    def handle(self, writer, route=None, team=None):
        request = gateway.Request(
            id=f"r{time.monotonic_ns()}",
            method="GET",
            host="h",
            path="/",
            request_target="/",
            headers=[],
            body=b"",
            arrived_at=time.monotonic(),
        )
        return self.gateway.handle(request, route or self.route, team, writer)

    async def close(self):
        await self.pool.close()
        for target in self.servers:
            target.server.close()


async def wait_until(condition):
    async with asyncio.timeout(TIME_LIMIT_SECONDS):
        while not condition():
            await asyncio.sleep(0.01)
