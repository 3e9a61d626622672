"""Measures the CPU time of a routing decision at 10, 100 and 1,000 candidates."""

import time
from random import Random
from statistics import median

from poplarlug.admission import AdmissionRequest, RankAdmission
from poplarlug.admission.base import Slots
from poplarlug.catalog import Account, Rank
from poplarlug.membership.upstreams import Announcement
from poplarlug.routing import (
    ExpectedFinish,
    Fleet,
    LeastLoaded,
    LocalRoute,
    PrefixIndex,
    RouteRequest,
    RoutingPolicy,
    UpstreamLoads,
    WanBudget,
    ZoneRamp,
    ZoneView,
)

CANDIDATES = (10, 100, 1000)
DECISIONS = 400
ROUNDS = 5
ZONES = 24
PREFIX_BLOCKS = 32
ACCOUNT = Account("verde", "r0", tuple(f"r{i}" for i in range(11)), ("corn-7b",))
URGENT = Rank("urgent", priority=0, target_seconds=10.0)


def clock() -> float:
    return time.perf_counter()


def make_fleet(candidates: int, rng: Random) -> Fleet:
    upstreams = tuple(
        Announcement(
            id=f"e{index}",
            kind="engine",
            address="127.0.0.1:1",
            sequence=1,
            models=("corn-7b",),
            running=rng.randint(0, 12),
            capacity=16,
            prefill_tokens_per_second=8000.0,
            token_seconds=0.02,
        )
        for index in range(candidates)
    )
    zones = tuple(
        ZoneView(f"z{i}", f"r{i % 11}", ("a", "b"), ("corn-7b",), (), 5, 0, 100)
        for i in range(ZONES)
    )
    return Fleet(upstreams, {}, zones)


def make_gateway_policy(rng: Random) -> tuple[ExpectedFinish, UpstreamLoads]:
    loads = UpstreamLoads(entry_count=17)
    policy = ExpectedFinish(
        loads=loads,
        prefixes=PrefixIndex(clock=clock),
        wan=WanBudget(bytes_per_second=1e6, clock=clock),
        ramp=ZoneRamp(clock=clock),
        rng=rng,
    )
    return policy, loads


def decision_microseconds(policy: RoutingPolicy, fleet: Fleet, wait: float) -> float:
    """Return the mean CPU time of a decision, as the median over all rounds."""
    rng = Random(2)
    requests = [
        RouteRequest(
            ACCOUNT,
            URGENT,
            "corn-7b",
            prompt_tokens=64 * PREFIX_BLOCKS,
            max_tokens=200,
            prefix_hashes=tuple(rng.randint(0, 500) for _ in range(PREFIX_BLOCKS)),
            local_wait_seconds=wait,
        )
        for _ in range(DECISIONS)
    ]
    rounds = []
    for _ in range(ROUNDS):
        started = time.process_time()
        for request in requests:
            route = policy.choose(request, fleet)
            if isinstance(route, LocalRoute):
                policy.record_sent(request, route)
        rounds.append((time.process_time() - started) / DECISIONS * 1e6)
    return median(rounds)


def admission_microseconds() -> float:
    """Return the CPU time of a wait estimate, an admission and its release."""
    admission = RankAdmission(clock=clock)
    request = AdmissionRequest("corn-7b", "verde", URGENT, lambda: Slots(9, 9, 9))
    started = time.process_time()
    for _ in range(DECISIONS * ROUNDS):
        admission.expected_wait(request)
        coroutine = admission.admit(request)
        try:
            coroutine.send(None)
        except StopIteration as done:
            permit = done.value.unwrap()
            permit.mark_placed()
            permit.release()
    return (time.process_time() - started) / (DECISIONS * ROUNDS) * 1e6


def main() -> None:
    """Print the CPU time of each kind of decision in microseconds."""
    print("candidates  expected_finish  ... away weighed  least_loaded")
    for candidates in CANDIDATES:
        rng = Random(1)
        fleet = make_fleet(candidates, rng)
        policy, _ = make_gateway_policy(rng)
        at_home = decision_microseconds(policy, fleet, wait=0.0)
        away = decision_microseconds(policy, fleet, wait=60.0)
        baseline = decision_microseconds(LeastLoaded(), fleet, wait=0.0)
        print(f"{candidates:10d}  {at_home:15.1f}  {away:16.1f}  {baseline:12.1f}")
    print(
        f"admission, wait estimate with start and end: {admission_microseconds():.1f}"
    )


if __name__ == "__main__":
    main()
