"""Tests of when a stalled stream is resumed elsewhere."""

from random import Random
from types import SimpleNamespace
from typing import Any, cast

from poplarlug.control.routing_state import encode_table
from poplarlug.discovery.deployment import Deployment
from poplarlug.discovery.messages import PollReply, RoutingUpdate
from poplarlug.discovery.named_limits import NamedLimits
from poplarlug.discovery.records import ServiceUpstream
from poplarlug.platform.names import HEADER_NAMES
from poplarlug.relay.budgets import RetryLimits, WarmupLimits
from poplarlug.relay.client import RelayClient
from poplarlug.relay.context import RequestContext
from poplarlug.relay.dispatcher import Dispatcher, LocalTarget
from poplarlug.relay.gateway import RelayGateway
from poplarlug.relay.in_flight import InFlightTracker
from poplarlug.relay.trace import RelayTrace
from poplarlug.relay.view import FleetView
from poplarlug.routes import Engine, RoutedService, RouteTable
from tests.control.quiet import QuietTestCase
from tests.relay.test_resumption import make_resumption
from tests.relay.test_suspects import make_suspects
from tests.relay.test_view import make_request
from tests.routes.test_checks import make_route

ROUTE = make_route(kind="streaming", prompts=True, resumable=True, max_attempts=2)
UPSTREAMS = tuple(
    ServiceUpstream(f"e-{number}", "engine", f"10.0.0.{number}:80", "a", 1, 1, 8)
    for number in (1, 2)
)
SERVICE = RoutedService("engine", engine=Engine(8, 100_000))
REPLY = PollReply(
    registry_id="r",
    revision=1,
    whole=True,
    current=True,
    zone="a",
    upstreams=UPSTREAMS,
    routing=RoutingUpdate(1, encode_table(RouteTable(1, (ROUTE,), (SERVICE,))), ()),
    settled=True,
)


class SilentStreamTests(QuietTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.deployment = Deployment(
            own_region="east", regions_by_zone={"a": "east"}, clock=lambda: 0.0
        )
        self.deployment.apply_reply(REPLY)
        self.view = FleetView(
            name="entry-1",
            deployment=self.deployment,
            in_flight=InFlightTracker(clock=lambda: 0.0, others=lambda _: None),
            warmup=WarmupLimits(),
            rng=Random(1),
            limits=NamedLimits(clock=lambda: 0.0),
            clock=lambda: 0.0,
        )
        dispatcher = Dispatcher(view=self.view, clock=lambda: 0.0)
        self.gateway = RelayGateway(
            name="entry-1",
            view=self.view,
            dispatcher=dispatcher,
            client=RelayClient(),
            forward_client=RelayClient(),
            suspects=make_suspects(self.deployment),
            resumption=make_resumption(self.deployment),
            header_names=HEADER_NAMES,
            retry_limits=RetryLimits(),
            clock=lambda: 0.0,
        )

    def can_resume_elsewhere(self) -> bool:
        """Return whether a silent stream at the first upstream is resumed elsewhere."""
        request = make_request(route=ROUTE)
        context = RequestContext(
            request=request,
            sink=cast(Any, SimpleNamespace(started=True)),
            trace=RelayTrace(request_id="r-1", started=0.0),
        )
        upstream = UPSTREAMS[0]
        in_flight_request = self.view.in_flight.note_started(
            upstream, SERVICE.engine, request, 0.0
        )
        target = LocalTarget(upstream, in_flight_request, 0.1, 0, 0.0)
        return self.gateway._can_resume_elsewhere(
            context, self.gateway._budget_of("engine"), target
        )

    def test_silent_upstream_that_is_there_keeps_its_stream(self) -> None:
        """It may be busy with other requests, even if a slot elsewhere looks free."""
        # Guards against streams cut after 2 s of silence: the slot that looked free in
        # another region was then refused.
        self.assertFalse(self.can_resume_elsewhere())

    def test_silent_upstream_that_is_lost_is_left(self) -> None:
        """Its announcements have stopped; the stream is resumed at a free slot."""
        lost = UPSTREAMS[0]._replace(phase="lost")
        self.deployment.apply_reply(REPLY._replace(whole=False, upstreams=(lost,)))
        self.assertTrue(self.can_resume_elsewhere())
