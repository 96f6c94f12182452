"""Tests of simulations and of experiment files."""

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
    """The gateway's placement compared with simpler policies.

    The load has clumps of long prompts beside short prompts.
    """

    def setUp(self):
        super().setUp()
        self.load = msgspec.toml.decode(EXPERIMENT)

    def run_cases(self, *cases):
        fields = {**self.load, "cases": list(cases)}
        experiment = msgspec.convert(fields, emulator.Experiment)
        return emulator.run_experiment(experiment)

    def test_it_misses_fewer_objectives_than_simpler_policies(self):
        names = [
            "predicted",
            *sorted(set(emulator.PLACEMENT_POLICIES) - {"predicted"}),
        ]
        predicted, *others = self.run_cases(
            *({"name": name, "placement": name} for name in names)
        )
        for other in others:
            self.assertLess(predicted.late_first, other.late_first)
            self.assertGreater(predicted.worth, other.worth)

    def test_few_entries_choose_better_than_many(self):
        few, many = self.run_cases(
            {"name": "few", "entries": {"entries": 3}},
            {"name": "many", "entries": {"entries": 10}},
        )
        self.assertLess(few.late_first, many.late_first)

    def test_it_has_more_cache_hits_than_random_placement(self):
        predicted, at_random = self.run_cases(
            {"name": "predicted"},
            {"name": "random", "placement": "random"},
        )
        self.assertGreater(predicted.cached, at_random.cached)

    def test_every_request_finishes_once(self):
        load = msgspec.convert(self.load["load"], emulator.LoadSettings)
        arrivals = emulator.generate_arrivals(load, random.Random(3))
        fleet = emulator.Fleet(
            cfg=emulator.FleetSettings(entries=2, slow=1),
            engine_cfg=emulator.EngineSettings(),
            policy=emulator.PLACEMENT_POLICIES["predicted"],
            rng=random.Random(4),
        )
        outcomes = fleet.run(arrivals)
        self.assertEqual(
            sorted(arrivals, key=id),
            sorted((outcome.arrival for outcome in outcomes), key=id),
        )


class TestExperimentFile(testtools.TestCase):
    """Experiment files are read, and errors name the invalid value."""

    def read(self, text):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = pathlib.Path(directory.name) / "experiment.toml"
        path.write_text(text, encoding="utf-8")
        return emulator.read_experiment(path)

    def test_an_unknown_placement_lists_the_known_ones(self):
        text = EXPERIMENT + '[[cases]]\nname = "x"\nplacement = "best"\n'
        exc = self.assertRaises(emulator.ExperimentError, self.read, text)
        self.assertIn("'best'", str(exc))
        self.assertIn("home-only", str(exc))

    def test_a_field_of_the_wrong_type_is_named(self):
        text = EXPERIMENT.replace("rate = 12.0", 'rate = "fast"')
        exc = self.assertRaises(emulator.ExperimentError, self.read, text)
        self.assertIn("rate", str(exc))

    def test_the_example_can_be_read(self):
        root = pathlib.Path(__file__).parents[3]
        experiment = emulator.read_experiment(
            root / "examples" / "experiments" / "clumped-prompts.toml"
        )
        self.assertEqual(6, experiment.engines.count)

    def test_the_table_has_one_row_for_each_case(self):
        text = EXPERIMENT.replace("seconds = 8.0", "seconds = 1.0")
        experiment = self.read(text + '[[cases]]\nname = "x"\n')
        headings, rows = emulator.format_table(
            emulator.run_experiment(experiment)
        )
        self.assertEqual("case", headings[0])
        self.assertEqual(["x"], [row[0] for row in rows])
        self.assertEqual(len(headings), len(rows[0]))
