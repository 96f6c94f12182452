"""Every entry is chosen as a peer, whatever the random draws."""

import random

import testtools

from galenashed import membership


class TestOverlay(testtools.TestCase):
    """Selection of peers, over all entries."""

    def test_each_entry_is_chosen_by_two_others_at_least(self):
        for size in (3, 10, 63, 370):
            names = {f"10.0.{n // 256}.{n % 256}:1" for n in range(size)}
            for seed in range(20):
                rng = random.Random(seed)
                sender_counts = dict.fromkeys(names, 0)
                for own in names:
                    for peer in membership.choose_peers(own, names, 4, rng):
                        self.assertNotEqual(own, peer)
                        sender_counts[peer] += 1
                self.assertGreaterEqual(min(sender_counts.values()), 2)

    def test_number_of_peers_is_bounded(self):
        names = {str(n) for n in range(1000)}
        peers = membership.choose_peers("5", names, 4, random.Random(1))
        self.assertEqual(4, len(set(peers)))

    def test_no_peers_without_other_entries(self):
        found = membership.choose_peers("a", {"a"}, 4, random.Random(1))
        self.assertEqual([], found)
