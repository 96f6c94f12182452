"""Entries that crash, freeze or lose control while they hold tokens."""

import json
import signal

import testtools

from galenashed.tests import _fleet

SMALL_BUDGET_TOKENS = 6_000


class TestWitnesses(testtools.TestCase):
    """Witnesses recover the unspent tokens of an entry, and no more."""

    def start_fleet(self, **options) -> None:
        self.fleet = _fleet.Fleet(entries=3, engines=2, services=1, **options)
        self.addCleanup(self.fleet.close)
        self.fleet.start()

    def warm_up(self, entry: str) -> None:
        """Sends requests until all outstanding tokens are witnessed."""

        def holds_witnessed_tokens():
            self.assertEqual(200, self.fleet.ask(entry, "warm up").status)
            balance = self.fleet.balance()
            return balance["outstanding"] and not balance["unwitnessed"]

        _fleet.wait_for(holds_witnessed_tokens, "witnessed tokens")

    def wait_recovered(self, entry: str) -> None:
        """Waits until a witness has recovered the tokens of an entry."""

        def is_recovered():
            result = self.fleet.run_operator_cli("audit", "--json")
            return any(
                record["action"] == "recover"
                and record["subject"].startswith(f"{entry}/")
                for record in json.loads(result.stdout)
            )

        _fleet.wait_for(is_recovered, "the recovery by a witness")

    def test_tokens_of_a_killed_entry_are_recovered(self):
        self.start_fleet()
        self.warm_up("e1")
        before = self.fleet.balance()
        self.assertGreater(before["outstanding"], 1_000)
        self.fleet.processes["e1"].kill()
        self.wait_recovered("e1")
        after = self.fleet.balance()
        # Tokens that it may have spent without a bill remain outstanding.
        self.assertLess(after["outstanding"], before["outstanding"] / 2)
        self.assertGreaterEqual(after["settled"], before["settled"])

    def test_response_sent_just_before_a_kill_is_billed(self):
        self.start_fleet()
        self.warm_up("e1")
        self.check_unbilled_responses_are_recovered("e1")

    def test_response_paid_from_unwitnessed_tokens_is_billed(self):
        self.start_fleet(policy='[policy]\npreset = "refusals-first"\n')
        self.fleet.wait_peers("e1")
        self.assertEqual(200, self.fleet.ask("e1", "warm up").status)
        self.assertGreater(self.fleet.balance()["unwitnessed"], 0)
        self.check_unbilled_responses_are_recovered("e1")

    def check_unbilled_responses_are_recovered(self, entry: str) -> None:
        """Checks that requests of a disconnected, killed entry are billed.

        The entry loses its connections to control, responds to two requests
        and is killed before it can report their bills, which are then
        recovered from another entry.
        """
        for name in self.fleet.control_names:
            link = self.fleet.control_links[(entry, name)]
            link.forward = link.backward = "drop"
        response = self.fleet.ask(entry, "last words")
        call = self.fleet.call_service(entry, "/lookup", method="GET")
        self.assertEqual([200, 200], [response.status, call.status])
        self.fleet.processes[entry].kill()
        request_ids = [r.headers["X-Request-Id"] for r in (response, call)]
        self.assertEqual(
            [[], []], [self.billed_tokens(n) for n in request_ids]
        )
        self.wait_recovered(entry)
        used_tokens = response.json()["usage"]["total_tokens"]
        self.assertEqual(
            [[used_tokens], [1]], [self.billed_tokens(n) for n in request_ids]
        )

    def billed_tokens(self, request_id: str) -> list[int]:
        """Returns the billed tokens of a request, one item for each bill."""
        return [
            sum(part[1] for part in bill["parts"])
            for bill in self.fleet.bills(request_id)
        ]

    def test_resumed_entry_does_not_spend_recovered_tokens(self):
        note = _fleet.NOTE.replace("1000000", str(SMALL_BUDGET_TOKENS))
        self.start_fleet(note=note)
        self.warm_up("e1")
        self.fleet.processes["e1"].signal(signal.SIGSTOP)
        self.wait_recovered("e1")
        self.spend_budget("e2")
        self.fleet.processes["e1"].signal(signal.SIGCONT)
        self.spend_budget("e1")
        processed_tokens = sum(
            self.fleet.stats(name)["prompt_tokens"]
            + self.fleet.stats(name)["output_tokens"]
            for name in self.fleet.engine_names
        )
        self.assertLessEqual(processed_tokens, SMALL_BUDGET_TOKENS)

        def is_settled():
            return self.fleet.balance()["settled"] == processed_tokens

        _fleet.wait_for(is_settled, "every bill")

    def spend_budget(self, entry: str) -> None:
        """Sends requests until the budget does not cover another one."""

        def is_exhausted():
            response = self.fleet.ask(entry, "more")
            return response.status == 429 or self.assertIn(
                response.status, (200, 503)
            )

        _fleet.wait_for(is_exhausted, "an empty budget")
