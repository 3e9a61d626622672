"""Tests of upstreams that announce in responses that they leave or need a pause."""

import signal
import time
from collections import Counter

from poplarlug.soak.deployment import wait_until
from tests.platform_adapter.case import DeploymentTestCase
from tests.platform_adapter.test_named_limits import Callers

DRAIN_SECONDS = 4.0
"""The users' rule: no request that is sent later than this after an entry passed on the
announcement reaches the upstream from there."""

PAUSE_GRACE_SECONDS = 0.5
MAX_SENDS_IN_PAUSE = 2
"""The users' rule: from the grace time after a refusal that asks for a pause until the
end of the pause, an entry sends at most this many requests."""

MIN_SERVED_SHARE = 0.95
"""Share of callers to be served while another upstream has room for all of them."""

MAX_REFUSAL_SECONDS = 1.0
"""Upper bound of a refusal that is given at once, on a busy machine."""

ROUTES = {
    "look": {"route_kind": "safe"},
    "book": {"route_kind": "unsafe", "max_attempts": 1},
    "stream": {"route_kind": "streaming", "max_attempts": 1},
    "resume": {"route_kind": "streaming", "resumable": True},
    "other": {"route_kind": "safe", "service": "other"},
}


class ResponseAnnouncementCase(DeploymentTestCase):
    """
    Two upstreams and one entry in Quito; the entry in Guayaquil forwards to it.

    So each send to an upstream comes from the same entry.
    """

    entry_zones = ("quito-a", "guayaquil-a")

    def setUp(self) -> None:
        super().setUp()
        self.upstreams = [self.add_upstream(name) for name in ("u-1", "u-2")]
        self.first, self.second = self.upstreams
        for upstream in self.upstreams:
            # Enough for one upstream to run all requests alone.
            upstream.slots = 64
        self.keep_announcing(*self.upstreams)
        self.configure(**ROUTES)
        self.wait_until_entries_are_known()
        self.wait_served()

    def start_callers(self, route: str) -> Callers:
        self.callers = Callers(call=self.call, entries=self.entries, route=route)
        self.addCleanup(self.callers.stop)
        time.sleep(1.0)
        return self.callers

    def check_served(self, statuses: Counter[int]) -> None:
        failures = Counter(a.body for a in self.callers.answers if a.status != 200)
        self.assertGreaterEqual(
            statuses[200], MIN_SERVED_SHARE * statuses.total(), failures.most_common(5)
        )


class LeavingTests(ResponseAnnouncementCase):
    def check_leaving(self, route: str, fault: str = "") -> Counter[int]:
        """Let one upstream leave under load; return the number of answers by status."""
        callers = self.start_callers(route)
        self.first.fault = fault
        self.first.is_leaving = True
        # Each entry has passed on an announcement after a second of this load.
        announced_at = time.monotonic() + 1.0
        time.sleep(1.0 + DRAIN_SECONDS + 3.0)
        statuses = callers.stop()
        late = [at for at in self.first.received if at > announced_at + DRAIN_SECONDS]
        self.assertEqual(late, [])
        return statuses

    # Guards against upstreams whose heartbeats continue to say that they serve.
    def test_upstream_gets_nothing_after_it_said_that_it_leaves(self) -> None:
        """The other upstream serves all requests, whatever the heartbeats say."""
        self.check_served(self.check_leaving("look"))

    def test_streams_and_bookings_go_elsewhere(self) -> None:
        """The announcement counts in the head of a stream and for other routes too."""
        self.check_served(self.check_leaving("stream"))
        self.first.received.clear()
        self.check_served(self.check_leaving("book"))

    def test_announcement_in_a_failure_counts(self) -> None:
        """A failed response is as good an announcement as any other."""
        self.check_leaving("look", fault="error")

    def test_announcement_counts_without_control(self) -> None:
        """An entry without contact to any control replica applies it all the same."""
        for name in self.deployment.control.values():
            self.deployment.signal(name, signal.SIGSTOP)
            self.addCleanup(self.deployment.signal, name, signal.SIGCONT)
        self.check_served(self.check_leaving("look"))

    def test_next_run_of_the_upstream_starts_clean(self) -> None:
        """A restarted upstream at the same address serves again."""
        self.check_leaving("look")
        self.first.is_leaving = False
        self.first.received.clear()
        self.first.crash()

        def receives_requests() -> bool:
            self.call(self.entries[0], "look")
            return bool(self.first.arrivals and self.first.received)

        wait_until(receives_requests, "the new run gets no request")

    def test_address_serves_another_service_afterwards(self) -> None:
        """The departure belonged to the run that had the address before."""
        self.check_leaving("look")
        self.first.is_leaving = False
        self.first.service = "other"
        self.first.crash()
        wait_until(
            lambda: self.call(self.entries[0], "other").status == 200,
            "the new service at the address gets no request",
        )

    def test_callers_are_refused_at_once_when_all_leave(self) -> None:
        """No request waits for an upstream that won't take it."""
        for upstream in self.upstreams:
            upstream.is_leaving = True
        callers = self.start_callers("look")
        time.sleep(2.0)
        statuses = callers.stop()
        self.assertLessEqual(set(statuses), {200, 429, 503})
        self.assertGreater(statuses[503], 0)
        self.assertLess(callers.slowest_refusal, MAX_REFUSAL_SECONDS)


class PauseTests(ResponseAnnouncementCase):
    def check_pauses(self, route: str, retry_after: str) -> Counter[int]:
        """Let one upstream refuse all requests; return the answers by status."""
        callers = self.start_callers(route)
        self.first.retry_after = retry_after
        self.first.fault = "refuse"
        time.sleep(8.0)
        statuses = callers.stop()
        self.assertTrue(self.first.refused)
        self.check_sends(float(retry_after))
        return statuses

    def check_sends(self, pause_seconds: float) -> None:
        """Check the users' rule for each refusal that asked for a pause."""
        for upstream in self.upstreams:
            for refused_at in upstream.refused:
                start = refused_at + PAUSE_GRACE_SECONDS
                end = refused_at + pause_seconds
                sends = sum(start < at < end for at in upstream.received)
                self.assertLessEqual(sends, MAX_SENDS_IN_PAUSE, upstream.id)

    # Guards against callers that fail although another upstream has room.
    def test_other_upstream_serves_during_a_pause(self) -> None:
        """An entry sends nothing to an upstream that asked for a pause."""
        self.check_served(self.check_pauses("look", "3"))

    def test_bookings_are_served_during_a_pause(self) -> None:
        """A refused booking has not run and goes to the other upstream."""
        self.check_served(self.check_pauses("book", "2.5"))

    def test_streams_are_served_during_a_pause(self) -> None:
        """Streams with and without resumption go to the other upstream."""
        self.check_served(self.check_pauses("stream", "2.5"))
        self.check_served(self.check_pauses("resume", "2.5"))

    def test_pause_counts_without_control(self) -> None:
        """An entry without contact to any control replica applies it all the same."""
        for name in self.deployment.control.values():
            self.deployment.signal(name, signal.SIGSTOP)
            self.addCleanup(self.deployment.signal, name, signal.SIGCONT)
        self.check_served(self.check_pauses("look", "2.5"))

    def test_callers_are_refused_at_once_during_a_pause_of_all(self) -> None:
        """The answer names the shortest pause as the time to come back."""
        for upstream in self.upstreams:
            upstream.retry_after = "3"
            upstream.fault = "refuse"
        callers = self.start_callers("look")
        time.sleep(5.0)
        statuses = callers.stop()
        self.check_sends(3.0)
        self.assertLessEqual(set(statuses), {429, 503})
        self.assertLess(callers.slowest_refusal, MAX_REFUSAL_SECONDS)
        times = [float(a.headers["Retry-After"]) for a in callers.answers]
        self.assertLessEqual(max(times), 3.0)
        self.assertGreater(max(times), 1.0)
        for upstream in self.upstreams:
            upstream.fault = ""
        self.wait_served()

    def test_unreadable_pauses_change_nothing(self) -> None:
        """They neither end the entry nor keep it from the upstream."""
        self.second.fault = "refuse"
        self.first.fault = "refuse"
        for value in (
            "nan",
            "-1",
            "",
            "1e3",
            "Wed, 21 Oct 2026 07:28:00 GMT",
            "5" * 5000,
        ):
            self.first.retry_after = self.second.retry_after = value
            self.assertIn(self.call(self.entries[0], "look").status, (429, 503))
        for upstream in self.upstreams:
            upstream.fault = ""
        wait_until(
            lambda: self.call(self.entries[0], "look").status == 200,
            "the entry sends nothing any more",
            2.0,
        )
