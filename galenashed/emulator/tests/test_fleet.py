"""Placement replayed against clumps of long prompts."""

import pathlib
import random
import tempfile

import msgspec
import testtools

from galenashed import emulator

EXPERIMENT = """
seeds = [1, 2]
[load]
seconds = 8.0
[[load.kinds]]
name = "long"
rate = 12.0
parts = [{ tokens = 2500, count = 4 }, { tokens = 3800, count = 200 }]
own = 2900
output = 52
objective_ms = 800.0
limit_ms = 6000.0
[[load.kinds]]
name = "short"
rate = 27.0
parts = [{ tokens = 100, count = 20 }]
own = 1100
output = 150
objective_ms = 500.0
limit_ms = 6000.0
"""


class TestPlacement(testtools.TestCase):
    """The gateway's placement against the simple ones."""

    def setUp(self):
        super().setUp()
        self.load = msgspec.toml.decode(EXPERIMENT)

    def play(self, *cases):
        text = {**self.load, "cases": list(cases)}
        experiment = msgspec.convert(text, emulator.Experiment)
        return emulator.run(experiment)

    def test_it_is_late_less_often_than_the_simple_ones(self):
        names = ["predicted", *sorted(set(emulator.PLACERS) - {"predicted"})]
        predicted, *others = self.play(
            *({"name": name, "placement": name} for name in names)
        )
        for other in others:
            self.assertLess(predicted.late_first, other.late_first)
            self.assertGreater(predicted.worth, other.worth)

    def test_few_entries_choose_better_than_many(self):
        few, many = self.play(
            {"name": "few", "entries": {"entries": 3}},
            {"name": "many", "entries": {"entries": 10}},
        )
        self.assertLess(few.late_first, many.late_first)

    def test_sessions_find_their_parts(self):
        predicted, at_random = self.play(
            {"name": "predicted"},
            {"name": "random", "placement": "random"},
        )
        self.assertGreater(predicted.cached, at_random.cached)

    def test_every_request_ends_once(self):
        load = msgspec.convert(self.load["load"], emulator.LoadSettings)
        arrivals = emulator.arrivals(load, random.Random(3))
        fleet = emulator.Fleet(
            cfg=emulator.FleetSettings(entries=2, slow=1),
            engines=emulator.EngineSettings(),
            placer=emulator.PLACERS["predicted"],
            rng=random.Random(4),
        )
        outcomes = fleet.run(arrivals)
        self.assertEqual(
            sorted(arrivals, key=id),
            sorted((item.arrival for item in outcomes), key=id),
        )


class TestExperimentFile(testtools.TestCase):
    """Files that can't be played name what is wrong."""

    def read(self, text):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "experiment.toml"
        path.write_text(text, encoding="utf-8")
        return emulator.read(path)

    def test_an_unknown_placement_names_the_allowed_ones(self):
        text = EXPERIMENT + '[[cases]]\nname = "x"\nplacement = "best"\n'
        exc = self.assertRaises(emulator.ExperimentError, self.read, text)
        self.assertIn("'best'", str(exc))
        self.assertIn("home-only", str(exc))

    def test_a_field_of_the_wrong_kind_is_named(self):
        text = EXPERIMENT.replace("rate = 12.0", 'rate = "fast"')
        exc = self.assertRaises(emulator.ExperimentError, self.read, text)
        self.assertIn("rate", str(exc))

    def test_the_example_can_be_read(self):
        root = pathlib.Path(__file__).parents[3]
        found = emulator.read(
            root / "examples" / "experiments" / "clumped-prompts.toml"
        )
        self.assertEqual(6, found.engines.count)

    def test_a_table_has_a_row_a_case(self):
        text = EXPERIMENT.replace("seconds = 8.0", "seconds = 1.0")
        found = self.read(text + '[[cases]]\nname = "x"\n')
        headings, rows = emulator.table(emulator.run(found))
        self.assertEqual("case", headings[0])
        self.assertEqual(["x"], [row[0] for row in rows])
        self.assertEqual(len(headings), len(rows[0]))
