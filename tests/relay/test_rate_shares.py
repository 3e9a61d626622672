"""Tests of dividing an upstream's rate limit among entries."""

from random import Random
from unittest import TestCase

from poplarlug.relay.rate_shares import (
    BURST_SECONDS,
    MIN_RATE,
    RequestRate,
    TokenBucket,
    parse_limit,
    share_of_rate,
)

ENTRIES = [f"entry-{number}" for number in range(22)]
WINDOW_SECONDS = 4.0
OVERAGE = 1.5
SLACK = 5
"""Required bound: in any window at most ``OVERAGE`` times the limit plus ``SLACK``."""

USED_SHARE = 0.7
"""Share of a limit that has to be used if demand is far above it."""


def shares(
    rate: float, demand_by_entry: dict[str, float], sharers: list[str] | None = None
) -> dict[str, float]:
    """Return the shares of entries that have the same information."""
    return {
        own: share_of_rate(
            own,
            rate=rate,
            upstream_id="u-1",
            demand_by_entry=demand_by_entry,
            sharers=list(demand_by_entry) if sharers is None else sharers,
        )
        for own in demand_by_entry
    }


class ParseLimitTests(TestCase):
    def test_decimal_numbers(self) -> None:
        """The lowest of several values applies."""
        for values, rate in (
            (["1"], 1.0),
            (["0.25"], 0.25),
            ([" 2.5 "], 2.5),
            (["0"], 0.0),
            (["3", "2"], 2.0),
            (["3, 2"], 2.0),
            (["x", "2"], 2.0),
            (["999999999999"], 999999999999.0),
        ):
            self.assertEqual(parse_limit(values), rate, values)

    def test_anything_else_is_no_limit(self) -> None:
        """Invalid values of any length raise no exception."""
        odd = ["", "nan", "inf", "-1", "+1", "1e3", "1.", ".5", "0x1", "1_0", "٣"]
        for value in [*odd, "9" * 10_000, "0." + "1" * 10_000, "1 2", "\udcff"]:
            self.assertIsNone(parse_limit([value]), value[:20])


class ShareOfRateTests(TestCase):
    def test_shares_of_all_entries_make_up_the_limit(self) -> None:
        """This holds for any number of entries and however low the limit is."""
        rng = Random(1)
        for rate in (0.25, 1.0, 2.5, 7.0, 60.0):
            for count in (1, 2, 3, 6, 22):
                demand = {name: rng.uniform(1.0, 9.0) for name in ENTRIES[:count]}
                self.assertAlmostEqual(sum(shares(rate, demand).values()), rate)

    def test_small_limit_is_divided_among_few_entries(self) -> None:
        """A share of 1/20 request per second would hardly be used."""
        given = shares(1.0, dict.fromkeys(ENTRIES, 2.0))
        self.assertEqual(sum(share > 0 for share in given.values()), 2)

    def test_busy_entries_get_the_part_of_idle_ones(self) -> None:
        """Callers of a single zone may use the whole limit."""
        demand = dict.fromkeys(ENTRIES, 0.0) | dict.fromkeys(ENTRIES[:3], 9.0)
        given = shares(2.0, demand)
        self.assertAlmostEqual(sum(given[name] for name in ENTRIES[:3]), 2.0)

    def test_share_of_unreachable_entries_is_left_unused(self) -> None:
        """They may be running behind a network partition and use their share."""
        seen = dict.fromkeys(ENTRIES[:11], 2.0)
        given = shares(10.0, seen, sharers=ENTRIES)
        self.assertAlmostEqual(sum(given.values()), 5.0)

    def test_entries_that_know_nothing_of_others_keep_their_part(self) -> None:
        """This is the situation when a limit has just been set."""
        alone = [
            share_of_rate(
                own,
                rate=10.0,
                upstream_id="u-1",
                demand_by_entry={own: 3.0},
                sharers=ENTRIES,
            )
            for own in ENTRIES
        ]
        self.assertAlmostEqual(sum(alone), 10.0)

    def test_limit_of_nothing_leaves_a_request_in_ten_seconds(self) -> None:
        """The response to it shows when the limit has ended."""
        given = shares(0.0, dict.fromkeys(ENTRIES, 2.0))
        self.assertAlmostEqual(sum(given.values()), MIN_RATE)


class TokenBucketTests(TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.share = TokenBucket(clock=lambda: self.now)

    def test_nothing_is_saved_up_before_the_limit(self) -> None:
        """Requests sent before the limit was known count too."""
        self.now = 100.0
        self.share.set_rate(2.0)
        self.assertFalse(self.share.allows_request)
        self.assertAlmostEqual(self.share.seconds_until_allowed, 0.5)
        self.now += 0.5
        self.assertTrue(self.share.allows_request)

    def test_little_is_saved_up(self) -> None:
        """An entry that resumes after a pause sends no large burst."""
        self.share.set_rate(4.0)
        self.now = 1_000.0
        sent = 0
        while self.share.allows_request:
            self.share.note_sent()
            sent += 1
        self.assertEqual(sent, 1 + BURST_SECONDS * 4.0)

    def test_share_that_was_lost_is_not_saved_up(self) -> None:
        """Another entry has the share now."""
        self.share.set_rate(1.0)
        self.now = 10.0
        self.share.set_rate(0.0)
        self.assertEqual(self.share.seconds_until_allowed, float("inf"))
        self.share.set_rate(1.0)
        self.assertFalse(self.share.allows_request)


class LimitTests(TestCase):
    def simulate(self, rate: float, entries: int, seed: int) -> list[float]:
        """
        Return the send times of entries that get each other's demand with a delay.

        The demand shifts between entries during the simulation.
        """
        rng = Random(seed)
        now = 0.0
        names = ENTRIES[:entries]
        held = {name: TokenBucket(clock=lambda: now) for name in names}
        demands = {name: RequestRate(clock=lambda: now) for name in names}
        reported: dict[str, float] = {}
        known = {name: dict[str, float]() for name in names}
        weights = [rng.choice([0.1, 1.0, 4.0]) for _ in names]
        sent = []
        for step in range(4000):
            now = step * 0.01
            if step % 1000 == 0:
                rng.shuffle(weights)
            for name in rng.choices(names, weights, k=max(1, round(rate / 10))):
                demands[name].note_request()
                share = held[name]
                share.set_rate(
                    share_of_rate(
                        name,
                        rate=rate,
                        upstream_id="u-1",
                        demand_by_entry=known[name] | {name: demands[name].per_second},
                        sharers=names,
                    )
                )
                if share.allows_request:
                    share.note_sent()
                    sent.append(now)
            if step % 25 == 0:
                for name in names:
                    reported[name] = demands[name].per_second
                    known[name] = dict(reported)
        return sent

    # Guards against upstreams that get the full load although they set a limit.
    def test_entries_together_keep_a_limit_while_demand_moves(self) -> None:
        """No window exceeds the required bound, and the limit is used."""
        for rate in (0.25, 1.0, 2.5, 10.0, 50.0):
            for entries in (1, 3, 6, 22):
                sent = self.simulate(rate, entries, seed=entries)
                most = max(
                    sum(at <= other < at + WINDOW_SECONDS for other in sent)
                    for at in sent
                )
                case = f"{rate} a second, {entries} entries"
                allowed = OVERAGE * WINDOW_SECONDS * rate + SLACK
                self.assertLessEqual(most, allowed, case)
                self.assertGreaterEqual(len(sent), USED_SHARE * rate * 40 - 3, case)
