"""Tests of decoding and encoding the platform's messages."""

import json
import pathlib
import tempfile

import testtools

from galenashed import engines
from galenashed import gateway
from galenashed.platform import _announcements
from galenashed.platform import _configuration
from galenashed.platform import _headers
from galenashed.platform import _ingress
from galenashed.platform import _settings
from galenashed.platform import _targets
from galenashed.protocol import gossip as gossip_wire
from galenashed.protocol import routes as wire
from galenashed import web

# Digits that str.isdigit() accepts and int() does not, or only up to a length.
ODD_NUMBERS = ("\u00b2", "1" * 5000)

SETTINGS = """
nodeName = "edge-7"
ip = "10.9.8.7"
zone = "hill"
region = "north"
portRange = [5100,5120]
seeds = ["10.9.8.7:4000","10.9.8.9:4000"]
bootstrap = true
countsAsLoss = true
dataDir = "/data/x"
heartbeatMs = 700
[listen]
front = "10.9.8.7:4001"
readiness = "10.9.8.7:4002"
control = "10.9.8.7:4000"
directory = "10.9.8.7:4003"
[tolerance]
machines = 2
[bounds]
graceS = 5
retryRatio = 0.4
retrySlack = 30
ttl_max_s = 1
"""

ROUTE = {
    "name": "r",
    "host": "Depot.Example",
    "pathPrefix": "/a/",
    "routeKind": "streaming",
    "timeoutMs": 6000,
    "targetLatencyMs": 800,
    "priority": 1,
    "split": [
        {"service": "s1", "weight": 90},
        {"service": "s2", "weight": 10},
    ],
    "maxAttempts": 2,
    "anonymous": False,
    "sticky": True,
    "resumable": True,
    "maxGapMs": 500,
}

CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE],
    "services": [
        {"name": "s1", "engine": {"slots": 96, "stride": 4}},
        {"name": "s2", "protocol": "h1", "tls": False},
    ],
    "tenants": [
        {"name": "t", "apiKeys": ["k1", "k2"], "priority": 0, "prepaid": 500}
    ],
}

HEARTBEAT = {
    "service": "s1",
    "address": "10.1.2.3:8080",
    "zone": "hill",
    "version": "v1",
    "slots": 96,
    "state": "ready",
    "coldLeftMs": 0,
    "stage": "both",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "seq": 4,
    "born": 1_700_000_000_123,
}


class TestSettings(testtools.TestCase):
    """Node settings of a deployment that is none of the documented ones."""

    def read(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.toml"
            path.write_text(text)
            return _settings.read_settings(path)

    def test_node_settings_are_derived_from_the_file(self):
        cfg = _settings.make_node_settings(self.read(SETTINGS))
        self.assertEqual("hill", cfg.failure_domain)
        self.assertEqual("10.9.8.7:4001", cfg.callers_address)
        self.assertEqual("10.9.8.7:5100", cfg.peers_address)
        self.assertEqual("10.9.8.7:5101", cfg.control_address)
        self.assertEqual(["10.9.8.7:5100", "10.9.8.9:5100"], cfg.seeds)
        self.assertEqual(5, cfg.desired_voters)
        self.assertEqual(1.0, cfg.discovery_max_age)
        self.assertEqual(5.0, cfg.shutdown_timeout)
        self.assertAlmostEqual(3.5, cfg.target_lease)
        self.assertEqual(pathlib.Path("/data/x"), cfg.data_directory)

    def test_limits_of_connections_are_derived_from_the_file(self):
        limits = _settings.make_caller_limits(self.read(SETTINGS))
        self.assertEqual(2000, limits.max_connections)
        self.assertEqual(256 * 2**20, limits.max_held_bytes)
        small = f"{SETTINGS}\n[limits]\nmaxFds = 1600\nmemoryMb = 160\n"
        limits = _settings.make_caller_limits(self.read(small))
        self.assertEqual(800, limits.max_connections)
        self.assertEqual(40_000_000, limits.max_held_bytes)
        other = _settings.make_management_limits(self.read(small))
        self.assertEqual(200, other.max_connections)
        self.assertEqual(10_000_000, other.max_held_bytes)

    def test_limits_of_connections_out_of_range_are_errors(self):
        for line in ("maxOpen = 0", "maxHeadBytes = 10", "stallS = 0"):
            text = f"{SETTINGS}\n[connections]\n{line}\n"
            exc = self.assertRaises(_settings.SettingsError, self.read, text)
            self.assertIn("connections", str(exc))

    def test_no_replica_on_machines_whose_loss_does_not_count(self):
        text = SETTINGS.replace("countsAsLoss = true", "countsAsLoss = false")
        self.assertIsNone(
            _settings.make_node_settings(self.read(text)).data_directory
        )

    def test_requests_are_hedged_only_if_the_settings_say_so(self):
        text = SETTINGS + "hedgeRatio = 0.05\n"
        shares = [
            _settings.make_node_settings(self.read(item)).max_hedge_share
            for item in (SETTINGS, text)
        ]
        self.assertEqual([0.0, 0.05], shares)
        self.assertRaises(
            _settings.SettingsError, self.read, text.replace("0.05", "2")
        )

    def test_unknown_fields_are_ignored(self):
        self.read("later = 3\n" + SETTINGS)

    def test_errors_name_the_file(self):
        for text in ("nodeName = 3", "= =", SETTINGS.replace("5120", '"x"')):
            exc = self.assertRaises(_settings.SettingsError, self.read, text)
            self.assertIn("settings.toml", str(exc))


class TestConfiguration(testtools.TestCase):
    """Routing configurations of operators."""

    def read(self, **changes):
        document = json.dumps({**CONFIGURATION, **changes}).encode()
        return _configuration.decode_routing_table(document)

    def read_invalid(self, **changes):
        return self.assertRaises(
            _configuration.ConfigurationError, self.read, **changes
        ).findings

    def test_share_of_hedged_requests(self):
        (route,) = self.read().routes
        self.assertIsNone(route.hedge_share)
        (route,) = self.read(routes=[{**ROUTE, "hedgeShare": 0.01}]).routes
        self.assertEqual(0.01, route.hedge_share)
        (finding,) = self.read_invalid(routes=[{**ROUTE, "hedgeShare": -1}])
        self.assertIn("$.routes[0].hedgeShare", finding)

    def test_routing_table(self):
        table = self.read()
        (route,) = table.routes
        self.assertEqual("depot.example", route.host)
        self.assertEqual(wire.RouteKind.STREAM, route.kind)
        self.assertEqual(
            (6.0, 0.8, 0.5),
            (route.time_limit, route.objective, route.max_pause),
        )
        self.assertEqual([90, 10], [share.weight for share in route.shares])
        self.assertTrue(route.repeatable)
        self.assertEqual(4, table.services[0].engine.tokens_per_event)
        self.assertIsNone(table.services[1].engine)
        self.assertEqual(500, table.teams[0].prepaid)
        self.assertNotIn("k1", repr(table))

    def test_cold_targets_and_home_regions(self):
        (route,) = self.read().routes
        self.assertEqual([], route.home_regions)
        table = self.read(
            routes=[{**ROUTE, "homeRegions": ["north"]}],
            services=[
                {"name": "s1", "coldS": 3.0, "coldPerS": 12},
                {"name": "s2"},
            ],
            tenants=[{"name": "a", "homeRegions": ["south"]}],
        )
        self.assertEqual(["north"], table.routes[0].home_regions)
        self.assertEqual(["south"], table.teams[0].home_regions)
        self.assertEqual(
            [(3.0, 12.0), (0.0, 0.0)],
            [(s.cold_seconds, s.cold_rate) for s in table.services],
        )
        for name in ("coldS", "coldPerS"):
            services = [{"name": "s1", name: -1}, {"name": "s2"}]
            (finding,) = self.read_invalid(services=services)
            self.assertIn(f"{name} -1.0", finding)

    def test_single_service_instead_of_split(self):
        route = {**ROUTE, "service": "s2"}
        del route["split"]
        (read,) = self.read(routes=[route]).routes
        self.assertEqual("s2", read.shares[0].service)

    def test_invalid_configurations(self):
        def changed(**fields):
            return [{**ROUTE, **fields}]

        self.read_invalid(version="7")
        self.read_invalid(version=0)
        self.read_invalid(routes=changed(timeoutMs=0))
        self.read_invalid(routes=changed(routeKind="odd"))
        self.read_invalid(routes=changed(split=[]))
        self.read_invalid(
            routes=changed(split=[{"service": "s1", "weight": 0}])
        )
        self.read_invalid(
            routes=changed(split=[{"service": "no", "weight": 1}])
        )
        self.read_invalid(routes=[ROUTE, ROUTE])
        self.read_invalid(
            tenants=[{"name": n, "apiKeys": ["k"]} for n in ("a", "b")]
        )

    def test_truncated_document(self):
        document = json.dumps(CONFIGURATION).encode()
        for size in range(0, len(document), 40):
            self.assertRaises(
                _configuration.ConfigurationError,
                _configuration.decode_routing_table,
                document[:size],
            )


class TestAnnouncements(testtools.TestCase):
    """Heartbeats and deregistrations of targets."""

    def read(self, **changes):
        fields = {**HEARTBEAT, **changes}
        body = json.dumps(
            {name: v for name, v in fields.items() if v is not ...}
        ).encode()
        return _announcements.decode_heartbeat("i-1", body)

    def test_fields(self):
        target = self.read()
        self.assertEqual("1700000000123", target.incarnation)
        self.assertEqual(1_700_000_000.123, target.started)
        self.assertEqual(
            (4, 96, "ready"), (target.sequence, target.slots, target.state)
        )
        self.assertEqual("leaving", self.read(state="draining").state)

    def test_end_of_a_cold_period_is_rounded_up(self):
        for left, end in (
            (..., None),
            (None, None),
            (0, 0),
            (-5, 0),
            (1, 101),
            (1900, 102),
            (2000.5, 103),
            (1e300, 3700),
        ):
            fields = {**HEARTBEAT, "coldLeftMs": left}
            if left is ...:
                del fields["coldLeftMs"]
            target = _announcements.decode_heartbeat(
                "i-1", json.dumps(fields).encode(), received_at=100.0
            )
            self.assertEqual(end, target.cold_until)

    def test_heartbeat_with_an_odd_address(self):
        for odd in ODD_NUMBERS:
            for address in (f"{odd}.0.0.1:80", f"10.0.0.1:{odd}"):
                self.assertRaises(
                    _announcements.AnnouncementError,
                    self.read,
                    address=address,
                )

    def test_invalid_heartbeats(self):
        for changes in (
            {"seq": "4"},
            {"seq": -1},
            {"seq": 2**127},
            {"slots": 2**63},
            {"version": "v" * 201},
            {"zone": "z" * 201},
            {"born": 1.5},
            {"state": "gone"},
            {"address": "10.1.2.3"},
            {"address": "10.1.2.300:1"},
            {"address": "10.1.2.3:0"},
            {"address": 5},
            {"service": ...},
            {"slots": "many"},
            {"coldLeftMs": "long"},
        ):
            self.assertRaises(
                _announcements.AnnouncementError, self.read, **changes
            )

    def test_deregistration(self):
        self.assertIsNone(_announcements.decode_deregistration(b""))
        self.assertEqual(
            2.0, _announcements.decode_deregistration(b'{"born":2000}')
        )
        self.assertRaises(
            _announcements.AnnouncementError,
            _announcements.decode_deregistration,
            b"{",
        )


class TestTargetCodec(testtools.TestCase):
    """Requests to targets and the headers of their responses."""

    def encode(self, **changes):
        fields = {
            "id": "1",
            "method": "POST",
            "host": "h",
            "path": "/p",
            "request_target": "/p?q",
            "headers": [("host", "h"), ("x-own", "1")],
            "body": b"abc",
            "arrived_at": 0.0,
            **changes,
        }
        attempt = gateway.Attempt(
            request=gateway.Request(**fields),
            target=gossip_wire.Target(
                name="i-1",
                incarnation="a",
                started=0.0,
                sequence=1,
                service="s",
                address="10.0.0.1:1",
                failure_domain="hill",
            ),
            team=None,
            priority=12,
            time_left=1.2345,
            resume_after="7",
        )
        return (
            _targets.PlatformTargetCodec(peer_key="key")
            .encode(attempt)
            .decode()
        )

    def test_encoded_request(self):
        head, _, body = self.encode().partition("\r\n\r\n")
        lines = head.split("\r\n")
        self.assertEqual("POST /p?q HTTP/1.1", lines[0])
        self.assertIn("x-deadline-ms: 1234", lines)
        self.assertIn("x-expect-instance: i-1", lines)
        self.assertIn("last-event-id: 7", lines)
        self.assertIn("x-request-priority: 9", lines)
        self.assertIn("content-length: 3", lines)
        self.assertEqual("abc", body)

    def test_no_content_length_without_a_body(self):
        text = self.encode(method="GET", body=b"")
        self.assertNotIn("content-length", text)

    def decode(self, status, **headers):
        head = engines.ResponseHead(
            status=status,
            headers=[(n.replace("_", "-"), v) for n, v in headers.items()],
            framing=engines.Framing.LENGTH,
        )
        return _targets.PlatformTargetCodec(peer_key="key").decode(head)

    def test_decoded_responses(self):
        rejected = self.decode(503, x_not_executed="1")
        self.assertTrue(rejected.not_executed)
        self.assertFalse(self.decode(503).not_executed)
        self.assertTrue(self.decode(421).misdirected)
        loaded = self.decode(200, x_instance_load="3,2,8")
        self.assertEqual((3, 2), (loaded.load.running, loaded.load.waiting))
        self.assertIsNone(self.decode(200, x_instance_load="x,2").load)

    def test_limit(self):
        for value, limit in (
            ("1.1", 1.1),
            ("0", 0.0),
            ("20", 20.0),
            ("", None),
            ("-1", None),
            ("1e9", None),
            ("nan", None),
            ("1.2.3", None),
            ("\u00b2", None),
            ("9" * 40, None),
        ):
            self.assertEqual(limit, engines.parse_decimal(value), value)
        self.assertIsNone(engines.parse_decimal(None))

    def test_fourth_figure_of_the_load_is_the_slowness(self):
        for value, slowness in (
            ("3,1,8,250", 2.5),
            ("3,1,8,100", 1.0),
            ("3,1,8", 1.0),
            ("3,1,8,0", 1.0),
            ("3,1,8,-5", 1.0),
            ("3,1,8,x", 1.0),
        ):
            load = self.decode(200, x_instance_load=value).load
            self.assertEqual(
                (3, 1, slowness), (load.running, load.waiting, load.slowness)
            )

    def test_load_that_is_no_number_is_ignored(self):
        for value in ODD_NUMBERS:
            answer = self.decode(200, x_instance_load=f"{value},1,8")
            self.assertIsNone(answer.load)


class TestIngress(testtools.TestCase):
    """Headers of callers' requests."""

    def setUp(self):
        super().setUp()
        self.team = wire.RoutedTeam(name="rounds", key_hashes=[])

    def decode(self, *headers):
        scope = {
            "method": "POST",
            "query_string": b"",
            "raw_path": b"/p",
        }
        return _ingress._decode_request(
            scope, list(headers), "h", "/p", self.team, b"", arrived_at=0.0
        )

    def test_repeat_with_another_key_of_the_team_has_the_same_digest(self):
        first, second = (
            self.decode((_headers.REQUEST_ID, id), (_headers.API_KEY, key))
            for id, key in (("1", "a"), ("2", "b"))
        )
        self.assertEqual(first.digest, second.digest)
        self.team = wire.RoutedTeam(name="other", key_hashes=[])
        third = self.decode((_headers.REQUEST_ID, "3"))
        self.assertNotEqual(first.digest, third.digest)

    def test_hop_by_hop_headers_are_not_forwarded(self):
        req = self.decode(
            (_headers.REQUEST_ID, "1"),
            ("connection", "keep-alive, X-Mine"),
            ("x-mine", "1"),
            ("x-yours", "1"),
            ("te", "trailers"),
        )
        self.assertEqual(
            [(_headers.REQUEST_ID, "1"), ("x-yours", "1")], req.headers
        )

    def test_prompt_and_token_usage(self):
        req = self.decode(
            (_headers.REQUEST_ID, "1"),
            (_headers.TOKEN_USAGE, "1460,80"),
            (_headers.PROMPT_HASHES, "5c1e:800,91bd:410"),
            (_headers.TIME_LEFT, "2500"),
        )
        self.assertEqual((1460, 80), tuple(req.usage))
        self.assertEqual(("91bd", 410), tuple(req.prompt[1]))
        self.assertEqual(2.5, req.caller_timeout)

    def test_malformed_headers(self):
        for name, value in (
            (_headers.TOKEN_USAGE, "1,x"),
            (_headers.PROMPT_HASHES, "a"),
            (_headers.TIME_LEFT, "-1"),
            (_headers.REQUEST_ID, "x" * 300),
        ):
            exc = self.assertRaises(
                web.ApiError,
                self.decode,
                (name, value),
                (_headers.REQUEST_ID, "1"),
            )
            self.assertEqual(400, exc.status)

    def test_odd_numbers_are_malformed(self):
        for odd in ODD_NUMBERS:
            for name, value in (
                (_headers.TOKEN_USAGE, f"1,{odd}"),
                (_headers.PROMPT_HASHES, f"a:{odd}"),
                (_headers.TIME_LEFT, odd),
            ):
                exc = self.assertRaises(
                    web.ApiError,
                    self.decode,
                    (_headers.REQUEST_ID, "1"),
                    (name, value),
                )
                self.assertEqual(400, exc.status)
