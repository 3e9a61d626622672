"""The product's policy: the earliest expected finish at the least price."""

from random import Random
from typing import NamedTuple

from poplarlug.membership.upstreams import Announcement
from poplarlug.routing.base import (
    Fleet,
    ForwardRoute,
    LocalRoute,
    Route,
    RouteRequest,
    RoutingPolicy,
    ZoneView,
    serves,
    zone_serves,
)
from poplarlug.routing.prefix_hashes import BLOCK_TOKENS
from poplarlug.routing.prefix_index import PrefixIndex
from poplarlug.routing.upstream_loads import UNKNOWN_CAPACITY, UpstreamLoads
from poplarlug.routing.wan_budget import ONE_WAY_SECONDS, WanBudget
from poplarlug.routing.zone_ramp import ZoneRamp
from poplarlug.types import ProfileName, Seconds

DEFAULT_PREFILL_TOKENS_PER_SECOND = 8000.0
DEFAULT_TOKEN_SECONDS = 0.027
DEFAULT_MAX_TOKENS = 256
LOAD_SLOWDOWN = 0.5
TIE_SECONDS = 0.02
CACHE_WEIGHT = 2.0
ANSWER_BYTES_PER_TOKEN = 160


class AwayPrice(NamedTuple):
    """
    What a forward to another region must be worth.

    Parameters
    ----------
    gain_seconds : float
        How much sooner the answer must come than at home.
    patience : float
        Share of the target that the finish at home may take before a forward
        is weighed.
    free_share : float
        Share of the zone's capacity that must be free.
    """

    gain_seconds: Seconds
    patience: float
    free_share: float


AWAY_PRICES_BY_PROFILE: dict[ProfileName, AwayPrice] = {
    "cost": AwayPrice(gain_seconds=2.0, patience=1.0, free_share=0.3),
    "urgent_tail": AwayPrice(gain_seconds=0.5, patience=0.7, free_share=0.15),
}


class ExpectedFinish(RoutingPolicy):
    """
    Send to the upstream that is expected to finish first.

    Expected finish is queue, prefill less the cached prefix, and decode. A
    request leaves the region only when home would use up the target and the gain
    is worth the price of the account's profile.

    Parameters
    ----------
    loads : UpstreamLoads
        The entry's view of its upstreams' load, kept by those who send.
    rng : random.Random
        Breaks ties, so that entries with the same reports don't all choose one.
    """

    def __init__(
        self,
        *,
        loads: UpstreamLoads,
        prefixes: PrefixIndex,
        wan: WanBudget,
        ramp: ZoneRamp,
        rng: Random,
    ) -> None:
        self._loads = loads
        self._prefixes = prefixes
        self._wan = wan
        self._ramp = ramp
        self._rng = rng

    def choose(self, request: RouteRequest, fleet: Fleet) -> Route | None:
        best = self._best_local(request, fleet)
        self._ramp.see([zone.zone for zone in fleet.zones])
        away = self._best_away(request, fleet, best[1] if best else None)
        if away is not None:
            entry = self._rng.choice(away.entries)
            return ForwardRoute(away.zone, away.region, entry)
        return LocalRoute(best[0]) if best else None

    def sent(self, request: RouteRequest, route: Route) -> None:
        if isinstance(route, LocalRoute):
            self._prefixes.add(route.upstream.id, request.prefix_hashes)
            return
        size = request.body_bytes + _answer_tokens(request) * ANSWER_BYTES_PER_TOKEN
        self._wan.spend(route.region, size)

    def _best_local(
        self, request: RouteRequest, fleet: Fleet
    ) -> tuple[Announcement, Seconds] | None:
        local = [u for u in fleet.upstreams if serves(request, u)]
        if not local:
            return None
        for upstream in local:
            self._prefixes.take_events(upstream)
        hits_by_id = self._prefixes.hit_blocks(request.prefix_hashes)
        loads = self._loads
        with_limit = [u for u in local if loads.room(u) > 0]
        with_room = [u for u in with_limit if loads.shared_room(u) > 0] or with_limit
        finishes = [
            (self.expected_seconds(request, u, hits_by_id.get(u.id, 0)), u)
            for u in with_room or local
        ]
        soonest = min(finish for finish, _ in finishes)
        near = [u for finish, u in finishes if finish <= soonest + TIE_SECONDS]
        chosen = near[0] if len(near) == 1 else self._rng.choice(near)
        return chosen, soonest + request.local_wait_seconds

    def expected_seconds(
        self, request: RouteRequest, upstream: Announcement, hit_blocks: int
    ) -> Seconds:
        """Return when ``upstream`` would finish ``request``, from now."""
        capacity = upstream.capacity or UNKNOWN_CAPACITY
        total = self._loads.total(upstream)
        rate = upstream.prefill_tokens_per_second or DEFAULT_PREFILL_TOKENS_PER_SECOND
        token_seconds = upstream.token_seconds or DEFAULT_TOKEN_SECONDS
        missing = max(1, request.prompt_tokens - hit_blocks * BLOCK_TOKENS)
        busy = total / capacity
        decode = _answer_tokens(request) * token_seconds
        waiting = max(0.0, busy - 1.0) * decode
        return (
            waiting
            + CACHE_WEIGHT * missing / rate * (1.0 + busy)
            + decode * (1.0 + LOAD_SLOWDOWN * min(1.0, busy))
        )

    def _best_away(
        self, request: RouteRequest, fleet: Fleet, local: Seconds | None
    ) -> ZoneView | None:
        price = AWAY_PRICES_BY_PROFILE[request.account.profile]
        patience = request.rank.target_seconds * price.patience
        if local is not None and local <= patience:
            return None
        best: tuple[Seconds, ZoneView] | None = None
        for zone in fleet.zones:
            if not zone_serves(request, zone) or not self._takes_more(zone, price):
                continue
            finish = self._away_seconds(request, zone)
            if local is not None and local - finish < price.gain_seconds:
                continue
            if best is None or finish < best[0]:
                best = (finish, zone)
        return best[1] if best else None

    def _takes_more(self, zone: ZoneView, price: AwayPrice) -> bool:
        share = self._ramp.share(zone.zone)
        if share < 1.0 and self._rng.random() >= share:
            return False
        if zone.capacity == 0:
            return True
        free = zone.capacity - zone.running - zone.queued
        return free >= price.free_share * zone.capacity

    def _away_seconds(self, request: RouteRequest, zone: ZoneView) -> Seconds:
        busy = (zone.running + zone.queued) / (zone.capacity or UNKNOWN_CAPACITY)
        prefill = request.prompt_tokens / DEFAULT_PREFILL_TOKENS_PER_SECOND
        decode = _answer_tokens(request) * DEFAULT_TOKEN_SECONDS
        there = self._wan.seconds(zone.region, request.body_bytes)
        run = (prefill + decode) * (1.0 + LOAD_SLOWDOWN * min(1.0, busy))
        return there + run + max(0.0, busy - 1.0) * decode + ONE_WAY_SECONDS


def _answer_tokens(request: RouteRequest) -> int:
    if request.service is not None:
        return 1
    return request.max_tokens or DEFAULT_MAX_TOKENS
