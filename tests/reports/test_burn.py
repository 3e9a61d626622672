"""Tests of burn rates with known figures."""

from unittest import TestCase

from poplarlug.catalog import Rank
from poplarlug.reports.burn import (
    ALL,
    BurnKey,
    BurnReport,
    BurnRow,
    Observation,
)
from poplarlug.reports.objectives import Outcome, judge
from poplarlug.requestlog import RequestRecord

END = 1_800_000_000.0
MINUTE, HOUR, DAY = 60.0, 3600.0, 86400.0
RANKS = {
    "urgent": Rank("urgent", objective=0.99),
    "patient": Rank("patient", objective=0.9),
}


def seen(
    age: float, good: int, total: int, rank: str = "urgent", account: str = "verde"
) -> Observation:
    return Observation(END - age, rank, "costa", account, Outcome(good, total))


def rows_of(*observations: Observation, top: int = 5) -> dict[BurnKey, BurnRow]:
    report = BurnReport(ranks=RANKS, end=END, period_seconds=30 * DAY)
    report.add_all(observations)
    return {row.key: row for row in report.rows(top_accounts=top)}


class BurnTests(TestCase):
    def test_rates_of_each_window(self) -> None:
        """Each window counts what ended within it and nothing older."""
        rows = rows_of(
            seen(MINUTE, 90, 100),
            seen(10 * MINUTE, 100, 100),
            seen(2 * HOUR, 190, 200),
            seen(DAY, 600, 600),
            seen(20 * DAY, 1000, 1000),
        )
        row = rows[BurnKey("urgent")]
        rates = [(w.short_rate, w.long_rate) for w in row.windows]
        expected = [(10.0, 5.0), (5.0, 5.0), (5.0, 2.0)]
        for got, wanted in zip(rates, expected, strict=True):
            self.assertAlmostEqual(got[0], wanted[0])
            self.assertAlmostEqual(got[1], wanted[1])
        self.assertEqual([w.alert for w in row.windows], [False, False, True])
        self.assertEqual((row.good, row.total), (1980, 2000))
        self.assertAlmostEqual(row.budget_left, 0.0)

    def test_alert_needs_both_windows(self) -> None:
        """An alert that is over, or too young to matter, does not sound."""
        over = rows_of(seen(30 * MINUTE, 0, 100), seen(MINUTE, 100, 100))
        young = rows_of(seen(30 * MINUTE, 9900, 9900), seen(MINUTE, 0, 100))
        both = rows_of(seen(30 * MINUTE, 0, 100), seen(MINUTE, 0, 100))
        alerts = [
            rows[BurnKey("urgent")].windows[0].alert for rows in (over, young, both)
        ]
        self.assertEqual(alerts, [False, False, True])

    def test_objective_is_the_ranks_own(self) -> None:
        """The same misses burn a looser objective ten times slower."""
        rows = rows_of(seen(1, 95, 100), seen(1, 95, 100, rank="patient"))
        self.assertAlmostEqual(rows[BurnKey("urgent")].budget_left, -4.0)
        self.assertAlmostEqual(rows[BurnKey("patient")].budget_left, 0.5)

    def test_rows_by_region_and_worst_accounts(self) -> None:
        """Accounts that burn most come first, no more than asked for."""
        observations = [
            seen(1, 100 - number, 100, account=f"a{number}") for number in range(10)
        ]
        rows = rows_of(*observations, top=3)
        accounts = [key.account for key in rows if key.account != ALL]
        self.assertEqual(accounts, ["a9", "a8", "a7"])
        self.assertEqual(rows[BurnKey("urgent", "costa")].total, 1000)

    def test_unknown_ranks_and_other_times_do_not_count(self) -> None:
        """Requests of no known rank, of the future or too old are left out."""
        rows = rows_of(seen(1, 0, 1, rank="none"), seen(-5, 0, 1), seen(31 * DAY, 0, 1))
        self.assertEqual(rows, {})

    def test_series_has_the_rate_of_each_step(self) -> None:
        """The series for the plot has a point for each step with requests."""
        report = BurnReport(ranks=RANKS, end=END, period_seconds=DAY)
        report.add_all([seen(HOUR, 99, 100), seen(HOUR, 97, 100), seen(1, 10, 10)])
        rates = [round(rate, 6) for _, rate in report.series("urgent")]
        self.assertEqual(rates, [2.0, 0.0])


class JudgeTests(TestCase):
    def test_what_counts_and_what_is_met(self) -> None:
        """Refusals and late answers miss; callers' own mistakes don't count."""
        rank = Rank("urgent", first_token_target_seconds=1.9, target_seconds=10)
        cases = [
            (200, 1.9, 10.0, Outcome(1, 1)),
            (200, 1.91, 5.0, Outcome(0, 1)),
            (200, 0.5, 10.01, Outcome(0, 1)),
            (503, None, 0.01, Outcome(0, 1)),
            (502, 0.5, 1.0, Outcome(0, 1)),
            (429, None, 0.01, Outcome(0, 1)),
            (404, None, 0.01, Outcome(0, 0)),
            (0, 0.5, 1.0, Outcome(0, 0)),
        ]
        for status, first, total, expected in cases:
            record = RequestRecord(
                time=END,
                request_id="r",
                entry="e",
                region="costa",
                status=status,
                first_token_seconds=first,
                total_seconds=total,
            )
            self.assertEqual(judge(record, rank), expected, msg=record)
