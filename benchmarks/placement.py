"""
Measures the time of a placement decision by the number of upstreams.

Run ``python -m benchmarks.placement``.
"""

import timeit
from random import Random

from poplarlug.relay.engine_model import EngineLoad
from poplarlug.relay.placement import Candidate, Requirements, place

REPEATS = 2000


def measure(upstreams: int) -> float:
    """Return the time of one decision in microseconds."""
    rng = Random(1)
    candidates = [
        Candidate(
            id=f"e-{number}",
            load=EngineLoad(rng.randrange(16), rng.randrange(3), rng.randrange(500)),
            slots=16,
            kv_capacity=170_000,
            prefill_seconds=rng.random() / 5,
        )
        for number in range(upstreams)
    ]
    demand = Requirements(
        kv_tokens=1000, objective_seconds=0.8, route_objective_seconds=0.8
    )
    seconds = timeit.timeit(lambda: place(demand, candidates, ()), number=REPEATS)
    return seconds / REPEATS * 1e6


def main() -> None:
    for upstreams in (5, 10, 35, 100):
        print(f"{upstreams:4d} upstreams: {measure(upstreams):7.1f} us a decision")


if __name__ == "__main__":
    main()
