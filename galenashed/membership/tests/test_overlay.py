"""Nobody is left untold, whatever is drawn."""

import random

import testtools

from galenashed import membership


class TestOverlay(testtools.TestCase):
    """Partners of all entries taken together."""

    def test_each_entry_is_told_by_two_others_at_least(self):
        for size in (3, 10, 63, 370):
            names = {f"10.0.{n // 256}.{n % 256}:1" for n in range(size)}
            for seed in range(20):
                rng = random.Random(seed)
                told = dict.fromkeys(names, 0)
                for own in names:
                    for partner in membership.choose_peers(own, names, 4, rng):
                        self.assertNotEqual(own, partner)
                        told[partner] += 1
                self.assertGreaterEqual(min(told.values()), 2)

    def test_few_partners_however_many_there_are(self):
        names = {str(n) for n in range(1000)}
        partners = membership.choose_peers("5", names, 4, random.Random(1))
        self.assertEqual(4, len(set(partners)))

    def test_alone(self):
        found = membership.choose_peers("a", {"a"}, 4, random.Random(1))
        self.assertEqual([], found)
