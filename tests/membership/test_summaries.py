"""Tests of the other zones' summaries."""

from unittest import TestCase

from poplarlug.membership.summaries import (
    REPORTER_FAILOVER_SECONDS,
    SUMMARY_INTERVAL_SECONDS,
    SUMMARY_TTL_SECONDS,
    SummaryTable,
    ZoneSummary,
    summarize_models,
)
from tests.membership.simulation import announcement

SHARE_DELAY_SECONDS = 1.25
"""Delay from a report until an entry receives it in the next shared batch."""


class SummaryTableTests(TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.table = SummaryTable(own="a-1", clock=lambda: self.now)

    def summary(
        self, entry: str = "b-1", sequence: int = 1, **f: object
    ) -> ZoneSummary:
        entries = ("b-1", "b-2", "b-3", "b-4")
        return ZoneSummary("b", "rb", entry, sequence, entries=entries)._replace(**f)

    def test_old_summary_counts_as_no_capacity(self) -> None:
        """The age on the wire and the time since arrival add up."""
        self.table.apply(self.summary(age=3.0))
        self.assertEqual(len(self.table.fresh()), 1)
        self.now = SUMMARY_TTL_SECONDS - 3.0
        self.assertEqual(self.table.by_entry(), ())
        self.assertFalse(
            self.table.apply(self.summary(sequence=2, age=SUMMARY_TTL_SECONDS))
        )

    def test_late_summary_of_a_reporter_is_dropped(self) -> None:
        """A summary with a smaller sequence or incarnation is ignored."""
        self.table.apply(self.summary(sequence=5, incarnation=2))
        self.assertFalse(self.table.apply(self.summary(sequence=4, incarnation=2)))
        self.assertFalse(self.table.apply(self.summary(sequence=9, incarnation=1)))

    def test_second_reporter_counts_when_the_first_is_silent(self) -> None:
        """A backup's summary is accepted only after the first reporter's has aged."""
        self.table.apply(self.summary())
        backup = self.summary("b-2", backup=True)
        self.assertFalse(self.table.apply(backup))
        self.now = REPORTER_FAILOVER_SECONDS + 0.1
        self.assertTrue(self.table.apply(backup))
        self.assertTrue(self.table.apply(self.summary(sequence=2)))

    def test_zone_stays_known_when_its_first_reporter_stops(self) -> None:
        """The other reporter takes over in time, whatever the phase of its reports."""
        # Guards against requests refused with "no upstream serves this now" for some
        # tenths of a second, 6 s after the last summary of a restarted reporter.
        for phase in range(1, 20):
            with self.subTest(phase=phase):
                self.now = 0.0
                self.table = SummaryTable(own="a-1", clock=lambda: self.now)
                self.table.apply(self.summary())
                next_report = phase / 10 * SUMMARY_INTERVAL_SECONDS / 2
                for tick in range(100):
                    self.now = tick / 10
                    if self.now >= next_report + SHARE_DELAY_SECONDS:
                        next_report += SUMMARY_INTERVAL_SECONDS
                        self.table.apply(
                            self.summary("b-2", sequence=tick, age=SHARE_DELAY_SECONDS)
                        )
                    self.assertIsNotNone(self.table.get("b"), f"at {self.now} s")

    def test_few_entries_to_forward_to(self) -> None:
        """A zone of any size contributes a bounded number of entries to forward to."""
        self.table.apply(self.summary())
        self.assertEqual(len(self.table.by_entry()), 3)

    def test_loads_add_up_by_model(self) -> None:
        """Each model's upstreams, requests and capacity are summed."""
        upstreams = [
            announcement("u1", running=1, queued=2, capacity=8),
            announcement("u2", running=3, capacity=8, models=("corn-7b", "x")),
        ]
        loads = summarize_models(upstreams)
        self.assertEqual(loads, (("corn-7b", 2, 4, 2, 16), ("x", 1, 3, 0, 8)))
