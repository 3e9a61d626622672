"""Tests of the per-entry shares of retry and warm-up budgets."""

from unittest import TestCase

from poplarlug.relay.budgets import (
    RetryBudget,
    RetryLimits,
    WarmupBudget,
    WarmupLimits,
)

LIMITS = RetryLimits(ratio=0.2, extra=56, window_seconds=10.0)


class RetryBudgetTests(TestCase):
    def setUp(self) -> None:
        self.now = 0.0

    def test_all_entries_together_stay_within_the_bound(self) -> None:
        """Eight entries that retry as much as they may stay below the total budget."""
        budgets = [RetryBudget(limits=LIMITS, clock=lambda: self.now) for _ in range(8)]
        requests = 0
        retries = 0
        for tick in range(300):
            self.now = tick / 10
            for budget in budgets:
                budget.note_request()
                requests += 1
                retries += budget.try_acquire(len(budgets))
        windows = 30 / LIMITS.window_seconds
        bound = LIMITS.ratio * requests + LIMITS.extra * windows
        self.assertLessEqual(retries, bound)
        self.assertGreater(retries, bound / 3)

    def test_half_of_the_entries_out_of_sight_stay_within_the_bound(self) -> None:
        """The limit holds although each entry knows only six of the eight entries."""
        budgets = [RetryBudget(limits=LIMITS, clock=lambda: self.now) for _ in range(8)]
        retries = sum(budget.try_acquire(6) for budget in budgets for _ in range(100))
        self.assertLessEqual(retries, LIMITS.extra)

    def test_entries_that_know_few_others_take_no_part_of_the_extra(self) -> None:
        """After a simultaneous start, each entry would use all extra retries itself."""
        # Guards against retries at a multiple of the limit while entries don't know
        # how many of them there are.
        budgets = [RetryBudget(limits=LIMITS, clock=lambda: self.now) for _ in range(8)]
        retries = sum(
            budget.try_acquire(None) for budget in budgets for _ in range(100)
        )
        self.assertEqual(retries, 0)
        for _ in range(10):
            budgets[0].note_request()
        self.assertTrue(budgets[0].try_acquire(None))


class WarmupBudgetTests(TestCase):
    def setUp(self) -> None:
        self.now = 0.0

    def sends_a_second(self, entries: int) -> int:
        budgets = [
            WarmupBudget(limits=WarmupLimits(), clock=lambda: self.now)
            for _ in range(entries)
        ]
        sends = []
        for tick in range(400):
            self.now = tick / 100
            for position, budget in enumerate(budgets):
                if budget.allows(rate=2.8, entries=entries, position=position):
                    budget.note_sent()
                    sends.append(self.now)
        return max(sum(at <= s < at + 1.0 for s in sends) for at in sends)

    def test_entries_together_stay_within_the_bound(self) -> None:
        """A cold upstream gets its allowed rate in any second, for any entry count."""
        bound = 2.8 * 1.5 + 3.0
        for entries in (1, 3, 20):
            with self.subTest(entries=entries):
                sends = self.sends_a_second(entries)
                self.assertLessEqual(sends, bound)
                self.assertGreaterEqual(sends, int(bound))
