"""Tests of which requests a stopping entry still passes on."""

from unittest import TestCase

from poplarlug.relay.planned_stop import (
    DRAIN_LIMIT_SHARE,
    MAX_ROUTES,
    UNCERTAIN_START_SECONDS,
    DurationEstimate,
    PlannedStop,
)
from poplarlug.routes import Route
from tests.relay.test_view import make_request
from tests.routes.test_checks import make_route

GRACE_SECONDS = 8.0
DRAIN_SECONDS = DRAIN_LIMIT_SHARE * GRACE_SECONDS
LOOK = make_route(name="look", kind="safe")
BOOKING = make_route(name="book", kind="unsafe")


class PlannedStopTests(TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.stop = PlannedStop(clock=lambda: self.now)

    def note_durations(self, route: Route, *seconds: float) -> None:
        for duration in seconds:
            self.stop.note_duration(route.name, duration)

    def may_start(self, route: Route, left: float) -> bool:
        """Return whether a request may start whose deadline is ``left`` s ahead."""
        return self.stop.may_start(make_request(route=route, deadline=self.now + left))

    def begin(self, elapsed: float) -> None:
        self.stop.begin(GRACE_SECONDS)
        self.now += elapsed

    def test_all_requests_start_before_a_stop(self) -> None:
        """Without a stop nothing is known of the time left."""
        self.assertTrue(self.may_start(BOOKING, 3600.0))
        self.assertTrue(self.stop.accepts_requests)

    def test_request_whose_deadline_ends_it_in_time_starts(self) -> None:
        """Its caller gets an answer before the entry exits, whatever its upstream does."""
        self.begin(UNCERTAIN_START_SECONDS + 1.0)
        left = DRAIN_SECONDS - UNCERTAIN_START_SECONDS - 1.0
        self.assertTrue(self.may_start(BOOKING, left - 0.5))
        self.assertFalse(self.may_start(BOOKING, left + 0.5))

    def test_request_starts_if_its_route_usually_takes_less(self) -> None:
        """Deadlines are far longer than what most requests take."""
        self.note_durations(LOOK, *[1.0] * 20)
        self.begin(1.0)
        self.assertTrue(self.may_start(LOOK, 60.0))
        self.note_durations(LOOK, *[9.0] * 20)
        self.assertFalse(self.may_start(LOOK, 60.0))

    def test_request_that_may_not_repeat_needs_the_wider_margin(self) -> None:
        """Its caller can't send it again if it is cut."""
        for route in (LOOK, BOOKING):
            self.note_durations(route, *[1.0, 3.0] * 20)
        self.begin(1.5)
        self.assertTrue(self.may_start(LOOK, 60.0))
        self.assertFalse(self.may_start(BOOKING, 60.0))

    def test_unknown_duration_counts_as_too_long(self) -> None:
        """Another entry can take the request, and no answer could be cut there."""
        self.begin(0.0)
        self.assertFalse(self.may_start(LOOK, 60.0))

    def test_late_request_without_a_certain_end_never_starts(self) -> None:
        """Also with a long grace period, in which most such requests would end."""
        self.note_durations(LOOK, *[0.1] * 20)
        self.stop.begin(60.0)
        self.now += UNCERTAIN_START_SECONDS
        self.assertTrue(self.stop.accepts_requests)
        self.assertFalse(self.may_start(LOOK, 60.0))
        self.assertTrue(self.may_start(LOOK, 30.0))

    def test_estimate_follows_what_requests_take(self) -> None:
        """Older durations lose their weight."""
        estimate = DurationEstimate(1.0, 0.5)
        for _ in range(40):
            estimate = estimate.updated(4.0)
        self.assertAlmostEqual(estimate.mean, 4.0, 1)
        self.assertLess(estimate.deviation, 0.1)

    def test_number_of_routes_is_bounded(self) -> None:
        """Routes come and go with each configuration."""
        for number in range(MAX_ROUTES + 10):
            self.stop.note_duration(f"r-{number}", 1.0)
        self.assertEqual(len(self.stop._estimates_by_route), MAX_ROUTES)
