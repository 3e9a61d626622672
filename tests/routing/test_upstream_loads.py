"""Tests of upstream load estimates and concurrency limits."""

from unittest import TestCase

from poplarlug.membership.upstreams import Announcement
from poplarlug.routing import UpstreamLoads

ENGINE = Announcement("e1", "engine", "127.0.0.1:1", sequence=1, capacity=8)


class UpstreamLoadsTests(TestCase):
    def setUp(self) -> None:
        self.loads = UpstreamLoads(entry_count=2)

    def test_report_counts_others_and_not_the_own_twice(self) -> None:
        """This entry's requests are not counted again when a report includes them."""
        for _ in range(2):
            self.loads.record_start(ENGINE)
        report = ENGINE._replace(sequence=2, running=5)
        self.assertEqual(self.loads.total(report), 5)
        self.loads.record_start(report)
        self.assertEqual(self.loads.total(report), 6)

    def test_older_report_changes_nothing(self) -> None:
        """The end of a request passes an old report, which must not be applied."""
        self.loads.record_start(ENGINE)
        report = ENGINE._replace(sequence=2, running=4)
        self.assertEqual(self.loads.total(report), 4)
        self.loads.record_end(ENGINE)
        self.assertEqual(self.loads.total(report), 3)

    def test_limit_shrinks_on_queues_and_grows_without(self) -> None:
        """A used limit shrinks when the upstream queues and grows when it doesn't."""
        for _ in range(4):
            self.loads.record_start(ENGINE)
        queued = ENGINE._replace(sequence=2, running=8, queued=3)
        self.assertEqual(self.loads.limit(queued), 3)
        for sequence in range(3, 8):
            idle = ENGINE._replace(sequence=sequence, running=4)
            self.loads.limit(idle)
        self.assertEqual(self.loads.limit(idle), 5)

    def test_shared_free_slots_count_all_entries(self) -> None:
        """Shared free slots are the capacity less the requests of all entries."""
        full = ENGINE._replace(sequence=2, running=7)
        self.assertEqual(self.loads.shared_free_slots(full), 1)

    def test_departed_upstreams_are_forgotten(self) -> None:
        """The table doesn't grow with upstreams that have left."""
        for number in range(1000):
            self.loads.total(ENGINE._replace(id=f"e{number}"))
            self.loads.keep_only([ENGINE])
        self.assertLess(len(self.loads), 100)
