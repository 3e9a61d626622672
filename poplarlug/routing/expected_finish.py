"""The production routing policy: earliest expected finish, local zone preferred."""

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
from poplarlug.routing.wan_budget import ONE_WAY_DELAY_SECONDS, WanBudget
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


class ForwardCriteria(NamedTuple):
    """
    Conditions under which a request is forwarded to another zone.

    Parameters
    ----------
    min_gain_seconds : float
        How much earlier the remote zone must be expected to finish.
    target_share : float
        Share of the latency target that the expected local finish may use up
        before a forward is considered.
    min_free_share : float
        Share of the remote zone's capacity that must be free.
    """

    min_gain_seconds: Seconds
    target_share: float
    min_free_share: float


FORWARD_CRITERIA_BY_PROFILE: dict[ProfileName, ForwardCriteria] = {
    "cost": ForwardCriteria(min_gain_seconds=2.0, target_share=1.0, min_free_share=0.3),
    "urgent_tail": ForwardCriteria(
        min_gain_seconds=0.5, target_share=0.7, min_free_share=0.15
    ),
}


class _Scored(NamedTuple):
    """An upstream with its sort key; ``position`` breaks ties."""

    tier: int
    seconds: Seconds
    position: int
    upstream: Announcement


class ExpectedFinish(RoutingPolicy):
    """
    Send to the upstream with the earliest expected finish.

    The expected finish is the sum of queueing, prefill of the uncached part of
    the prompt, and decode. A request is forwarded to another zone only when the
    local finish would use up the target and the gain meets the criteria of the
    account's profile. When more than ``MAX_CONSIDERED`` upstreams are available,
    only those that cache the prefix and a random sample of that size are scored.

    Parameters
    ----------
    loads : UpstreamLoads
        This entry's estimate of the load of its upstreams, updated by the
        dispatcher.
    rng : random.Random
        Breaks ties, so that entries with identical load reports spread their
        requests.
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
        self._ramp.update_reachable([zone.zone for zone in fleet.zones])
        remote_zone = self._best_remote_zone(request, fleet, best[1] if best else None)
        if remote_zone is not None:
            entry = self._rng.choice(remote_zone.entries)
            return ForwardRoute(remote_zone.zone, remote_zone.region, entry)
        return LocalRoute(best[0]) if best else None

    def record_sent(self, request: RouteRequest, route: Route) -> None:
        if isinstance(route, LocalRoute):
            self._prefixes.add(route.upstream.id, request.prefix_hashes)
            return
        size = request.body_bytes + _answer_tokens(request) * ANSWER_BYTES_PER_TOKEN
        self._wan.spend(route.region, size)

    def _best_local(
        self, request: RouteRequest, fleet: Fleet
    ) -> tuple[Announcement, Seconds] | None:
        self._prefixes.apply_all_events(fleet.upstreams)
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
        """Return the upstreams that cache the prefix and a random sample of all."""
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
        """Return each upstream with the seconds until it would finish ``request``."""
        answer_tokens = _answer_tokens(request)
        prompt_tokens = request.prompt_tokens
        scored = []
        for position, upstream in enumerate(upstreams):
            load = self._loads.view(upstream)
            capacity = upstream.capacity or UNKNOWN_CAPACITY
            rate = (
                upstream.prefill_tokens_per_second or DEFAULT_PREFILL_TOKENS_PER_SECOND
            )
            busy = (load.others_in_flight + load.in_flight) / capacity
            missing = prompt_tokens
            if hits_by_id:
                missing -= hits_by_id.get(upstream.id, 0) * BLOCK_TOKENS
            prefill = CACHE_WEIGHT * max(1, missing) / rate * (1.0 + busy)
            decode = answer_tokens * (upstream.token_seconds or DEFAULT_TOKEN_SECONDS)
            if busy < 1.0:
                finish = prefill + decode * (1.0 + LOAD_SLOWDOWN * busy)
            else:
                finish = prefill + decode * (LOAD_SLOWDOWN + busy)
            # Upstreams at capacity sort last, after them those at this entry's limit.
            tier = 0 if busy < 1.0 else 1
            if load.in_flight >= int(load.limit):
                tier = 2
            scored.append(_Scored(tier, finish, position, upstream))
        return scored

    def _best_remote_zone(
        self, request: RouteRequest, fleet: Fleet, local: Seconds | None
    ) -> ZoneView | None:
        criteria = FORWARD_CRITERIA_BY_PROFILE[request.account.profile]
        max_local_seconds = request.rank.target_seconds * criteria.target_share
        if local is not None and local <= max_local_seconds:
            return None
        run = request.prompt_tokens / DEFAULT_PREFILL_TOKENS_PER_SECOND
        decode = _answer_tokens(request) * DEFAULT_TOKEN_SECONDS
        run += decode
        soonest = math.inf if local is None else local - criteria.min_gain_seconds
        best: ZoneView | None = None
        for zone in fleet.zones:
            busy = (zone.running + zone.queued) / (zone.capacity or UNKNOWN_CAPACITY)
            finish = run * (1.0 + LOAD_SLOWDOWN * min(1.0, busy))
            finish += max(0.0, busy - 1.0) * decode
            # Network delay only adds to the estimate, so slower zones are skipped
            # before it is computed.
            if finish > soonest or not zone_serves(request, zone):
                continue
            finish += self._wan.transfer_seconds(zone.region, request.body_bytes)
            finish += ONE_WAY_DELAY_SECONDS
            if finish <= soonest and self._accepts_forward(zone, criteria):
                best, soonest = zone, finish
        if best is None and local is None:
            # Without a local upstream, use even a zone that is ramping up or full.
            serving = [zone for zone in fleet.zones if zone_serves(request, zone)]
            best = min(serving, key=lambda zone: zone.running, default=None)
        return best

    def _accepts_forward(self, zone: ZoneView, criteria: ForwardCriteria) -> bool:
        share = self._ramp.share(zone.zone)
        if share < 1.0 and self._rng.random() >= share:
            return False
        if zone.capacity == 0:
            return True
        free = zone.capacity - zone.running - zone.queued
        return free >= criteria.min_free_share * zone.capacity


def _is_near(tier: int, finish: Seconds, best: _Scored) -> bool:
    return tier == best.tier and finish <= best.seconds + TIE_SECONDS


def _answer_tokens(request: RouteRequest) -> int:
    if request.service is not None:
        return 1
    return request.max_tokens or DEFAULT_MAX_TOKENS
