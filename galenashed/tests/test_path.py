"""The whole path, in separate processes."""

import json
import subprocess

import openai
import testtools

from galenashed.tests import _fleet


class TestPath(testtools.TestCase):
    """Requests through a fleet that nothing happens to."""

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

    def stream(self, entry: str, text: str, **options) -> list[str]:
        chunks = self.client(entry).chat.completions.create(
            model=_fleet.MODEL,
            messages=[{"role": "user", "content": text}],
            max_tokens=32,
            stream=True,
            **options,
        )
        return [c.choices[0].delta.content for c in chunks if c.choices]

    def settled(self) -> int:
        return self.fleet.balance()["settled"]

    def test_every_entry_streams_the_same_answer(self):
        answers = [self.stream(e, "same") for e in self.fleet.entry_names]
        self.assertEqual(32, len(answers[0]))
        self.assertEqual(answers[0], answers[1])
        self.assertEqual(answers[0], answers[2])

    def test_request_is_billed_once_at_its_real_use(self):
        before = self.settled()
        answer = self.fleet.ask("e2", "bill me")
        self.assertEqual(200, answer.status)
        usage = answer.json()["usage"]
        path = f"/v1/bills/{answer.headers['X-Request-Id']}"
        bill = _fleet.fetch(self.fleet.addresses["e2"], path).json()
        self.assertEqual(usage["total_tokens"], bill["billed_tokens"])
        self.assertEqual(before + usage["total_tokens"], self.settled())
        # Any other entry knows the bill too.
        again = _fleet.fetch(self.fleet.addresses["e3"], path).json()
        self.assertEqual(bill, again)

    def test_usage_event_comes_only_if_asked_for(self):
        plain = self.client().chat.completions.create(
            model=_fleet.MODEL,
            messages=[{"role": "user", "content": "usage"}],
            stream=True,
        )
        self.assertEqual([], [c for c in plain if c.usage])
        asked = self.client().chat.completions.create(
            model=_fleet.MODEL,
            messages=[{"role": "user", "content": "usage"}],
            stream=True,
            stream_options={"include_usage": True},
        )
        usages = [c.usage for c in asked if c.usage]
        self.assertEqual(1, len(usages))
        self.assertEqual(32, usages[0].completion_tokens)

    def test_completions_and_models(self):
        done = self.client("e3").completions.create(
            model=_fleet.MODEL, prompt="say", max_tokens=5
        )
        self.assertEqual(5, len(done.choices[0].text.split()))
        models = [m.id for m in self.client().models.list()]
        self.assertEqual([_fleet.MODEL], models)

    def test_callers_are_told_of_every_instance(self):
        def ask():
            return _fleet.fetch(
                self.fleet.addresses["e1"],
                "/v1/instances?failure_domain=njardvik",
            )

        def knows_all():
            listed = ask().json()["instances"]
            names = sorted(item["name"] for item in listed)
            return self.fleet.entry_names == names

        # Entries hear of each other some moments after they serve.
        _fleet.wait_for(knows_all, "every entry in the list")
        answer = ask()
        listed = answer.json()["instances"]
        self.assertEqual("njardvik", listed[0]["failure_domain"])
        self.assertEqual("max-age=1", answer.headers["Cache-Control"])

    def test_service_call_passes_through_whole(self):
        answer = self.fleet.call(
            "e1",
            "/bookings/a%2Fb?when=dawn%20shift&x=1",
            key="whole-1",
            method="PUT",
            body=b'{"child": 7}',
            headers={"X-Note": "kept", "Content-Type": "text/x-custom"},
        )
        self.assertEqual(200, answer.status)
        self.assertEqual("service", answer.headers["X-Standin"])
        seen = answer.json()
        self.assertEqual("PUT", seen["method"])
        self.assertEqual("/bookings/a%2Fb", seen["path"])
        self.assertEqual("when=dawn%20shift&x=1", seen["query"])
        self.assertEqual('{"child": 7}', seen["body"])
        self.assertEqual("kept", seen["headers"]["x-note"])
        self.assertEqual("text/x-custom", seen["headers"]["content-type"])
        self.assertEqual("whole-1", seen["headers"]["idempotency-key"])
        self.assertNotIn("authorization", seen["headers"])

    def test_service_can_not_speak_for_the_entry(self):
        answer = self.fleet.call("e2", "/x?claim=1", method="GET")
        said = answer.headers.get_all("Galenashed-Run")
        self.assertEqual(["run"], said)

    def test_service_status_passes_through(self):
        answer = self.fleet.call("e2", "/x?status=418", method="GET")
        self.assertEqual(418, answer.status)

    def test_resent_call_runs_once_at_any_entry(self):
        before = self.settled()
        answers = [
            self.fleet.call(entry, key="once-1", body=b'{"n": 1}')
            for entry in ("e1", "e2", "e3", "e1")
        ]
        self.assertEqual([200] * 4, [a.status for a in answers])
        self.assertEqual(1, len({a.body for a in answers}))
        executed = self.fleet.stats("app-1")["executions"]["once-1"]
        self.assertEqual(1, executed)
        _fleet.wait_for(
            lambda: self.settled() == before + 1, "one billed call"
        )

    def test_concurrent_sendings_of_a_call_run_once(self):
        entries = self.fleet.entry_names * 4
        answers = _fleet.in_threads(
            len(entries),
            lambda n: self.fleet.call(
                entries[n], "/b?delay=0.2", key="race-1"
            ),
        )
        self.assertEqual([200] * len(entries), [a.status for a in answers])
        executed = self.fleet.stats("app-1")["executions"]["race-1"]
        self.assertEqual(1, executed)

    def test_key_with_other_content_is_refused(self):
        self.fleet.call("e1", key="reuse-1", body=b"1")
        answer = self.fleet.call("e2", key="reuse-1", body=b"2")
        self.assertEqual(422, answer.status)
        error = answer.json()["error"]
        self.assertEqual("idempotency_key_reused", error["code"])
        self.assertEqual("not run", error["run"])

    def test_call_without_a_key_is_refused(self):
        answer = self.fleet.call("e1", "/nokey")
        self.assertEqual(400, answer.status)
        error = answer.json()["error"]
        self.assertEqual("idempotency_key_required", error["code"])

    def test_wrong_and_missing_keys(self):
        address = self.fleet.addresses["e1"]
        for key in ("", "wrong"):
            for path in ("/v1/models", "/v1/targets", "/v1/budgets"):
                answer = _fleet.fetch(address, path, key=key)
                self.assertEqual(401, answer.status)
                code = answer.json()["error"]["code"]
                self.assertEqual("invalid_api_key", code)
        answer = _fleet.fetch(
            address, "/targets/announce", method="POST", body={}
        )
        self.assertEqual(401, answer.status)

    def test_bad_requests_name_the_fault(self):
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
            answer = _fleet.fetch(
                self.fleet.addresses["e1"],
                "/v1/chat/completions",
                method="POST",
                body=body,
            )
            self.assertEqual(400, answer.status, body)
            self.assertIn(expected, answer.json()["error"]["message"])
        answer = self.fleet.ask("e1", model="other")
        self.assertEqual(404, answer.status)

    def test_oversized_body_is_refused(self):
        answer = _fleet.fetch(
            self.fleet.addresses["e1"],
            "/v1/chat/completions",
            method="POST",
            body=b"x" * (2**20 + 1),
        )
        self.assertEqual(413, answer.status)
        self.assertEqual("not run", answer.headers["Galenashed-Run"])

    def test_notes_are_published_audited_and_in_force_everywhere(self):
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
        done = self.fleet.publish(text, "--wait")
        self.assertIn("in force everywhere", done.stdout)
        again = self.fleet.publish(text)
        self.assertIn("accepted", again.stdout)
        self.assertEqual(before + 500, self.fleet.balance()["prepaid"])
        other = text.replace("tokens = 500", "tokens = 600")
        refused = self.fleet.publish(other, check=False)
        self.assertEqual(2, refused.returncode)
        self.assertIn("number 2 was taken by 'ops-2'", refused.stdout)
        audit = json.loads(
            self.fleet.operate("audit", "--subject", "note 2", "--json").stdout
        )
        results = [record["result"] for record in audit]
        self.assertEqual("accepted", results[0])
        self.assertTrue(results[-1].startswith("refused"))
        status = json.loads(
            self.fleet.operate("note", "status", "--json").stdout
        )
        self.assertEqual([2, 2, 2], [item["note"] for item in status])

    def test_operator_commands_need_the_operators_key(self):
        path = self.fleet.folder / "intruder.toml"
        text = self.fleet.operator_path.read_text(encoding="utf-8")
        path.write_text(
            text.replace("operator.key", "peer.key"), encoding="utf-8"
        )
        note = self.fleet.folder / "intruder-note.toml"
        note.write_text(
            '[note]\nnumber = 99\nauthor = "x"\n', encoding="utf-8"
        )
        done = self.fleet.run(
            "note",
            "publish",
            str(note),
            "--config",
            str(path),
            check=False,
        )
        self.assertEqual(1, done.returncode)
        self.assertIn("wrong key", done.stderr)

    def test_no_key_is_in_any_log(self):
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
    """Commands that need no fleet."""

    def test_quickstart(self):
        fleet = _fleet.Fleet()
        done = fleet.run("quickstart")
        self.assertIn("of 10000 tokens left", done.stdout)
        self.assertIsInstance(done, subprocess.CompletedProcess)
