"""Tests of the inputs of a placement."""

from random import Random
from unittest import TestCase

from poplarlug.discovery.deployment import Deployment
from poplarlug.discovery.messages import PollReply
from poplarlug.discovery.named_limits import NamedLimits
from poplarlug.discovery.records import EntryRecord, RegionLoad, ServiceUpstream
from poplarlug.relay.budgets import WarmupLimits
from poplarlug.relay.in_flight import InFlightTracker
from poplarlug.relay.patience import decode_seconds, latest_response_start
from poplarlug.relay.requests import Prompt, RelayRequest
from poplarlug.relay.tried import Tried
from poplarlug.relay.view import (
    MAX_REGION_BACKOFF_SECONDS,
    REGION_BACKOFF_SECONDS,
    FleetView,
)
from tests.control.quiet import QuietTestCase
from tests.routes.test_checks import make_route


def make_request(**fields: object) -> RelayRequest:
    request = RelayRequest(
        id="r-1",
        route=make_route(prompts=True, timeout_seconds=5.0),
        service="engine",
        method="POST",
        path="/chat/1",
        headers=(),
        body=b"",
        arrived=0.0,
        deadline=5.0,
        prompt=Prompt(tokens=100, max_tokens=40),
    )
    return request._replace(**fields)


class DecodeSecondsTests(TestCase):
    def test_follows_the_tokens_that_the_caller_allows(self) -> None:
        """A short response leaves more time to wait for its first event."""
        self.assertAlmostEqual(decode_seconds(make_request()), 0.8)

    def test_generous_bound_on_tokens_refuses_nobody(self) -> None:
        """Callers allow for far more tokens than most responses have."""
        generous = make_request(prompt=Prompt(tokens=100, max_tokens=100_000))
        self.assertLessEqual(decode_seconds(generous), 1.0)

    def test_plain_answers_take_no_time_after_their_first_byte(self) -> None:
        """They are buffered until they are complete."""
        plain = make_request(route=make_route(), prompt=Prompt())
        self.assertEqual(decode_seconds(plain), 0.0)


class LatestResponseStartTests(TestCase):
    def make(self, **fields: object) -> RelayRequest:
        route = make_route(
            kind="streaming",
            prompts=True,
            timeout_seconds=15.0,
            objective_seconds=0.5,
            max_pause_seconds=0.4,
        )
        return make_request(route=route, arrived=1.0, deadline=16.0, **fields)

    def test_caller_of_a_silent_stream_leaves_before_its_deadline(self) -> None:
        """Eight pauses of 0.4 s; a request that can't start by then is refused at once."""
        self.assertAlmostEqual(latest_response_start(self.make()), 4.2)

    def test_deadline_comes_first_for_hurried_callers(self) -> None:
        """The complete response has to arrive by the deadline."""
        hurried = self.make()._replace(deadline=3.0)
        self.assertLess(latest_response_start(hurried), 3.0)

    def test_plain_answers_wait_for_their_deadline(self) -> None:
        """Callers of plain services don't leave because of silence."""
        plain = make_request(route=make_route(), prompt=Prompt(), deadline=16.0)
        self.assertEqual(latest_response_start(plain), 16.0)


class SuspectEntryTests(QuietTestCase):
    """Three regions with upstreams and two entries each."""

    def make_view(self, name: str, region: str) -> FleetView:
        regions_by_zone = {"a": "east", "b": "west", "c": "south"}
        deployment = Deployment(
            own_region=region, regions_by_zone=regions_by_zone, clock=lambda: 0.0
        )
        deployment.apply_reply(
            PollReply(
                registry_id="r",
                revision=1,
                whole=True,
                current=True,
                zone="a",
                entries=tuple(
                    EntryRecord(f"{zone}-{n}", of, zone, "", "", 1, "serving")
                    for zone, of in regions_by_zone.items()
                    for n in (1, 2)
                ),
                upstreams=tuple(
                    ServiceUpstream(f"u-{zone}", "engine", zone, zone, 1, 1, 8)
                    for zone in regions_by_zone
                ),
            )
        )
        return FleetView(
            name=name,
            deployment=deployment,
            in_flight=InFlightTracker(clock=lambda: 0.0, others=lambda _: None),
            warmup=WarmupLimits(),
            rng=Random(1),
            limits=NamedLimits(clock=lambda: 0.0),
            clock=lambda: 0.0,
        )

    def suspect_entries(self, fingerprint: int, **fields: object) -> set[str]:
        """Return the suspect entries according to the views of three entries."""
        request = make_request(**fields)
        named = set()
        for name, region in (("a-1", "east"), ("b-2", "west"), ("c-1", "south")):
            view = self.make_view(name, region)
            entry = view.suspect_entry(request, fingerprint, Tried())
            named.add(name if entry is None else entry.name)
        return named

    def test_all_entries_name_the_same_suspect_entry(self) -> None:
        """They agree without communication; requests are spread over the regions."""
        chosen = [self.suspect_entries(fingerprint) for fingerprint in range(40)]
        self.assertEqual({len(names) for names in chosen}, {1})
        regions = {name.partition("-")[0] for name in set.union(*chosen)}
        self.assertEqual(regions, {"a", "b", "c"})

    # Guards against quarantining healthy requests: two entries ran two suspects at the
    # same upstream at once, and one of the suspects crashed it.
    def test_suspects_of_a_region_run_at_one_entry(self) -> None:
        """So no two suspects run at an upstream at the same time."""
        chosen = set.union(
            *(self.suspect_entries(fingerprint) for fingerprint in range(40))
        )
        self.assertEqual(len(chosen), 3)

    def test_suspect_entry_is_in_a_home_region_of_the_route(self) -> None:
        """The body of the request is sent to no other region."""
        route = make_route(home_regions=("west",))
        for fingerprint in range(10):
            (name,) = self.suspect_entries(fingerprint, route=route)
            self.assertIn(name, ("b-1", "b-2"))

    def test_region_that_was_tried_has_no_suspect_entry(self) -> None:
        """It was unreachable, or refused the request."""
        view = self.make_view("a-1", "east")
        tried = Tried().with_region("west").with_region("south")
        names = {
            "a-1" if entry is None else entry.name
            for entry in (
                view.suspect_entry(make_request(), fingerprint, tried)
                for fingerprint in range(20)
            )
        }
        self.assertEqual(len(names), 1)
        self.assertLessEqual(names, {"a-1", "a-2"})


class RegionBackoffTests(QuietTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 0.0
        deployment = Deployment(
            own_region="east",
            regions_by_zone={"a": "east", "b": "west"},
            clock=lambda: self.now,
        )
        entries = tuple(
            EntryRecord(name, "west", "b", "", "", 1, "serving")
            for name in ("w-1", "w-2", "w-3")
        )
        deployment.apply_reply(
            PollReply(
                registry_id="r",
                revision=1,
                whole=True,
                current=True,
                zone="a",
                entries=entries,
                # A replica in the west lists both.
                regions=(
                    RegionLoad("east", "engine", 1, 8),
                    RegionLoad("west", "engine", 1, 8),
                ),
            )
        )
        self.view = FleetView(
            name="entry-1",
            deployment=deployment,
            in_flight=InFlightTracker(clock=lambda: self.now, others=lambda _: None),
            warmup=WarmupLimits(),
            rng=Random(1),
            limits=NamedLimits(clock=lambda: self.now),
            clock=lambda: self.now,
        )

    # Guards against requests that an entry handed on to itself.
    def test_own_region_is_no_other_region(self) -> None:
        """An entry may follow a control replica of any region."""
        regions = self.view.regions(make_request(), Tried(), None)
        self.assertEqual([region.region for region in regions], ["west"])

    def is_avoided(self) -> bool:
        (region,) = self.view.regions(make_request(), Tried(), None)
        return region.avoided

    def test_region_without_upstreams_is_avoided_for_longer_each_time(self) -> None:
        """A failed engine stays listed for some seconds."""
        self.view.note_region_failed("engine", "west")
        self.assertTrue(self.is_avoided())
        self.now += REGION_BACKOFF_SECONDS + 0.01
        self.assertFalse(self.is_avoided())
        for _ in range(9):
            self.view.note_region_failed("engine", "west")
        self.now += MAX_REGION_BACKOFF_SECONDS - 0.01
        self.assertTrue(self.is_avoided())
        self.now += 0.02
        self.assertFalse(self.is_avoided())

    def test_served_request_ends_the_backoff(self) -> None:
        """The region's engine is available again."""
        self.view.note_region_failed("engine", "west")
        self.view.note_region_served("engine", "west")
        self.assertFalse(self.is_avoided())

    def test_one_unreachable_entry_starts_no_region_backoff(self) -> None:
        """One entry may have been killed; with two, the region may be unreachable."""
        self.view.avoid_entry("w-1", 2.0)
        self.view.note_entry_failed("engine", "west")
        self.assertFalse(self.is_avoided())
        self.view.avoid_entry("w-2", 2.0)
        self.view.note_entry_failed("engine", "west")
        self.assertTrue(self.is_avoided())

    def test_backoff_applies_to_its_service_alone(self) -> None:
        """Other services of the region have other upstreams."""
        self.view.note_region_failed("bookings", "west")
        self.assertFalse(self.is_avoided())


class LimitedRegionTests(QuietTestCase):
    def excluded_by_limits(self, *, own_upstreams: bool) -> bool:
        """Return whether a region whose upstreams are all rate-limited is excluded."""
        deployment = Deployment(
            own_region="east",
            regions_by_zone={"a": "east", "b": "west"},
            clock=lambda: 0.0,
        )
        upstream = ServiceUpstream("u-1", "engine", "", "a", 1, 1, 8)
        deployment.apply_reply(
            PollReply(
                registry_id="r",
                revision=1,
                whole=True,
                current=True,
                zone="a",
                upstreams=(upstream,) if own_upstreams else (),
                regions=(RegionLoad("west", "engine", 1, 8, is_limited=True),),
            )
        )
        view = FleetView(
            name="entry-1",
            deployment=deployment,
            in_flight=InFlightTracker(clock=lambda: 0.0, others=lambda _: None),
            warmup=WarmupLimits(),
            limits=NamedLimits(clock=lambda: 0.0),
            rng=Random(1),
            clock=lambda: 0.0,
        )
        (region,) = view.regions(make_request(), Tried(), None)
        return region.excluded_by_limits

    def test_limited_region_is_avoided_by_those_with_upstreams(self) -> None:
        """A region without upstreams has no other choice."""
        self.assertTrue(self.excluded_by_limits(own_upstreams=True))
        self.assertFalse(self.excluded_by_limits(own_upstreams=False))
