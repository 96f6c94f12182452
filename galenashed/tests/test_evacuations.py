"""Evacuation of a failure domain by the operator's command."""

import json

import testtools

from galenashed.tests import _fleet

# The failure domain of stand-ins that are given none.
DOMAIN = "local"
EVACUATE_SECONDS = 5.0


class TestEvacuationCommand(testtools.TestCase):
    """The command, control replicas and entries as real processes."""

    def setUp(self):
        super().setUp()
        self.fleet = _fleet.Fleet(entries=2, engines=0, services=1)
        self.addCleanup(self.fleet.close)
        self.fleet.start()

    def call_status(self, entry):
        return self.fleet.call_service(entry, method="GET").status

    def wait_for_status(self, status, *, timeout=EVACUATE_SECONDS):
        for entry in self.fleet.entry_names:
            _fleet.wait_for(
                lambda entry=entry: self.call_status(entry) == status,
                f"{status} at {entry}",
                timeout=timeout,
            )

    def evacuate(self, action, *args, **options):
        return self.fleet.run_operator_cli(
            "evacuation", action, *args, **options
        )

    def list_domains(self):
        result = self.evacuate("list", "--json")
        return [item["domain"] for item in json.loads(result.stdout)]

    def test_command_keeps_calls_from_a_domain_until_its_end(self):
        self.wait_for_status(200)
        self.evacuate("begin", DOMAIN)
        self.evacuate("begin", DOMAIN)
        self.assertEqual([DOMAIN], self.list_domains())
        self.wait_for_status(503)
        # A replica that starts again still has the order.
        self.fleet.processes["c1"].kill()
        self.fleet.processes["c1"].start()
        for entry in self.fleet.entry_names * 5:
            response = self.fleet.call_service(entry, method="GET")
            self.assertEqual(503, response.status)
            self.assertIn("no_target", response.body.decode())
        self.evacuate("end", DOMAIN)
        self.assertEqual([], self.list_domains())
        self.wait_for_status(200)
        audit = self.fleet.run_operator_cli("audit", "--json").stdout
        actions = [
            record["action"]
            for record in json.loads(audit)
            if record["subject"] == DOMAIN
        ]
        self.assertEqual(["evacuation begin", "evacuation end"], actions)

    def test_name_without_characters_is_bad_input(self):
        result = self.evacuate("begin", "", check=False)
        self.assertEqual(2, result.returncode)
        self.assertIn("allowed", result.stdout)
