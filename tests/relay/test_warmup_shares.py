"""Tests of the entries' warm-up shares of a cold upstream while their views change."""

from random import Random

from poplarlug.discovery.deployment import Deployment
from poplarlug.discovery.messages import PollReply
from poplarlug.discovery.named_limits import NamedLimits
from poplarlug.discovery.records import EntryRecord, ServiceUpstream
from poplarlug.relay.budgets import WarmupLimits
from poplarlug.relay.in_flight import InFlightTracker
from poplarlug.relay.tried import Tried
from poplarlug.relay.view import FleetView
from poplarlug.routes import RoutedService
from tests.control.quiet import QuietTestCase
from tests.relay.test_view import make_request

SERVICE = RoutedService("engine", warmup_per_second=1.5)
BOUND = 1.5 * 1.5 + 3.0
UPSTREAM = ServiceUpstream("e-1", "engine", "", "a", 1, 1, 8, cold_seconds=3.0)
ENTRIES = tuple(
    EntryRecord(f"entry-{number}", "east", "a", "", "", 1, "serving")
    for number in range(21)
)
SETTLED = PollReply(
    registry_id="settled",
    revision=1,
    whole=True,
    current=True,
    zone="a",
    entries=ENTRIES,
    upstreams=(UPSTREAM,),
    settled=True,
)


class WarmupShareTests(QuietTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 0.0
        self.views = [self.make_view(entry.name) for entry in ENTRIES]

    def make_view(self, name: str) -> FleetView:
        def clock() -> float:
            return self.now

        deployment = Deployment(
            own_region="east", regions_by_zone={"a": "east"}, clock=clock
        )
        return FleetView(
            name=name,
            deployment=deployment,
            in_flight=InFlightTracker(clock=clock, others=lambda _: None),
            warmup=WarmupLimits(),
            rng=Random(1),
            limits=NamedLimits(clock=clock),
            clock=clock,
        )

    def send_all(self, view: FleetView) -> int:
        """Send as many requests as an entry currently may; return the number."""
        sent = 0
        request = make_request()
        while found := view.candidates(request, SERVICE, Tried(), None):
            _, in_flight_request = view.start_request(found[0], SERVICE, request)
            view.in_flight.note_ended(in_flight_request, failed=False)
            sent += 1
        return sent

    def test_entries_together_use_the_bound(self) -> None:
        """If all entries are known, they send exactly as many requests as allowed."""
        for view in self.views:
            view.deployment.apply_reply(SETTLED)
        sent = sum(self.send_all(view) for view in self.views)
        self.assertEqual(sent, int(BOUND))

    def test_replica_that_lacks_an_upstream_renews_no_share(self) -> None:
        """Sent requests still count while a replica doesn't know the upstream yet."""
        # Guards against 6 instead of 5 requests per second to a cold upstream: an
        # entry's count was dropped with the record, which reappeared at once.
        sent = 0
        for view in self.views:
            view.deployment.apply_reply(SETTLED)
            sent += self.send_all(view)
            self.now += 0.01
            view.deployment.apply_reply(SETTLED._replace(upstreams=()))
            view.forget_gone()
            view.deployment.apply_reply(SETTLED)
            sent += self.send_all(view)
        self.assertLessEqual(sent, BOUND)

    def test_entries_that_know_few_others_send_nothing(self) -> None:
        """A replica that has just started lists only entries that polled it so far."""
        # Guards against dividing the limit among only the first few of a region's
        # entries, which adds up to a multiple of the limit over all entries.
        sent = 0
        for number, view in enumerate(self.views):
            entries = ENTRIES[: number + 1]
            view.deployment.apply_reply(
                SETTLED._replace(entries=entries, settled=False)
            )
            sent += self.send_all(view)
        self.assertLessEqual(sent, BOUND)
        for view in self.views:
            view.deployment.apply_reply(SETTLED)
            sent += self.send_all(view)
        self.assertEqual(sent, int(BOUND))
