"""Tests of rate limits named by upstreams, and of their precedence."""

from itertools import permutations
from random import Random

from hypothesis import given, strategies as st

from poplarlug.discovery.named_limits import (
    UNKNOWN_RUN_TTL_SECONDS,
    NamedLimit,
    NamedLimits,
)
from poplarlug.discovery.records import UpstreamRun
from tests.control.quiet import QuietTestCase

RUN = UpstreamRun("u-1", 1)
RATES = st.none() | st.sampled_from([0.0, 0.25, 1.0, 2.5, 40.0])


class NamedLimitsTests(QuietTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 100.0
        self.limits = NamedLimits(clock=lambda: self.now)

    def observe(self, rate: float | None, *, requested_at: float) -> bool:
        return self.limits.observe(RUN, rate, requested_at)

    def test_limit_holds_until_an_answer_names_none(self) -> None:
        """Limits don't expire."""
        self.assertTrue(self.observe(2.0, requested_at=99.0))
        self.now = 10_000.0
        self.assertEqual(self.limits.rate(RUN), 2.0)
        self.assertTrue(self.observe(None, requested_at=9_999.0))
        self.assertIsNone(self.limits.rate(RUN))
        self.assertEqual(self.limits.rates_by_run, {})

    def test_answer_without_a_limit_is_no_news_where_there_was_none(self) -> None:
        """Nothing is stored for the many upstreams that never name a limit."""
        self.assertFalse(self.observe(None, requested_at=99.0))
        self.assertTrue(self.limits.is_empty)

    def test_answer_asked_for_before_the_limit_was_known_does_not_end_it(self) -> None:
        """The answer may predate the upstream's need for a limit."""
        self.observe(2.0, requested_at=99.0)
        self.assertFalse(self.observe(None, requested_at=99.5))
        self.assertFalse(self.observe(5.0, requested_at=99.5))
        self.assertTrue(self.observe(1.0, requested_at=99.5))
        self.assertEqual(self.limits.rate(RUN), 1.0)

    def test_two_entries_that_hear_at_once_agree_on_the_stricter(self) -> None:
        """They exchange their limits, in either order."""
        others = NamedLimits(clock=lambda: self.now)
        self.observe(2.0, requested_at=99.0)
        others.observe(RUN, 3.0, 99.0)
        for one, other in ((self.limits, others), (others, self.limits)):
            for limit in one.take_pending():
                other.add(limit)
        self.assertEqual((self.limits.rate(RUN), others.rate(RUN)), (2.0, 2.0))

    def test_late_message_undoes_nothing(self) -> None:
        """A VM that was frozen or cut off may send outdated limits."""
        self.observe(2.0, requested_at=99.0)
        (old,) = self.limits.changed_after(0)
        self.now = 200.0
        self.observe(None, requested_at=199.0)
        self.assertFalse(self.limits.add(old))
        self.assertIsNone(self.limits.rate(RUN))
        self.now = 300.0
        (ended,) = self.limits.changed_after(0)
        self.observe(1.0, requested_at=299.0)
        self.assertFalse(self.limits.add(ended))
        self.assertEqual(self.limits.rate(RUN), 1.0)

    @given(st.lists(st.tuples(st.integers(1, 3), RATES), min_size=1, max_size=4))
    def test_order_of_arrival_does_not_matter(
        self, said: list[tuple[int, float | None]]
    ) -> None:
        """VMs that received the same limits agree, whatever the order."""
        arrivals = [NamedLimit(RUN, version, rate) for version, rate in said]
        outcomes = set()
        for order in permutations(arrivals):
            limits = NamedLimits(clock=lambda: 0.0)
            for limit in order:
                limits.add(limit)
            outcomes.add(limits.rate(RUN))
        self.assertEqual(len(outcomes), 1)

    def test_later_run_starts_without_a_limit(self) -> None:
        """The limit of an earlier run doesn't apply to the next one."""
        self.observe(2.0, requested_at=99.0)
        self.assertIsNone(self.limits.rate(UpstreamRun("u-1", 2)))

    def test_limits_of_runs_that_are_over_are_forgotten(self) -> None:
        """Limits of known runs are kept, also for a while before the run is known."""
        self.observe(2.0, requested_at=99.0)
        self.limits.keep_only([])
        self.assertEqual(self.limits.rate(RUN), 2.0)
        self.now += UNKNOWN_RUN_TTL_SECONDS + 1.0
        self.limits.keep_only([RUN])
        self.assertEqual(self.limits.rate(RUN), 2.0)
        self.limits.keep_only([])
        self.assertTrue(self.limits.is_empty)

    def test_requeued_limit_is_sent_in_its_newest_version(self) -> None:
        """The newest limit of each upstream is sent."""
        self.observe(2.0, requested_at=99.0)
        pending = self.limits.take_pending()
        self.assertFalse(self.limits.has_pending.is_set())
        self.observe(1.0, requested_at=100.0)
        self.limits.requeue(pending)
        self.assertEqual([limit.rate for limit in self.limits.take_pending()], [1.0])


class RandomHistoryTests(QuietTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 0.0

    def test_entries_agree_with_the_upstream_in_the_end(self) -> None:
        """After lost and late messages, one answer at each entry restores agreement."""
        for seed in range(200):
            self.check(Random(seed), f"seed {seed}")

    def check(self, rng: Random, case: str) -> None:
        entries = [NamedLimits(clock=lambda: self.now) for _ in range(4)]
        wire: list[NamedLimit] = []
        rate: float | None = None
        for _ in range(60):
            self.now += rng.random()
            if rng.random() < 0.2:
                rate = rng.choice([None, 1.0, 2.0, 5.0])
            entry = rng.choice(entries)
            entry.observe(RUN, rate, self.now - rng.random())
            wire += entry.take_pending()
            for limit in rng.sample(wire, min(len(wire), 2)):
                rng.choice(entries).add(limit)
        for _ in range(2):
            for limit in wire:
                for entry in entries:
                    entry.add(limit)
            self.now += 1.0
            for entry in entries:
                entry.observe(RUN, rate, self.now)
                wire += entry.take_pending()
        self.assertEqual({entry.rate(RUN) for entry in entries}, {rate}, case)
