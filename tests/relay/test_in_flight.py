"""Tests of the upstream loads of an entry, which are cached between changes."""

from unittest import TestCase

from poplarlug.discovery.records import ServiceUpstream, UpstreamLoad
from poplarlug.relay.engine_model import EngineLoad
from poplarlug.relay.in_flight import InFlightTracker
from poplarlug.relay.requests import Prompt
from tests.relay.test_view import make_request

UPSTREAM = ServiceUpstream("e-1", "engine", "", "a", 1, 1, 8)


class LoadTests(TestCase):
    def setUp(self) -> None:
        self.others: UpstreamLoad | None = None
        self.in_flight = InFlightTracker(
            clock=lambda: 0.0, others=lambda _: self.others
        )

    def load(self) -> EngineLoad:
        return self.in_flight.load("e-1")

    def test_load_follows_each_change(self) -> None:
        """A start, first event, end or report of other entries takes effect at once."""
        self.assertEqual(self.load(), EngineLoad())
        request = make_request(prompt=Prompt("m", 100, 20))
        in_flight_request = self.in_flight.note_started(UPSTREAM, None, request, 0.2)
        self.assertEqual(self.load(), EngineLoad(1, 1, 200, 120))
        self.in_flight.note_first_event(in_flight_request, ahead_ms=0, seconds=0.3)
        self.assertEqual(self.load(), EngineLoad(1, 1, 0, 120))
        self.others = UpstreamLoad("e-1", 2, 0, 30, 500)
        self.assertEqual(self.load(), EngineLoad(3, 1, 30, 620))
        self.in_flight.note_ended(in_flight_request, failed=False)
        self.assertEqual(self.load(), EngineLoad(2, 0, 30, 500))
