import asyncio
import pathlib
import tempfile

import testtools

from galenashed.control import _versions
from galenashed.protocol import streams as wire


class TestVersionRecords(testtools.TestCase):
    """Guards against streams that go on at a version that is forgotten."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "versions"
        self.now = 1_000_000.0

    def open(self, *, complete):
        records = _versions.VersionRecords(
            path=self.path, clock=lambda: self.now
        )
        records.open(complete=complete)
        return records

    def record(self, records, *versions):
        items = [
            wire.SoftwareVersion(service="s", version=version)
            for version in versions
        ]
        asyncio.run(records.record(items))

    def test_version_is_known_after_a_restart(self):
        self.record(self.open(complete=True), "v1", "v2")
        reply = self.open(complete=False).find("s", 60.0)
        self.assertEqual(["v1", "v2"], reply.versions)
        self.assertTrue(reply.complete)
        self.assertEqual(
            [], self.open(complete=False).find("t", 60.0).versions
        )

    def test_new_disk_is_incomplete_until_it_covers_the_time(self):
        records = self.open(complete=False)
        self.assertFalse(records.find("s", 60.0).complete)
        self.now += 61.0
        self.assertTrue(records.find("s", 60.0).complete)

    def test_damaged_file_is_incomplete(self):
        self.record(self.open(complete=True), "v1")
        self.path.write_bytes(b"damaged")
        self.assertFalse(self.open(complete=True).find("s", 60.0).complete)

    def test_records_that_cannot_be_written_are_not_acknowledged(self):
        self.path = self.path / "missing" / "versions"
        records = self.open(complete=True)
        self.assertRaises(OSError, self.record, records, "v1")
        self.assertEqual([], records.find("s", 60.0).versions)

    def test_version_that_is_no_longer_recorded_is_dropped(self):
        records = self.open(complete=True)
        self.record(records, "v1", "v2")
        for _ in range(4):
            self.now += _versions.REFRESH_SECONDS
            self.record(records, "v2")
        self.assertEqual(["v2"], records.find("s", 60.0).versions)
        self.assertEqual(["v1", "v2"], records.find("s", 300.0).versions)

    def test_unchanged_versions_are_not_written_again(self):
        records = self.open(complete=True)
        self.record(records, "v1")
        self.path.unlink()
        self.record(records, "v1")
        self.assertFalse(self.path.exists())
        self.record(records, "v2")
        self.assertTrue(self.path.exists())
