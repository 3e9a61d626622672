"""Where a request runs: an upstream of the region, another region, or nowhere now."""

from collections.abc import Sequence
from typing import NamedTuple, TypeAlias

from poplarlug.relay.engine_model import EngineLoad, first_event_seconds
from poplarlug.types import RegionName, Seconds, UpstreamId

KV_SHARE = 0.95
"""Share of an engine's memory that running requests may fill before they preempt."""

FORWARD_SECONDS = 0.12
"""A forward's round trip between regions, beside a send in the own one."""

FORWARD_GAIN_SECONDS = 0.15
"""What a forward has to gain beyond its round trip; bytes between regions cost."""

LATE_SHARE = 0.75
"""Share of the objective that the own region may take before a forward is weighed."""

PLAIN_WORK_SECONDS = 0.03
"""Time that a plain service works on one request; the deployments say 20 to 45 ms."""


class Candidate(NamedTuple):
    """
    An upstream of the own region.

    Parameters
    ----------
    slots : int
        Requests that it runs at a time.
    kv_capacity : int
        Tokens in its memory; 0 for a plain service.
    new_tokens : int
        Prompt tokens that it would have to read.
    rate : float
        Prompt tokens that it reads a second.
    avoided : bool
        Whether it failed lately.
    """

    id: UpstreamId
    load: EngineLoad
    slots: int
    kv_capacity: int = 0
    new_tokens: int = 0
    rate: float = 1.0
    avoided: bool = False


class RemoteRegion(NamedTuple):
    """
    Another region's sums for the service.

    Parameters
    ----------
    load : EngineLoad
        Summed over its upstreams.
    upstreams : int
        How many it has, at the least.
    """

    region: RegionName
    load: EngineLoad
    slots: int
    waiting: int
    upstreams: int = 1
    rate: float = 1.0


class Demand(NamedTuple):
    """
    What a request needs.

    Parameters
    ----------
    kv_tokens : int
        Tokens that it will hold; 0 for a plain service.
    prompt_tokens : int
        Tokens that a cold cache has to read.
    objective_seconds : float
        Time left until its first answer counts as late; may be negative.
    deadline_seconds : float
        Time left until nobody waits for it.
    may_forward : bool
        Whether another region may serve it.
    must_forward : bool
        Whether the own region may not.
    """

    kv_tokens: int
    prompt_tokens: int
    objective_seconds: Seconds
    deadline_seconds: Seconds
    may_forward: bool = True
    must_forward: bool = False


class Local(NamedTuple):
    """Send it to an upstream; the first answer is expected then."""

    upstream_id: UpstreamId
    expected_seconds: Seconds
    ahead_tokens: int


class Away(NamedTuple):
    """Hand it to an entry of another region."""

    region: RegionName
    expected_seconds: Seconds


class Full(NamedTuple):
    """All places are taken; one is expected to be free then."""

    free_in_seconds: Seconds


class Nothing(NamedTuple):
    """No upstream that the request may use is there."""


Placement: TypeAlias = Local | Away | Full | Nothing


def place(
    demand: Demand, candidates: Sequence[Candidate], regions: Sequence[RemoteRegion]
) -> Placement:
    """
    Return the best place of a request.

    Load pattern: the peak of one region, at more than twice its mean, while
    others sleep. A request stays in its region while that meets its objective;
    it goes away when another region gains more than the round trip. Among
    upstreams the earliest first answer wins, so that work follows the cached
    prompt parts as long as their upstream isn't the busier one.
    """
    own = None if demand.must_forward else _best_local(demand, candidates)
    away = _best_away(demand, regions) if demand.may_forward else None
    if own is None and away is None:
        if not demand.must_forward and candidates:
            return Full(_free_in(candidates))
        return Nothing()
    if own is None or away is None:
        found = own or away
        assert found is not None
        return found
    in_time = own.expected_seconds <= LATE_SHARE * demand.objective_seconds
    gain = own.expected_seconds - away.expected_seconds
    if in_time or gain < FORWARD_GAIN_SECONDS:
        return own
    return away


def _best_local(demand: Demand, candidates: Sequence[Candidate]) -> Local | None:
    places = [c for c in candidates if _has_place(demand, c)]
    if not places:
        return None
    best = min(places, key=lambda c: (c.avoided, _expected(c), c.load.running))
    return Local(best.id, _expected(best), best.load.prefill_tokens)


def _has_place(demand: Demand, candidate: Candidate) -> bool:
    load = candidate.load
    if load.running >= candidate.slots:
        return False
    if candidate.kv_capacity <= 0 or load.running == 0:
        return True
    return load.kv_tokens + demand.kv_tokens <= KV_SHARE * candidate.kv_capacity


def _expected(candidate: Candidate) -> Seconds:
    if candidate.kv_capacity <= 0:
        return PLAIN_WORK_SECONDS * (1 + candidate.load.running / candidate.slots)
    return first_event_seconds(candidate.load, candidate.new_tokens, candidate.rate)


def _best_away(demand: Demand, regions: Sequence[RemoteRegion]) -> Away | None:
    best = None
    for region in regions:
        if region.slots <= 0 or region.waiting > 0:
            continue
        if region.load.running >= region.slots:
            continue
        # The region's entries place it at the least loaded of its upstreams.
        share = 1.0 / max(1, region.upstreams)
        load = EngineLoad(
            int(region.load.running * share), int(region.load.prefill_tokens * share)
        )
        if demand.kv_tokens > 0:
            expected = first_event_seconds(load, demand.prompt_tokens, region.rate)
        else:
            expected = PLAIN_WORK_SECONDS
        expected += FORWARD_SECONDS
        if best is None or expected < best.expected_seconds:
            best = Away(region.region, expected)
    return best


def _free_in(candidates: Sequence[Candidate]) -> Seconds:
    """Return when a place is free, at the least loaded upstream."""
    least = min(c.load.running / max(1, c.slots) for c in candidates)
    if all(c.kv_capacity <= 0 for c in candidates):
        return PLAIN_WORK_SECONDS * max(1.0, least)
    return 0.25
