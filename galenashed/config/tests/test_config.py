"""Settings and notes: every fault at once, with its place."""

import pathlib
import tempfile

import testtools

from galenashed import config

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


class TestFindings(testtools.TestCase):
    """What the checks say of faulty files."""

    def findings(self, text: str, load=config.load_note) -> list[str]:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "file.toml"
            path.write_text(text, encoding="utf-8")
            result = load(path)
            if result.is_ok():
                return []
            prefix = f"{path}:"
            return [str(f).removeprefix(prefix) for f in result.error]

    def test_all_faults_are_reported_with_their_lines(self):
        found = self.findings(
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
        places = [line.split(": ")[:2] for line in found]
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
            places,
        )
        # What may be a key is not shown.
        self.assertNotIn("secret-key-put-here", "".join(found))

    def test_lines_after_long_values(self):
        found = self.findings(
            '[note]\nnumber = 1\nauthor = """a\nb\nc"""\n# [team]\n'
            '[[model]]\nname = "m"\nversion = "1"\nadapters = [\n'
            '  "x",\n  "x",\n]\nmax_output = -1\n'
        )
        self.assertEqual(["10", "14"], [f.split(":")[0] for f in found])

    def test_syntax_error_has_its_line(self):
        found = self.findings("[note]\nnumber = = 1\n")
        self.assertEqual(1, len(found))
        self.assertTrue(found[0].startswith("2: "), found)

    def test_missing_file(self):
        result = config.load_note(pathlib.Path("/nonexistent/note.toml"))
        self.assertIn("No such file", str(result.error[0]))

    def test_name_that_stands_twice(self):
        found = self.findings(
            '[note]\nnumber = 1\nauthor = "a"\n'
            '[[model]]\nname = "m"\nversion = "1"\n'
            '[[model]]\nname = "m"\nversion = "2"\n'
        )
        self.assertEqual(1, len(found))
        self.assertIn("stands twice", found[0])

    def test_wrong_kinds_of_values(self):
        found = self.findings(
            '[note]\nnumber = true\nauthor = 5\n[team]\nname = "x"\n'
        )
        text = "\n".join(found)
        self.assertIn("True is not a whole number", text)
        self.assertIn("5 is not a text", text)
        self.assertIn("is not an array of tables", text)

    def test_replica_count_and_addresses(self):
        found = self.findings(
            '[instance]\nname = "c9"\nfailure_domain = "k"\n'
            '[storage]\nfolder = "d"\n[peers]\nlisten = "nowhere"\n'
            'key_file = "missing.key"\n[operators]\nkey_hash = "x"\n'
            '[control]\ncluster = "c"\n[control.replicas]\n'
            'c1 = "127.0.0.1:1"\nc2 = "127.0.0.1:99999"\n',
            lambda path: config.load_settings(path, "control"),
        )
        text = "\n".join(found)
        for expected in (
            "'c9' is not a control replica",
            "allowed: 1, 3, 5, 7",
            "'nowhere' is not ip:port",
            "'127.0.0.1:99999' is not ip:port",
            "can't be read",
            "is not a key's hash",
        ):
            self.assertIn(expected, text)

    def test_examples_are_good(self):
        for kind in ("entry", "control", "operator"):
            path = EXAMPLES / "settings" / f"{kind}.toml"
            self.assertTrue(config.load_settings(path, kind).is_ok(), path)
            self.assertEqual(kind, config.detect_kind(path))
        for path in (EXAMPLES / "notes").iterdir():
            self.assertTrue(config.load_note(path).is_ok(), path)
