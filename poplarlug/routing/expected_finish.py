"""The product's policy: the earliest expected finish at the least price."""

import math
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
    candidates,
    zone_serves,
)
from poplarlug.routing.prefix_hashes import BLOCK_TOKENS
from poplarlug.routing.prefix_index import PrefixIndex
from poplarlug.routing.upstream_loads import UNKNOWN_CAPACITY, UpstreamLoads
from poplarlug.routing.wan_budget import ONE_WAY_SECONDS, WanBudget
from poplarlug.routing.zone_ramp import ZoneRamp
from poplarlug.types import ProfileName, Seconds, UpstreamId

DEFAULT_PREFILL_TOKENS_PER_SECOND = 8000.0
DEFAULT_TOKEN_SECONDS = 0.027
DEFAULT_MAX_TOKENS = 256
LOAD_SLOWDOWN = 0.5
TIE_SECONDS = 0.02
CACHE_WEIGHT = 2.0
MAX_CONSIDERED = 16
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


class _Scored(NamedTuple):
    """An upstream by its rank among the candidates; the place breaks ties."""

    tier: int
    seconds: Seconds
    place: int
    upstream: Announcement


class ExpectedFinish(RoutingPolicy):
    """
    Send to the upstream that is expected to finish first.

    Expected finish is queue, prefill less the cached prefix, and decode. A
    request leaves the region only when home would use up the target and the gain
    is worth the price of the account's profile. Of many upstreams it considers
    those that hold the prefix and ``MAX_CONSIDERED`` by chance.

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
        self._prefixes.take_all_events(fleet.upstreams)
        local = candidates(request, fleet.upstreams)
        if not local:
            return None
        hits_by_id = self._prefixes.hit_blocks(request.prefix_hashes)
        scored = self._score(request, self._sample(local, hits_by_id), hits_by_id)
        best = min(scored)
        near = [u for tier, finish, _, u in scored if _is_near(tier, finish, best)]
        chosen = near[0] if len(near) == 1 else self._rng.choice(near)
        return chosen, best.seconds + request.local_wait_seconds

    def _sample(
        self, local: list[Announcement], hits_by_id: dict[UpstreamId, int]
    ) -> list[Announcement]:
        """Return the holders of the prefix and some others by chance."""
        if len(local) <= MAX_CONSIDERED:
            return local
        count = len(local)
        picked = [local[int(self._rng.random() * count)] for _ in range(MAX_CONSIDERED)]
        if not hits_by_id:
            return picked
        return [u for u in local if u.id in hits_by_id] + picked

    def _score(
        self,
        request: RouteRequest,
        upstreams: list[Announcement],
        hits_by_id: dict[UpstreamId, int],
    ) -> list[_Scored]:
        """Return when each upstream would finish ``request``, from now."""
        answer_tokens = _answer_tokens(request)
        prompt_tokens = request.prompt_tokens
        scored = []
        for place, upstream in enumerate(upstreams):
            load = self._loads.view(upstream)
            capacity = upstream.capacity or UNKNOWN_CAPACITY
            rate = (
                upstream.prefill_tokens_per_second or DEFAULT_PREFILL_TOKENS_PER_SECOND
            )
            busy = (load.others + load.in_flight) / capacity
            missing = prompt_tokens
            if hits_by_id:
                missing -= hits_by_id.get(upstream.id, 0) * BLOCK_TOKENS
            prefill = CACHE_WEIGHT * max(1, missing) / rate * (1.0 + busy)
            decode = answer_tokens * (upstream.token_seconds or DEFAULT_TOKEN_SECONDS)
            if busy < 1.0:
                finish = prefill + decode * (1.0 + LOAD_SLOWDOWN * busy)
            else:
                finish = prefill + decode * (LOAD_SLOWDOWN + busy)
            # Upstreams without room come last, those above their limit at the end.
            tier = 0 if busy < 1.0 else 1
            if load.in_flight >= int(load.limit):
                tier = 2
            scored.append(_Scored(tier, finish, place, upstream))
        return scored

    def _best_away(
        self, request: RouteRequest, fleet: Fleet, local: Seconds | None
    ) -> ZoneView | None:
        price = AWAY_PRICES_BY_PROFILE[request.account.profile]
        patience = request.rank.target_seconds * price.patience
        if local is not None and local <= patience:
            return None
        run = request.prompt_tokens / DEFAULT_PREFILL_TOKENS_PER_SECOND
        decode = _answer_tokens(request) * DEFAULT_TOKEN_SECONDS
        run += decode
        soonest = math.inf if local is None else local - price.gain_seconds
        best: ZoneView | None = None
        for zone in fleet.zones:
            busy = (zone.running + zone.queued) / (zone.capacity or UNKNOWN_CAPACITY)
            finish = run * (1.0 + LOAD_SLOWDOWN * min(1.0, busy))
            finish += max(0.0, busy - 1.0) * decode
            # The link only adds to it, so that many zones need no further look.
            if finish > soonest or not zone_serves(request, zone):
                continue
            finish += self._wan.seconds(zone.region, request.body_bytes)
            finish += ONE_WAY_SECONDS
            if finish <= soonest and self._takes_more(zone, price):
                best, soonest = zone, finish
        if best is None and local is None:
            # With nothing at home, a zone that shall get less is better than none.
            serving = [zone for zone in fleet.zones if zone_serves(request, zone)]
            best = min(serving, key=lambda zone: zone.running, default=None)
        return best

    def _takes_more(self, zone: ZoneView, price: AwayPrice) -> bool:
        share = self._ramp.share(zone.zone)
        if share < 1.0 and self._rng.random() >= share:
            return False
        if zone.capacity == 0:
            return True
        free = zone.capacity - zone.running - zone.queued
        return free >= price.free_share * zone.capacity


def _is_near(tier: int, finish: Seconds, best: _Scored) -> bool:
    return tier == best.tier and finish <= best.seconds + TIE_SECONDS


def _answer_tokens(request: RouteRequest) -> int:
    if request.service is not None:
        return 1
    return request.max_tokens or DEFAULT_MAX_TOKENS
