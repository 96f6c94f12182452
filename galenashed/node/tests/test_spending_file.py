"""The file in which a place keeps what its holders may have spent."""

import pathlib
import tempfile

import testtools

from galenashed.node import _spending_file


class TestSpendingFile(testtools.TestCase):
    """Bounds of predecessors, until control has them."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name, "spending")

    def open(self, holder):
        file = _spending_file.SpendingFile(path=self.path, holder=holder)
        file.open()
        return file

    def predecessors(self, holder):
        return [
            (item.holder, item.bounds)
            for item in self.open(holder).predecessors
        ]

    def test_missing_file_proves_nothing(self):
        self.assertEqual([], self.predecessors("p/2"))

    def test_damaged_file_proves_nothing(self):
        self.open("p/1").write({"p/1/1": 5})
        self.path.write_bytes(self.path.read_bytes()[:-1] + b"x")
        self.assertEqual([], self.predecessors("p/2"))

    def test_last_bounds_count(self):
        file = self.open("p/1")
        file.write({"p/1/1": 5})
        file.write({"p/1/1": 3, "p/1/2": 7})
        self.assertEqual(
            [("p/1", {"p/1/1": 3, "p/1/2": 7})], self.predecessors("p/2")
        )

    def test_bounds_are_kept_until_control_has_them(self):
        # The second process dies before its report, the third after it.
        self.open("p/1").write({"p/1/1": 5})
        self.open("p/2").write({"p/2/1": 6})
        third = self.open("p/3")
        third.write({"p/3/1": 7})
        self.assertEqual(
            ["p/1", "p/2", "p/3"], [n for n, _ in self.predecessors("p/4")]
        )
        third.forget_predecessors()
        third.write({"p/3/1": 8})
        self.assertEqual([("p/3", {"p/3/1": 8})], self.predecessors("p/4"))

    def test_holder_of_another_place_may_still_run(self):
        self.open("q/1").write({"q/1/1": 5})
        self.assertEqual([], self.predecessors("p/2"))
