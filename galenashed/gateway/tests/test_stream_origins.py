import testtools

from galenashed import gateway
from galenashed.protocol import gossip
from galenashed.protocol import streams
from galenashed import routing


def origin(request, version="v1", keep_seconds=10.0):
    return streams.StreamOrigin(
        request=request,
        service="s",
        version=version,
        keep_seconds=keep_seconds,
    )


class TestOriginRecords(testtools.TestCase):
    def test_oldest_records_are_dropped_at_the_bound(self):
        records = gateway.OriginRecords(max_records=2)
        for number in range(3):
            records.add(origin(f"r{number}"), now=float(number))
        self.assertIsNone(records.get("r0", now=3.0))
        self.assertEqual(origin("r1"), records.get("r1", now=3.0))
        self.assertEqual(2, len(records))

    def test_record_expires_unless_the_stream_goes_on(self):
        records = gateway.OriginRecords()
        records.add(origin("r"), now=0.0)
        records.add(origin("r"), now=8.0)
        self.assertEqual(origin("r"), records.get("r", now=17.0))
        self.assertIsNone(records.get("r", now=18.0))

    def test_second_origin_of_a_stream_is_not_accepted(self):
        records = gateway.OriginRecords()
        self.assertTrue(records.add(origin("r", "v1"), now=0.0))
        self.assertFalse(records.add(origin("r", "v2"), now=1.0))
        self.assertEqual("v1", records.get("r", now=2.0).version)


class TestVersions(testtools.TestCase):
    """Which versions targets have had, for streams of unknown beginning."""

    def setUp(self):
        super().setUp()
        self.targets = gateway.Targets(
            domain="east", limits=routing.TargetLimits(name="entry")
        )

    def announce(self, version, started=0.0, sequence=1):
        self.targets.update(
            gossip.Target(
                name="t",
                incarnation=str(started),
                started=started,
                sequence=sequence,
                service="s",
                address="127.0.0.1:1",
                failure_domain="east",
                version=version,
            )
        )

    def test_version_before_a_restart_under_the_same_id_is_remembered(self):
        self.announce("v1")
        self.targets.set_alive(["t"], ["t"], now=1.0)
        self.announce("v2", started=5.0)
        self.targets.set_alive(["t"], ["t"], now=5.0)
        self.assertEqual({"v1", "v2"}, self.targets.versions("s", since=1.0))
        self.assertEqual({"v2"}, self.targets.versions("s", since=2.0))

    def test_version_that_is_not_named_is_a_version(self):
        self.announce("")
        self.assertEqual({""}, self.targets.versions("s", since=0.0))
        self.announce("v2", started=5.0)
        self.assertEqual({"", "v2"}, self.targets.versions("s", since=0.0))

    def other_versions_at(self, now):
        self.targets.set_alive(["t"], ["t"], now=now)
        return self.targets.other_versions("s", "v1")

    def test_target_that_was_down_may_have_another_version(self):
        self.announce("v1")
        self.targets.on_refused(self.targets.get("t"), 10.0)
        self.assertEqual({"t"}, self.other_versions_at(10.5))
        # A report that may have been sent before it was down.
        self.announce("v1", sequence=2)
        self.assertEqual({"t"}, self.other_versions_at(11.0))
        self.assertEqual({"t"}, self.other_versions_at(14.0))
        self.announce("v1", sequence=3)
        self.assertEqual(set(), self.other_versions_at(14.5))

    def test_target_that_was_down_reports_its_restart(self):
        self.announce("v1")
        self.targets.on_refused(self.targets.get("t"), 10.0)
        self.announce("v1", started=11.0)
        self.assertEqual(set(), self.other_versions_at(11.5))

    def test_restart_that_is_reported_late_corrects_where_streams_began(self):
        self.announce("v1", started=100.0)

        def corrected_version(begun_at):
            corrected = self.targets.correct_origin(
                streams.StreamOrigin(
                    request="r",
                    service="s",
                    version="v1",
                    keep_seconds=10.0,
                    target="t",
                    started=100.0,
                    begun_at=begun_at,
                )
            )
            return corrected and corrected.version

        self.assertEqual("v1", corrected_version(210.0))
        self.announce("v2", started=200.0)
        self.assertEqual("v1", corrected_version(190.0))
        self.assertEqual("v2", corrected_version(210.0))
        # Clocks may differ by more than that.
        self.assertIsNone(corrected_version(200.5))
