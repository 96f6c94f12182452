"""Tests of the measurement of processor time."""

import testtools

from galenashed import telemetry


class TestProcessorMeter(testtools.TestCase):
    """Smoothing, too frequent samples, and the usage of a real process."""

    def setUp(self):
        super().setUp()
        self.processor_seconds = 5.0
        self.meter = telemetry.ProcessorMeter(
            read_seconds=lambda: self.processor_seconds
        )

    def test_converges_to_steady_usage(self):
        cores = []
        for second in range(20):
            cores.append(self.meter.cores_used(now=float(second)))
            self.processor_seconds += 0.3
        self.assertEqual(0.0, cores[0])
        self.assertAlmostEqual(0.3, cores[-1], places=3)

    def test_ignores_samples_within_one_second(self):
        self.meter.cores_used(now=0.0)
        self.processor_seconds += 0.5
        before = self.meter.cores_used(now=1.0)
        self.processor_seconds += 0.5
        self.assertEqual(before, self.meter.cores_used(now=1.5))

    def test_measures_usage_of_this_process(self):
        meter = telemetry.ProcessorMeter()
        meter.cores_used(now=0.0)
        before = telemetry.processor_seconds()
        while telemetry.processor_seconds() - before < 0.05:
            sum(range(10_000))
        self.assertGreater(meter.cores_used(now=1.0), 0.01)
