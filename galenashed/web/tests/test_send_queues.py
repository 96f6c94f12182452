"""Measures of data that waits on connections."""

import testtools

from galenashed.web import _send_queues


class TestSendQueues(testtools.TestCase):
    """Callers that don't read must not look like a slow link for long."""

    def test_blocked_after_a_while_and_left_out_when_stalled(self):
        sizes = {"a": 100, "b": 50, "c": 0}
        queues = _send_queues.SendQueues(read_size=sizes.get)
        self.assertEqual((150, 0), tuple(queues.measure("abc", 0.0)))
        sizes["b"] = 0
        self.assertEqual((100, 1), tuple(queues.measure("abc", 0.6)))
        sizes["b"] = 20
        self.assertEqual((120, 1), tuple(queues.measure("abc", 4.0)))
        self.assertEqual((20, 1), tuple(queues.measure("abc", 5.5)))

    def test_part_of_many_connections_stands_for_all(self):
        measured = []

        def read_size(number):
            measured.append(number)
            return 10

        queues = _send_queues.SendQueues(read_size=read_size)
        for now in (0.0, 0.6):
            queue = queues.measure(range(1024), now)
        part = len(measured) // 2
        self.assertTrue(200 < part < 312, part)
        self.assertEqual((40 * part, 4 * part), tuple(queue))
