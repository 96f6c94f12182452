"""The account of processor time."""

import testtools

from galenashed import telemetry


class TestProcessorMeter(testtools.TestCase):
    """Smoothing, and samples that come too often."""

    def setUp(self):
        super().setUp()
        self.spent = 5.0
        self.meter = telemetry.ProcessorMeter(spent=lambda: self.spent)

    def test_a_steady_use_is_approached(self):
        used = []
        for second in range(20):
            used.append(self.meter.used(now=float(second)))
            self.spent += 0.3
        self.assertEqual(0.0, used[0])
        self.assertAlmostEqual(0.3, used[-1], places=3)

    def test_samples_within_a_second_change_nothing(self):
        self.meter.used(now=0.0)
        self.spent += 0.5
        before = self.meter.used(now=1.0)
        self.spent += 0.5
        self.assertEqual(before, self.meter.used(now=1.5))

    def test_a_process_that_works_is_seen(self):
        meter = telemetry.ProcessorMeter()
        meter.used(now=0.0)
        before = telemetry.processor_seconds()
        while telemetry.processor_seconds() - before < 0.05:
            sum(range(10_000))
        self.assertGreater(meter.used(now=1.0), 0.01)
