"""End-to-end tests of the request path, with separate processes."""

import json
import subprocess

import openai
import testtools

from galenashed.tests import _fleet


class TestPath(testtools.TestCase):
    """Requests to a fleet without faults."""

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.fleet = _fleet.Fleet()
        cls.addClassCleanup(cls.fleet.close)
        cls.fleet.start()

    def client(self, entry: str = "e1") -> openai.OpenAI:
        address = self.fleet.addresses[entry]
        return openai.OpenAI(
            base_url=f"http://{address}/v1",
            api_key=_fleet.TEAM_KEY,
            max_retries=0,
        )

    def stream_contents(self, entry: str, text: str, **options) -> list[str]:
        chunks = self.client(entry).chat.completions.create(
            model=_fleet.MODEL,
            messages=[{"role": "user", "content": text}],
            max_tokens=32,
            stream=True,
            **options,
        )
        return [c.choices[0].delta.content for c in chunks if c.choices]

    def settled_tokens(self) -> int:
        return self.fleet.balance()["settled"]

    def test_every_entry_streams_same_response(self):
        responses = [
            self.stream_contents(e, "same") for e in self.fleet.entry_names
        ]
        self.assertEqual(32, len(responses[0]))
        self.assertEqual(responses[0], responses[1])
        self.assertEqual(responses[0], responses[2])

    def test_request_is_billed_once_for_actual_usage(self):
        before = self.settled_tokens()
        response = self.fleet.ask("e2", "bill me")
        self.assertEqual(200, response.status)
        usage = response.json()["usage"]
        path = f"/v1/bills/{response.headers['X-Request-Id']}"
        bill = _fleet.fetch(self.fleet.addresses["e2"], path).json()
        self.assertEqual(usage["total_tokens"], bill["billed_tokens"])
        self.assertEqual(before + usage["total_tokens"], self.settled_tokens())
        # Every entry can return the bill.
        repeated = _fleet.fetch(self.fleet.addresses["e3"], path).json()
        self.assertEqual(bill, repeated)

    def test_usage_event_is_sent_only_on_request(self):
        default = self.client().chat.completions.create(
            model=_fleet.MODEL,
            messages=[{"role": "user", "content": "usage"}],
            stream=True,
        )
        self.assertEqual([], [c for c in default if c.usage])
        requested = self.client().chat.completions.create(
            model=_fleet.MODEL,
            messages=[{"role": "user", "content": "usage"}],
            stream=True,
            stream_options={"include_usage": True},
        )
        usages = [c.usage for c in requested if c.usage]
        self.assertEqual(1, len(usages))
        self.assertEqual(32, usages[0].completion_tokens)

    def test_completions_and_models(self):
        completion = self.client("e3").completions.create(
            model=_fleet.MODEL, prompt="say", max_tokens=5
        )
        self.assertEqual(5, len(completion.choices[0].text.split()))
        models = [m.id for m in self.client().models.list()]
        self.assertEqual([_fleet.MODEL], models)

    def test_instance_list_contains_every_entry(self):
        def fetch_instances():
            return _fleet.fetch(
                self.fleet.addresses["e1"],
                "/v1/instances?failure_domain=njardvik",
            )

        def knows_all():
            instances = fetch_instances().json()["instances"]
            names = sorted(item["name"] for item in instances)
            return self.fleet.entry_names == names

        # Entries discover each other shortly after they start serving.
        _fleet.wait_for(knows_all, "every entry in the list")
        response = fetch_instances()
        instances = response.json()["instances"]
        self.assertEqual("njardvik", instances[0]["failure_domain"])
        self.assertEqual("max-age=1", response.headers["Cache-Control"])

    def test_service_call_is_forwarded_unchanged(self):
        response = self.fleet.call_service(
            "e1",
            "/bookings/a%2Fb?when=dawn%20shift&x=1",
            key="whole-1",
            method="PUT",
            body=b'{"child": 7}',
            headers={"X-Note": "kept", "Content-Type": "text/x-custom"},
        )
        self.assertEqual(200, response.status)
        self.assertEqual("service", response.headers["X-Standin"])
        received = response.json()
        self.assertEqual("PUT", received["method"])
        self.assertEqual("/bookings/a%2Fb", received["path"])
        self.assertEqual("when=dawn%20shift&x=1", received["query"])
        self.assertEqual('{"child": 7}', received["body"])
        self.assertEqual("kept", received["headers"]["x-note"])
        self.assertEqual("text/x-custom", received["headers"]["content-type"])
        self.assertEqual("whole-1", received["headers"]["idempotency-key"])
        self.assertNotIn("authorization", received["headers"])

    def test_service_can_not_set_the_run_header(self):
        response = self.fleet.call_service("e2", "/x?claim=1", method="GET")
        values = response.headers.get_all("Galenashed-Run")
        self.assertEqual(["run"], values)

    def test_service_status_is_forwarded(self):
        response = self.fleet.call_service("e2", "/x?status=418", method="GET")
        self.assertEqual(418, response.status)

    def test_retried_call_runs_once_across_entries(self):
        before = self.settled_tokens()
        responses = [
            self.fleet.call_service(entry, key="once-1", body=b'{"n": 1}')
            for entry in ("e1", "e2", "e3", "e1")
        ]
        self.assertEqual([200] * 4, [r.status for r in responses])
        self.assertEqual(1, len({r.body for r in responses}))
        executions = self.fleet.stats("app-1")["executions"]["once-1"]
        self.assertEqual(1, executions)
        _fleet.wait_for(
            lambda: self.settled_tokens() == before + 1, "one billed call"
        )

    def test_concurrent_duplicates_of_a_call_run_once(self):
        entries = self.fleet.entry_names * 4
        responses = _fleet.run_in_threads(
            len(entries),
            lambda n: self.fleet.call_service(
                entries[n], "/b?delay=0.2", key="race-1"
            ),
        )
        self.assertEqual([200] * len(entries), [r.status for r in responses])
        executions = self.fleet.stats("app-1")["executions"]["race-1"]
        self.assertEqual(1, executions)

    def test_reused_key_with_different_body_is_refused(self):
        self.fleet.call_service("e1", key="reuse-1", body=b"1")
        response = self.fleet.call_service("e2", key="reuse-1", body=b"2")
        self.assertEqual(422, response.status)
        error = response.json()["error"]
        self.assertEqual("idempotency_key_reused", error["code"])
        self.assertEqual("not run", error["run"])

    def test_call_without_idempotency_key_is_refused(self):
        response = self.fleet.call_service("e1", "/nokey")
        self.assertEqual(400, response.status)
        error = response.json()["error"]
        self.assertEqual("idempotency_key_required", error["code"])

    def test_wrong_and_missing_api_keys_are_refused(self):
        address = self.fleet.addresses["e1"]
        for key in ("", "wrong"):
            for path in ("/v1/models", "/v1/targets", "/v1/budgets"):
                response = _fleet.fetch(address, path, key=key)
                self.assertEqual(401, response.status)
                code = response.json()["error"]["code"]
                self.assertEqual("invalid_api_key", code)
        response = _fleet.fetch(
            address, "/targets/announce", method="POST", body={}
        )
        self.assertEqual(401, response.status)

    def test_bad_request_errors_name_the_cause(self):
        cases = [
            (b"{", "not JSON"),
            (b"[]", "not a JSON object"),
            (b'{"model": "galena-7b"}', "messages"),
            (
                b'{"model": "galena-7b", "messages": [{}], "n": 2}',
                "allowed: 1",
            ),
            (
                b'{"model": "galena-7b", "messages": [{}],'
                b' "max_tokens": 999999}',
                "from 1 to 512",
            ),
        ]
        for body, expected in cases:
            response = _fleet.fetch(
                self.fleet.addresses["e1"],
                "/v1/chat/completions",
                method="POST",
                body=body,
            )
            self.assertEqual(400, response.status, body)
            self.assertIn(expected, response.json()["error"]["message"])
        response = self.fleet.ask("e1", model="other")
        self.assertEqual(404, response.status)

    def test_oversized_body_is_refused(self):
        response = _fleet.fetch(
            self.fleet.addresses["e1"],
            "/v1/chat/completions",
            method="POST",
            body=b"x" * (2**20 + 1),
        )
        self.assertEqual(413, response.status)
        self.assertEqual("not run", response.headers["Galenashed-Run"])

    def test_notes_are_published_audited_and_applied_everywhere(self):
        text = """
[note]
number = 2
author = "ops-2"

[[budget]]
name = "rounds-2026"
team = "rounds"

[[budget.top_up]]
id = "second"
tokens = 500
"""
        before = self.fleet.balance()["prepaid"]
        result = self.fleet.publish(text, "--wait")
        self.assertIn("in force everywhere", result.stdout)
        repeated = self.fleet.publish(text)
        self.assertIn("accepted", repeated.stdout)
        self.assertEqual(before + 500, self.fleet.balance()["prepaid"])
        other = text.replace("tokens = 500", "tokens = 600")
        refused = self.fleet.publish(other, check=False)
        self.assertEqual(2, refused.returncode)
        self.assertIn("number 2 was taken by 'ops-2'", refused.stdout)
        audit = json.loads(
            self.fleet.run_operator_cli(
                "audit", "--subject", "note 2", "--json"
            ).stdout
        )
        results = [record["result"] for record in audit]
        self.assertEqual("accepted", results[0])
        self.assertTrue(results[-1].startswith("refused"))
        status = json.loads(
            self.fleet.run_operator_cli("note", "status", "--json").stdout
        )
        self.assertEqual([2, 2, 2], [item["note"] for item in status])

    def test_note_is_checked_against_the_one_in_force(self):
        path = self.fleet.folder / "checked.toml"
        for number, place in ((1, ["note.number"]), (99, [])):
            path.write_text(
                f'[note]\nnumber = {number}\nauthor = "x"\n', encoding="utf-8"
            )
            result = self.fleet.run_operator_cli(
                "note",
                "check",
                str(path),
                "--against",
                "in-force",
                "--json",
                check=False,
            )
            report = json.loads(result.stdout)
            self.assertEqual(2 if place else 0, result.returncode)
            self.assertEqual(
                place, [error["place"] for error in report["errors"]]
            )

    def test_operator_commands_require_the_operator_key(self):
        path = self.fleet.folder / "intruder.toml"
        text = self.fleet.operator_path.read_text(encoding="utf-8")
        path.write_text(
            text.replace("operator.key", "peer.key"), encoding="utf-8"
        )
        note = self.fleet.folder / "intruder-note.toml"
        note.write_text(
            '[note]\nnumber = 99\nauthor = "x"\n', encoding="utf-8"
        )
        result = self.fleet.run_cli(
            "note",
            "publish",
            str(note),
            "--config",
            str(path),
            check=False,
        )
        self.assertEqual(1, result.returncode)
        self.assertIn("wrong key", result.stderr)

    def test_logs_contain_no_keys(self):
        keys = [
            _fleet.PEER_KEY,
            _fleet.OPERATOR_KEY,
            _fleet.TARGET_KEY,
            _fleet.TEAM_KEY,
        ]
        self.fleet.ask("e1")
        for process in self.fleet.processes.values():
            text = process.log.read_text(encoding="utf-8")
            for key in keys:
                self.assertNotIn(key, text)


class TestCommandLine(testtools.TestCase):
    """Commands that do not need a running fleet."""

    def test_quickstart(self):
        fleet = _fleet.Fleet()
        result = fleet.run_cli("quickstart")
        self.assertIn("of 10000 tokens left", result.stdout)
        self.assertIsInstance(result, subprocess.CompletedProcess)
