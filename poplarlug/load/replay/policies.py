"""Placement decisions that replays compare: the product's and its baselines."""

from collections.abc import Mapping, Sequence

from poplarlug.relay.placement import (
    ENGINE_TURNOVER_SECONDS,
    Candidate,
    Full,
    Local,
    NoUpstream,
    Placement,
    PlacementPolicy,
    RemoteRegion,
    Requirements,
    place,
)


def first_come(
    demand: Requirements,
    candidates: Sequence[Candidate],
    regions: Sequence[RemoteRegion],
) -> Placement:
    """Take any engine with a free slot; candidates come in random order."""
    free = [c for c in candidates if c.load.running < c.slots]
    return _at(free[0] if free else None, candidates)


def least_loaded(
    demand: Requirements,
    candidates: Sequence[Candidate],
    regions: Sequence[RemoteRegion],
) -> Placement:
    """Take the engine with the fewest requests."""
    free = [c for c in candidates if c.load.running < c.slots]
    return _at(min(free, key=lambda c: c.load.running, default=None), candidates)


def no_refusal(
    demand: Requirements,
    candidates: Sequence[Candidate],
    regions: Sequence[RemoteRegion],
) -> Placement:
    """Place as the product does, also what comes too late for its caller."""
    return place(demand._replace(latest_seconds=float("inf")), candidates, regions)


POLICIES_BY_NAME: Mapping[str, PlacementPolicy] = {
    "product": place,
    "first-come": first_come,
    "least-loaded": least_loaded,
    "no-refusal": no_refusal,
}


def _at(chosen: Candidate | None, candidates: Sequence[Candidate]) -> Placement:
    if chosen is not None:
        return Local(chosen.id, chosen.prefill_seconds, 0.0)
    return Full(ENGINE_TURNOVER_SECONDS) if candidates else NoUpstream()
