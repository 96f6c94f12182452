"""The check of notes and configurations before they are sent."""

import contextlib
import io
import json
import pathlib
import tempfile

import hypothesis
from hypothesis import strategies
import msgspec
import testtools
import tomlkit

from galenashed.cli import _check
from galenashed.cli import _clients
from galenashed import config
from galenashed import control
from galenashed.platform import _configuration
from galenashed.platform import checks
from galenashed.protocol import control as wire

SETTINGS = hypothesis.settings(
    max_examples=200,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
NAMES = strategies.sampled_from(["a", "b", "c"])
KEY_HASHES = strategies.sampled_from(
    [f"sha256:{digit * 64}" for digit in "12"]
)
ROUTE = {
    "name": "r",
    "host": "h.example",
    "pathPrefix": "/",
    "routeKind": "safe",
    "timeoutMs": 2000,
    "service": "a",
    "maxAttempts": 2,
}
CONFIGURATION = {"version": 1, "routes": [ROUTE], "services": [{"name": "a"}]}
NOTE = {
    "note": {"number": 1, "author": "ops"},
    "model": [{"name": "a", "version": "1", "max_output": 100}],
    "service": [{"name": "a", "kind": "engine", "models": ["a"]}],
    "team": [{"name": "a", "key_hash": f"sha256:{'1' * 64}"}],
    "budget": [
        {"name": "a", "team": "a", "top_up": [{"id": "1", "tokens": 500}]}
    ],
}


def apply(machine, command):
    """Returns the reply of a control replica."""
    stamped = wire.TimestampedCommand(0.0, command)
    return machine.apply(machine.applied + 1, msgspec.msgpack.encode(stamped))


def records(**fields):
    """Returns a strategy of lists of up to two records with names."""
    record = strategies.fixed_dictionaries({"name": NAMES, **fields})
    return strategies.lists(
        record, max_size=2, unique_by=lambda item: item["name"]
    ) | strategies.lists(record, max_size=2)


def few_names(least=0):
    return strategies.lists(NAMES, min_size=least, max_size=2, unique=True)


configurations = strategies.fixed_dictionaries(
    {
        "version": strategies.sampled_from([1, 2, 3, 0, "1"]),
        "routes": strategies.lists(
            strategies.fixed_dictionaries(
                {
                    **{key: strategies.just(ROUTE[key]) for key in ROUTE},
                    "pathPrefix": strategies.sampled_from(["/", "/a"]),
                    "routeKind": strategies.sampled_from(
                        ["safe", "unsafe", "streaming", "odd"]
                    ),
                    "timeoutMs": strategies.sampled_from([2000, 1, 50, 0]),
                    "service": NAMES | strategies.none(),
                    "split": strategies.lists(
                        strategies.fixed_dictionaries(
                            {
                                "service": NAMES,
                                "weight": strategies.integers(-1, 5),
                            }
                        ),
                        max_size=2,
                    ),
                },
                optional={"hedgeShare": strategies.sampled_from([0.1, 2.0])},
            ),
            max_size=2,
        ),
        "services": records(),
        "tenants": records(
            apiKeys=strategies.lists(NAMES, max_size=2),
            prepaid=strategies.integers(-1, 5),
        ),
    }
)
notes = strategies.fixed_dictionaries(
    {
        "note": strategies.fixed_dictionaries(
            {
                "number": strategies.sampled_from([2, 3, 1, 0]),
                "author": strategies.just("ops"),
            }
        ),
        "model": records(version=strategies.just("1")),
        "service": records(kind=strategies.just("plain"))
        | records(kind=strategies.just("engine"), models=few_names(1)),
        "team": records(key_hash=KEY_HASHES),
        "budget": records(
            team=NAMES,
            top_up=strategies.lists(
                strategies.fixed_dictionaries(
                    {"id": NAMES, "tokens": strategies.integers(0, 2)}
                ),
                max_size=2,
                unique_by=lambda item: item["id"],
            ),
        ),
        "withdrawn": strategies.dictionaries(
            strategies.sampled_from(["models", "teams", "budgets"]),
            strategies.lists(NAMES, max_size=1),
        ),
    }
)


class CheckTestCase(testtools.TestCase):
    """Runs checks of files in a folder."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def write(self, name, content):
        """Returns the path of a file with a note or a configuration."""
        path = self.folder / name
        encode = json.dumps if path.suffix == ".json" else tomlkit.dumps
        path.write_text(
            content if isinstance(content, str) else encode(content)
        )
        return path

    def check(self, path, *against, config_path=None):
        """Returns the exit code and the report."""
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = _check.check_note(
                path,
                against=[str(item) for item in against],
                config_path=config_path,
                json=True,
            )
        return code, json.loads(output.getvalue())


class TestControlAgrees(CheckTestCase):
    """Guards against a check that passes what control refuses, or reverse."""

    @SETTINGS
    @hypothesis.given(content=configurations)
    def test_configurations(self, content):
        document = json.dumps(content).encode()
        try:
            table = _configuration.decode_routing_table(document)
        except _configuration.ConfigurationError:
            accepted = False
        else:
            reply = apply(
                control.ControlStateMachine(),
                wire.ReplaceRoutes(table=table, source=document),
            )
            accepted = isinstance(reply, wire.Done)
        result = checks.check_configuration(document)
        self.assertEqual(accepted, result.accepted)

    @SETTINGS
    @hypothesis.given(content=notes, has_earlier=strategies.booleans())
    def test_notes(self, content, has_earlier):
        machine = control.ControlStateMachine()
        earlier = self.write(
            "earlier.toml",
            NOTE if has_earlier else {"note": {"number": 1, "author": "ops"}},
        )
        path = self.write("note.toml", content)
        self.assertIsInstance(self.publish(machine, earlier), wire.Done)
        reply = self.publish(machine, path)
        code, report = self.check(path, earlier)
        self.assertEqual(isinstance(reply, wire.Done), report["accepted"])
        self.assertEqual(0 if report["accepted"] else 2, code)
        if isinstance(reply, wire.Refused):
            messages = [error["message"] for error in report["errors"]]
            self.assertEqual(reply.findings, messages)

    def publish(self, machine, path):
        """Returns the reply; None if the file itself is invalid."""
        result = config.load_note(path)
        if result.is_error():
            return None
        digest = control.compute_digest(result.ok)
        return apply(machine, wire.PublishNote(note=result.ok, digest=digest))


class TestReports(CheckTestCase):
    """Guards against remarks without a place, and changes not told."""

    def warnings(self, **changes):
        """Returns the places of the warnings of a changed route."""
        route = {**ROUTE, **changes}
        services = [{"name": "a"}]
        document = {**CONFIGURATION, "routes": [route], "services": services}
        code, report = self.check(self.write("c.json", document))
        self.assertEqual((0, []), (code, report["errors"]))
        return [item["place"] for item in report["warnings"]]

    def test_warnings_of_routes(self):
        self.assertEqual([], self.warnings())
        for field, value in (
            ("pathPrefix", "/a"),
            ("pathPrefix", "a/"),
            ("pathPrefix", "/?/"),
            ("host", "h.example:80"),
            ("timeoutMs", 999),
            ("maxAttempts", 1),
            ("resumable", True),
        ):
            self.assertEqual(
                [f"routes[0].{field}"], self.warnings(**{field: value})
            )
        at_once = self.warnings(routeKind="unsafe", hedgeShare=0.1)
        self.assertEqual(
            ["routes[0].maxAttempts", "routes[0].hedgeShare"], at_once
        )

    def test_warnings_of_services_and_teams(self):
        engine = {"slots": 9, "kvCapacity": 100}
        services = [{"name": "a", "engine": engine, "maxConns": 8}]
        document = {
            **CONFIGURATION,
            "services": [*services, {"name": "b"}],
            "tenants": [{"name": "t", "apiKeys": [""], "prepaid": 99}],
            "limits": {"maxBodyBytes": 0},
        }
        _, report = self.check(self.write("c.json", document))
        self.assertEqual(
            [
                "services[0].maxConns",
                "services[1].name",
                "tenants[0].apiKeys[0]",
                "tenants[0].prepaid",
                "limits.maxBodyBytes",
            ],
            [item["place"] for item in report["warnings"]],
        )

    def test_errors_have_places(self):
        route = {**ROUTE, "service": "x", "timeoutMs": 0}
        document = {**CONFIGURATION, "routes": [ROUTE, route]}
        code, report = self.check(self.write("c.json", document))
        self.assertEqual(2, code)
        self.assertEqual(
            [f"routes[1].{key}" for key in ("service", "timeoutMs")]
            + ["routes[1].pathPrefix"],
            [item["place"] for item in report["errors"]],
        )
        code, report = self.check(self.write("c.json", '{"version":\n}'))
        self.assertEqual((2, 2), (code, report["errors"][0]["line"]))

    def test_errors_and_warnings_of_notes_have_lines(self):
        earlier = self.write("1.toml", NOTE)
        note = self.write(
            "2.toml",
            '[note]\nnumber = 2\nauthor = "ops"\n'
            '[[model]]\nname = "unused"\nversion = "1"\n',
        )
        code, report = self.check(note, earlier)
        self.assertEqual(0, code)
        self.assertEqual(5, report["warnings"][0]["line"])
        self.assertEqual(
            ["note 1 -> 2", "model 'unused' is added"], report["differences"]
        )
        _, report = self.check(earlier, note)
        (error,) = report["errors"]
        self.assertEqual("note.number", error["place"])

    def test_differences_of_configurations(self):
        before = self.write(
            "1.json",
            {
                **CONFIGURATION,
                "tenants": [{"name": "t", "apiKeys": ["secret"]}],
            },
        )
        after = self.write(
            "2.json",
            {
                "version": 2,
                "routes": [
                    {**ROUTE, "timeoutMs": 4000, "routeKind": "unsafe"}
                ],
                "services": [{"name": "a", "maxConns": 4}, {"name": "b"}],
                "tenants": [{"name": "t", "apiKeys": ["other"]}],
            },
        )
        _, report = self.check(after, before)
        self.assertEqual(
            [
                "version 1 -> 2",
                "route 'r': kind idempotent -> at-most-once",
                "route 'r': time limit 2 s -> 4 s",
                "service 'a': most connections 0 -> 4",
                "service 'b' is added",
                "team 't': the API keys differ",
            ],
            report["differences"],
        )
        _, report = self.check(before, after)
        self.assertIn("changes nothing", report["warnings"][-1]["message"])

    def test_note_is_compared_to_what_is_in_force(self):
        machine = control.ControlStateMachine()
        note = self.write("1.toml", NOTE)
        TestControlAgrees.publish(self, machine, note)

        class Client:
            async def query(self, query, *, timeout):
                return machine.query(query)

        def run_with_client(config_path, operation):
            coro = operation(Client())
            try:
                coro.send(None)
            except StopIteration as exc:
                return exc.value

        self.patch(_clients, "run_with_client", run_with_client)
        code, report = self.check(note, "in-force", config_path="ops.toml")
        self.assertEqual((0, []), (code, report["differences"]))
        budget = {**NOTE["budget"][0], "team": "b"}
        other = {**NOTE, "note": {"number": 2, "author": "ops"}}
        changed = self.write("2.toml", {**other, "budget": [budget]})
        code, report = self.check(changed, "in-force", config_path="ops.toml")
        self.assertEqual(2, code)
        self.assertEqual("budget[0].team", report["errors"][0]["place"])
