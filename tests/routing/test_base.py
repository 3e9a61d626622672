"""Tests of the helpers that all routing policies share."""

from unittest import TestCase

from poplarlug.routing import Fleet, ZoneView
from poplarlug.routing.base import without_entries

COSTA = ZoneView("costa-a", "costa", ("c1", "c2"), ("corn-7b",), (), 1, 0, 16)


class WithoutEntriesTests(TestCase):
    def test_zone_without_entries_is_removed(self) -> None:
        """Excluded entries are removed, and a zone without entries with them."""
        fleet = Fleet((), {}, (COSTA,))
        one_left = without_entries(fleet, frozenset({"c1"}))
        self.assertEqual(one_left.zones[0].entries, ("c2",))
        self.assertEqual(without_entries(fleet, frozenset({"c1", "c2"})).zones, ())
