"""Settings and notes: all errors are reported at once, with locations."""

import pathlib
import tempfile

import testtools

from galenashed import config

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


class TestFindings(testtools.TestCase):
    """The findings reported for invalid files, and none for the examples."""

    def load_findings(self, text: str, load=config.load_note) -> list[str]:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "file.toml"
            path.write_text(text, encoding="utf-8")
            result = load(path)
            if result.is_ok():
                return []
            prefix = f"{path}:"
            return [str(f).removeprefix(prefix) for f in result.error]

    def test_all_errors_are_reported_with_line_numbers(self):
        findings = self.load_findings(
            """[note]
number = 0
autor = "x"

[[team]]
name = "a b"
key_hash = "secret-key-put-here"
weight = 5000

[[budget]]
name = "b"
team = "a"
[[budget.top_up]]
id = "1"
tokens = "many"
"""
        )
        locations = [line.split(": ")[:2] for line in findings]
        self.assertEqual(
            [
                ["1", "note.author"],
                ["2", "note.number"],
                ["3", "note.autor"],
                ["6", "team[0].name"],
                ["7", "team[0].key_hash"],
                ["8", "team[0].weight"],
                ["15", "budget[0].top_up[0].tokens"],
            ],
            locations,
        )
        # The value may be a secret key, so that messages must not show it.
        self.assertNotIn("secret-key-put-here", "".join(findings))

    def test_line_numbers_after_multiline_values(self):
        findings = self.load_findings(
            '[note]\nnumber = 1\nauthor = """a\nb\nc"""\n# [team]\n'
            '[[model]]\nname = "m"\nversion = "1"\nadapters = [\n'
            '  "x",\n  "x",\n]\nmax_output = -1\n'
        )
        self.assertEqual(["10", "14"], [f.split(":")[0] for f in findings])

    def test_syntax_error_has_line_number(self):
        findings = self.load_findings("[note]\nnumber = = 1\n")
        self.assertEqual(1, len(findings))
        self.assertTrue(findings[0].startswith("2: "), findings)

    def test_missing_file(self):
        result = config.load_note(pathlib.Path("/nonexistent/note.toml"))
        self.assertIn("No such file", str(result.error[0]))

    def test_duplicate_name(self):
        findings = self.load_findings(
            '[note]\nnumber = 1\nauthor = "a"\n'
            '[[model]]\nname = "m"\nversion = "1"\n'
            '[[model]]\nname = "m"\nversion = "2"\n'
        )
        self.assertEqual(1, len(findings))
        self.assertIn("is defined twice", findings[0])

    def test_values_of_wrong_type(self):
        findings = self.load_findings(
            '[note]\nnumber = true\nauthor = 5\n[team]\nname = "x"\n'
        )
        text = "\n".join(findings)
        self.assertIn("True is not an integer", text)
        self.assertIn("5 is not a string", text)
        self.assertIn("is not an array of tables", text)

    def test_replica_count_and_addresses(self):
        findings = self.load_findings(
            '[instance]\nname = "c9"\nfailure_domain = "k"\n'
            '[storage]\nfolder = "d"\n[peers]\nlisten = "nowhere"\n'
            'key_file = "missing.key"\n[operators]\nkey_hash = "x"\n'
            '[control]\ncluster = "c"\n[control.replicas]\n'
            'c1 = "127.0.0.1:1"\nc2 = "127.0.0.1:99999"\n',
            lambda path: config.load_settings(path, "control"),
        )
        text = "\n".join(findings)
        for expected in (
            "'c9' is not a control replica",
            "allowed: 1, 3, 5, 7",
            "'nowhere' is not ip:port",
            "'127.0.0.1:99999' is not ip:port",
            "can't be read",
            "is not a key's hash",
        ):
            self.assertIn(expected, text)

    def test_limits_of_clients_are_checked(self):
        findings = self.load_findings(
            "[callers]\nmax_head_bytes = 1\nmax_held_bytes = 1\n"
            "stall_timeout = 0.0\n[peers]\nmax_connections = 1\n",
            lambda path: config.load_settings(path, "entry"),
        )
        text = "\n".join(findings)
        for name in (
            "callers.max_head_bytes",
            "callers.max_held_bytes",
            "callers.stall_timeout",
            "peers.max_connections",
        ):
            self.assertIn(name, text)

    def test_examples_are_valid(self):
        for kind in ("entry", "control", "operator"):
            path = EXAMPLES / "settings" / f"{kind}.toml"
            self.assertTrue(config.load_settings(path, kind).is_ok(), path)
            self.assertEqual(kind, config.detect_kind(path))
        for path in (EXAMPLES / "notes").iterdir():
            self.assertTrue(config.load_note(path).is_ok(), path)
