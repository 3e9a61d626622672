"""Tests of the expected-finish policy."""

from collections import Counter
from random import Random
from unittest import TestCase

from poplarlug.catalog import Account, Rank
from poplarlug.membership.upstreams import Announcement
from poplarlug.routing import (
    ExpectedFinish,
    Fleet,
    ForwardRoute,
    LocalRoute,
    PrefixIndex,
    Route,
    RouteRequest,
    UpstreamLoads,
    WanBudget,
    ZoneRamp,
    ZoneView,
)
from poplarlug.routing.zone_ramp import RAMP_SECONDS

URGENT = Rank("urgent", priority=0, target_seconds=10.0)
VERDE = Account("verde", "sierra", ("sierra", "costa"), ("corn-7b",))
ISAR = VERDE._replace(name="isar", profile="urgent_tail")
COSTA = ZoneView("costa-a", "costa", ("c1", "c2", "c3"), ("corn-7b",), (), 1, 0, 16)


def engine(name: str, **fields: object) -> Announcement:
    values: dict[str, object] = {
        "models": ("corn-7b",),
        "capacity": 8,
        "prefill_tokens_per_second": 1000.0,
        "token_seconds": 0.02,
        "sequence": 1,
        **fields,
    }
    return Announcement(name, "engine", "127.0.0.1:1", **values)  # type: ignore[arg-type]


class ExpectedFinishTests(TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.loads = UpstreamLoads()
        self.prefixes = PrefixIndex(clock=lambda: self.now)
        self.wan = WanBudget(bytes_per_second=1e6, clock=lambda: self.now)
        self.policy = ExpectedFinish(
            loads=self.loads,
            prefixes=self.prefixes,
            wan=self.wan,
            ramp=ZoneRamp(clock=lambda: self.now),
            rng=Random(1),
        )

    def request(self, **fields: object) -> RouteRequest:
        base = RouteRequest(VERDE, URGENT, "corn-7b", max_tokens=100, body_bytes=1000)
        return base._replace(**fields)

    def choose(self, fleet: Fleet, **fields: object) -> Route | None:
        return self.policy.choose(self.request(**fields), fleet)

    def chosen_ids(self, fleet: Fleet, count: int, **fields: object) -> Counter[str]:
        ids: Counter[str] = Counter()
        for _ in range(count):
            route = self.choose(fleet, **fields)
            assert isinstance(route, LocalRoute)
            self.loads.record_start(route.upstream)
            ids[route.upstream.id] += 1
        return ids

    def test_own_sends_count_between_reports(self) -> None:
        """Requests are spread by the entry's own counts while reports don't change."""
        fleet = Fleet((engine("e1", capacity=80), engine("e2", capacity=80)), {})
        ids = self.chosen_ids(fleet, 20, max_tokens=1000)
        self.assertEqual(ids, {"e1": 10, "e2": 10})

    def test_tenfold_capacity_gets_most_of_the_work(self) -> None:
        """An upstream with ten times the slots gets about ten times the requests."""
        large, small = engine("large", capacity=80), engine("small", capacity=8)
        ids = self.chosen_ids(Fleet((large, small), {}), 44)
        self.assertGreaterEqual(ids["large"], 36)

    def test_cached_prefix_is_preferred_until_a_long_gap(self) -> None:
        """A cached prefix is preferred until too many cache events are missing."""
        hashes = tuple(range(40))
        held = engine("e2", cache_sequence=1, cache_stored=hashes)
        fleet = Fleet((engine("e1"), held), {})
        fields = {"prompt_tokens": 2600, "prefix_hashes": hashes}
        ids = self.chosen_ids(fleet, 2, **fields)
        self.assertEqual(ids, {"e2": 2})
        gap = held._replace(sequence=2, running=2, cache_sequence=3, cache_stored=())
        ids = self.chosen_ids(Fleet((engine("e1"), gap), {}), 1, **fields)
        self.assertEqual(ids, {"e2": 1})
        gap = gap._replace(sequence=3, running=3, cache_sequence=30)
        ids = self.chosen_ids(Fleet((engine("e1"), gap), {}), 1, **fields)
        self.assertEqual(ids, {"e1": 1})

    def test_request_stays_local_while_target_is_met(self) -> None:
        """A request is forwarded only when the local zone would miss its target."""
        fleet = Fleet((engine("e1"),), {}, (COSTA,))
        self.assertIsInstance(self.choose(fleet), LocalRoute)
        away = self.choose(fleet, local_wait_seconds=30.0)
        self.assertIsInstance(away, ForwardRoute)

    def test_profile_sets_the_forward_criteria(self) -> None:
        """Accounts of profile urgent_tail are forwarded earlier than of cost."""
        fleet = Fleet((engine("e1"),), {}, (COSTA,))
        wait = {"local_wait_seconds": 6.0}
        self.assertIsInstance(self.choose(fleet, **wait), LocalRoute)
        self.assertIsInstance(self.choose(fleet, account=ISAR, **wait), ForwardRoute)

    def test_nothing_goes_to_a_region_that_is_not_allowed(self) -> None:
        """A disallowed region gets no request, even without a local upstream."""
        bound = VERDE._replace(regions=("sierra",))
        self.assertIsNone(self.choose(Fleet((), {}, (COSTA,)), account=bound))

    def test_forwards_spread_over_the_zones_entries(self) -> None:
        """Forwards are spread over all entries of the remote zone."""
        fleet = Fleet((), {}, (COSTA,))
        routes = [self.choose(fleet) for _ in range(60)]
        entries = {route.entry for route in routes if isinstance(route, ForwardRoute)}
        self.assertEqual(entries, {"c1", "c2", "c3"})

    def test_wan_backlog_keeps_requests_local(self) -> None:
        """A backlog on the link between regions keeps requests local."""
        fleet = Fleet((engine("e1"),), {}, (COSTA,))
        self.assertIsInstance(self.choose(fleet, local_wait_seconds=12.0), ForwardRoute)
        self.wan.spend("costa", 20_000_000)
        self.assertIsInstance(self.choose(fleet, local_wait_seconds=12.0), LocalRoute)

    def test_traffic_returns_gradually_to_a_recovered_zone(self) -> None:
        """After a zone was unreachable, its share of forwards grows from 0 to 1."""
        busier = COSTA._replace(zone="selva-a", entries=("s1",), running=9)
        with_zone, without = Fleet((), {}, (COSTA, busier)), Fleet((), {}, (busier,))
        self.choose(with_zone)
        self.now = 10.0
        self.choose(without)
        self.now = 20.0
        counts = []
        for _ in range(4):
            routes = [self.choose(with_zone) for _ in range(100)]
            counts.append(sum(self.zone_of(route) == COSTA.zone for route in routes))
            self.now += RAMP_SECONDS / 3
        self.assertEqual(counts[0], 0)
        self.assertEqual(counts[3], 100)
        self.assertEqual(counts, sorted(counts))

    def test_recovered_zone_is_used_at_once_if_nothing_else_serves(self) -> None:
        """The ramp doesn't apply when no other zone serves the request."""
        with_zone, without = Fleet((), {}, (COSTA,)), Fleet((), {}, ())
        self.choose(with_zone)
        self.now = 10.0
        self.choose(without)
        self.now = 20.0
        self.assertEqual(self.zone_of(self.choose(with_zone)), COSTA.zone)

    def zone_of(self, route: Route | None) -> str | None:
        return route.zone if isinstance(route, ForwardRoute) else None
