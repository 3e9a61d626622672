"""Policies that experiments compare."""

import asyncio
from collections.abc import Callable
from random import Random

from poplarlug.admission import Admission, OpenAdmission, RankAdmission
from poplarlug.routing import (
    ExpectedFinish,
    LeastLoaded,
    PrefixIndex,
    RandomChoice,
    RoundRobin,
    RoutingPolicy,
    UpstreamLoads,
    WanBudget,
    ZoneRamp,
)
from poplarlug.routing.wan_budget import FORWARD_BANDWIDTH_SHARE, LINK_BYTES_PER_SECOND
from poplarlug.serving.dispatcher import DispatchParts

GATEWAY_POLICY = "expected_finish"


def make_expected_finish(rng: Random, entries: int) -> DispatchParts:
    """Return the gateway's decision components, assembled as in the entry daemon."""
    clock = asyncio.get_running_loop().time
    loads = UpstreamLoads(entry_count=entries)
    policy = ExpectedFinish(
        loads=loads,
        prefixes=PrefixIndex(clock=clock),
        wan=WanBudget(
            bytes_per_second=LINK_BYTES_PER_SECOND * FORWARD_BANDWIDTH_SHARE / entries,
            clock=clock,
        ),
        ramp=ZoneRamp(clock=clock),
        rng=rng,
    )
    return DispatchParts(policy, RankAdmission(clock=clock), loads)


def make_admitted_least_loaded(rng: Random, entries: int) -> DispatchParts:
    """Return the least-loaded policy combined with the gateway's admission."""
    admission: Admission = RankAdmission(clock=asyncio.get_running_loop().time)
    return DispatchParts(LeastLoaded(), admission, UpstreamLoads(entry_count=entries))


def make_baseline(
    make_policy: Callable[[Random], RoutingPolicy],
) -> Callable[[Random, int], DispatchParts]:
    """Return a factory that combines a policy with unlimited admission."""

    def make(rng: Random, entries: int) -> DispatchParts:
        return DispatchParts(
            make_policy(rng), OpenAdmission(), UpstreamLoads(entry_count=entries)
        )

    return make


FACTORIES_BY_POLICY: dict[str, Callable[[Random, int], DispatchParts]] = {
    GATEWAY_POLICY: make_expected_finish,
    "round_robin": make_baseline(lambda rng: RoundRobin()),
    "random": make_baseline(lambda rng: RandomChoice(rng=rng)),
    "least_loaded": make_baseline(lambda rng: LeastLoaded()),
    "admitted_least_loaded": make_admitted_least_loaded,
}
