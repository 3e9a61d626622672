"""Tests of the prefix index."""

from unittest import TestCase

from poplarlug.routing import PrefixIndex
from poplarlug.routing.prefix_index import PREFIX_LIFETIME_SECONDS


class PrefixIndexTests(TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.index = PrefixIndex(clock=lambda: self.now, max_prefixes=10)

    def test_deepest_known_prefix_counts(self) -> None:
        """Each upstream counts with the longest prefix that it is known to cache."""
        self.index.add("e1", (1, 2, 3))
        self.index.add("e2", (1,))
        self.assertEqual(self.index.hit_blocks((1, 2, 9)), {"e1": 2, "e2": 1})

    def test_items_expire(self) -> None:
        """An item expires when it isn't used for its lifetime."""
        self.index.add("e1", (1,))
        self.now = PREFIX_LIFETIME_SECONDS + 1
        self.assertEqual(self.index.hit_blocks((1,)), {})

    def test_size_is_bounded(self) -> None:
        """The least recently used prefixes are evicted first."""
        for number in range(100):
            self.index.add("e1", (number,))
        self.assertEqual(len(self.index), 10)
        self.assertEqual(self.index.hit_blocks((99,)), {"e1": 1})
