"""Placement policies that replays compare: the gateway's own and baselines."""

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
    """Place at any engine with a free slot; candidates are in random order."""
    free = [c for c in candidates if c.load.running < c.slots]
    return _place_at(free[0] if free else None, candidates)


def least_loaded(
    demand: Requirements,
    candidates: Sequence[Candidate],
    regions: Sequence[RemoteRegion],
) -> Placement:
    """Place at the engine with the fewest requests among those with a free slot."""
    free = [c for c in candidates if c.load.running < c.slots]
    return _place_at(min(free, key=lambda c: c.load.running, default=None), candidates)


def no_refusal(
    demand: Requirements,
    candidates: Sequence[Candidate],
    regions: Sequence[RemoteRegion],
) -> Placement:
    """Place as the gateway does, but without refusing requests that would be late."""
    return place(demand._replace(latest_seconds=float("inf")), candidates, regions)


def rank_blind(
    demand: Requirements,
    candidates: Sequence[Candidate],
    regions: Sequence[RemoteRegion],
) -> Placement:
    """Place as the gateway does, but weigh the pauses of all streams alike."""
    return place(demand._replace(harm_weight=1.0), candidates, regions)


def speed_blind(
    demand: Requirements,
    candidates: Sequence[Candidate],
    regions: Sequence[RemoteRegion],
) -> Placement:
    """Place as the gateway does, but take all engines as alike and streams as short."""
    alike = [c._replace(speed=1.0, token_seconds=0.0) for c in candidates]
    return place(demand._replace(answer=None), alike, regions)


POLICIES_BY_NAME: Mapping[str, PlacementPolicy] = {
    "product": place,
    "first-come": first_come,
    "least-loaded": least_loaded,
    "no-refusal": no_refusal,
    "rank-blind": rank_blind,
    "speed-blind": speed_blind,
}


def _place_at(chosen: Candidate | None, candidates: Sequence[Candidate]) -> Placement:
    if chosen is not None:
        return Local(chosen.id, chosen.prefill_seconds, 0.0)
    return Full(ENGINE_TURNOVER_SECONDS) if candidates else NoUpstream()
