"""Tests of pauses and departures that upstreams announce in responses."""

from returns.result import Failure

from poplarlug.errors import GatewayError
from poplarlug.relay.dispatcher import LocalTarget
from poplarlug.relay.tried import Tried
from poplarlug.relay.upstream_backoff import (
    MAX_PAUSE_SECONDS,
    UNKNOWN_RUN_TTL_SECONDS,
    UpstreamBackoff,
    parse_pause,
)
from poplarlug.virtualtime import run_virtual
from tests.control.quiet import QuietTestCase
from tests.relay.test_limiter import UPSTREAMS, Entry

FIRST, SECOND = UPSTREAMS


class ParsePauseTests(QuietTestCase):
    def test_decimal_seconds_are_read(self) -> None:
        """Fractions are allowed, and the longest of several values counts."""
        self.assertEqual(parse_pause(["3"]), 3.0)
        self.assertEqual(parse_pause([" 0.25 "]), 0.25)
        self.assertEqual(parse_pause(["1", "2.5"]), 2.5)
        self.assertEqual(parse_pause(["0"]), 0.0)

    def test_long_pauses_are_bounded(self) -> None:
        """A typing error of an operator must not idle an upstream for days."""
        self.assertEqual(parse_pause(["999999999999"]), MAX_PAUSE_SECONDS)

    def test_other_values_are_none(self) -> None:
        """Dates would depend on clocks of VMs that may be wrong."""
        date = "Wed, 21 Oct 2026 07:28:00 GMT"
        for text in ("", "-1", "nan", "inf", "1e3", "0x1", "٣", "5" * 5000, date):
            with self.subTest(text=text):
                self.assertIsNone(parse_pause([text]))


class UpstreamBackoffTests(QuietTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 0.0
        self.backoff = UpstreamBackoff(clock=lambda: self.now)

    def test_pause_ends_by_itself(self) -> None:
        """No response is needed for an upstream to get requests again."""
        self.backoff.note_retry_after(FIRST, ["2.5"])
        self.now = 2.4
        self.assertFalse(self.backoff.allows_send(FIRST))
        self.assertTrue(self.backoff.allows_send(SECOND))
        self.now = 2.6
        self.assertTrue(self.backoff.allows_send(FIRST))

    def test_shorter_pause_does_not_shorten_a_longer_one(self) -> None:
        """Responses may overtake each other."""
        self.backoff.note_retry_after(FIRST, ["3"])
        self.backoff.note_retry_after(FIRST, ["1"])
        self.assertAlmostEqual(self.backoff.pause_left(FIRST), 3.0)
        self.backoff.note_retry_after(FIRST, ["0"])
        self.assertAlmostEqual(self.backoff.pause_left(FIRST), 3.0)

    def test_shortest_pause_ignores_upstreams_without_one(self) -> None:
        """The result is the time until the first paused upstream takes requests."""
        self.assertIsNone(self.backoff.shortest_pause(UPSTREAMS))
        self.backoff.note_retry_after(FIRST, ["3"])
        self.assertAlmostEqual(self.backoff.shortest_pause(UPSTREAMS) or 0.0, 3.0)
        self.backoff.note_retry_after(SECOND, ["2"])
        self.assertAlmostEqual(self.backoff.shortest_pause(UPSTREAMS) or 0.0, 2.0)

    def test_next_run_starts_clean(self) -> None:
        """Neither a departure nor a pause passes to the next run at the same address."""
        self.backoff.note_leaving(FIRST, ["1"])
        self.backoff.note_retry_after(FIRST, ["100"])
        self.assertFalse(self.backoff.allows_send(FIRST))
        self.assertTrue(self.backoff.allows_send(FIRST._replace(born=FIRST.born + 1)))
        self.assertTrue(self.backoff.allows_send(FIRST._replace(id="other", born=9)))

    def test_only_the_announced_value_means_leaving(self) -> None:
        """An upstream that sends 0 stays."""
        for value in ("0", "", "true"):
            self.backoff.note_leaving(FIRST, [value])
        self.assertTrue(self.backoff.is_empty)

    def test_departure_outlives_a_gap_in_the_records(self) -> None:
        """A restarted control replica may report the upstream as serving again."""
        self.backoff.note_leaving(FIRST, ["1"])
        self.now = UNKNOWN_RUN_TTL_SECONDS - 1
        self.backoff.keep_only([])
        self.backoff.keep_only([FIRST.run])
        self.now += UNKNOWN_RUN_TTL_SECONDS - 1
        self.backoff.keep_only([])
        self.assertFalse(self.backoff.allows_send(FIRST))
        self.now += 2 * UNKNOWN_RUN_TTL_SECONDS
        self.backoff.keep_only([])
        self.assertTrue(self.backoff.is_empty)


class PlacementTests(QuietTestCase):
    def test_paused_and_leaving_upstreams_get_nothing(self) -> None:
        """All requests are placed on the other upstream."""

        async def run() -> None:
            entry = Entry()
            entry.view.backoff.note_leaving(FIRST, ["1"])
            for target in await entry.send_for(2.0):
                assert isinstance(target, LocalTarget)
                self.assertEqual(target.upstream.id, SECOND.id)

        run_virtual(run())

    def test_requests_are_refused_at_once_while_all_are_paused(self) -> None:
        """The refusal names the shortest pause, and afterwards requests are placed."""

        async def run() -> None:
            entry = Entry()
            entry.view.backoff.note_retry_after(FIRST, ["3"])
            entry.view.backoff.note_retry_after(SECOND, ["2.5"])
            refusal = await entry.send()
            assert isinstance(refusal, GatewayError)
            self.assertEqual(entry.refused_after, [0.0])
            self.assertAlmostEqual(refusal.retry_after_seconds or 0.0, 2.5)
            self.assertIs(refusal.ran, False)

        run_virtual(run())

    def test_pause_counts_for_a_request_that_was_just_refused(self) -> None:
        """A refused request whose other upstream is paused learns the shortest pause."""

        async def run() -> None:
            entry = Entry()
            entry.view.backoff.note_retry_after(FIRST, ["1"])
            entry.view.backoff.note_retry_after(SECOND, ["3"])
            tried = Tried().with_upstream(FIRST.id)
            found = await entry.dispatcher.find(entry.request(), tried)
            assert isinstance(found, Failure)
            self.assertAlmostEqual(found.failure().retry_after_seconds or 0.0, 1.0)

        run_virtual(run())

    def test_region_whose_upstreams_all_leave_has_none(self) -> None:
        """Their records may say that they serve until they are gone."""

        async def run() -> None:
            entry = Entry()
            for upstream in UPSTREAMS:
                entry.view.backoff.note_leaving(upstream, ["1"])
            refusal = await entry.send()
            assert isinstance(refusal, GatewayError)
            self.assertEqual(refusal.status, 503)
            self.assertEqual(entry.refused_after, [0.0])

        run_virtual(run())
