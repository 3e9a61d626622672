"""Where a request runs: an upstream of the region, another region, or nowhere now."""

from collections.abc import Callable, Sequence
from typing import NamedTuple, TypeAlias

from poplarlug.relay.engine_model import (
    FIRST_EVENT_SECONDS,
    LONG_PREFILL_SECONDS,
    EngineLoad,
)
from poplarlug.types import RegionName, Seconds, UpstreamId

TOLERATED_ERRORS = 0.2
"""Share of failures that says nothing against an upstream; some requests fail
wherever they run."""

KV_SHARE = 0.95
"""Share of an engine's memory that running requests may fill before they preempt."""

FORWARD_SECONDS = 0.12
"""A forward's round trip between regions, beside a send in the own one."""

FORWARD_LOSS = 0.05
"""What a forward has to gain beyond its time, as a share of the answer's worth; its
bytes between regions and its second entry cost about that."""

EARLY_SHARE = 0.3
"""An answer expected within this share of its objective comes in time."""

WAITING_LOSS = 8.0
"""Loss in a region for requests that wait there, as a share of its places: with one
waiting for eight places, another one would come too late."""

LATE_LOSS = 0.7
"""Share of its worth that an answer loses when it is late."""

DELAY_LOSS = 0.05
"""Loss of an answer in time that takes its whole objective; it breaks ties."""

PAUSE_LOSS = 0.06
"""Loss for each stream that a long prompt makes pause, as a share of one answer's
worth. Replays of bursts served most at 0.03 to 0.12; see docs/design/load.md."""

HOLD_LOSS = 0.8
"""A long prompt that would lose more than this at its best place waits instead, so
one that is late already runs only where it harms few; see docs/design/load.md."""

REREAD_LOSS_PER_TOKEN = 1.0e-4
"""Loss for each token of a shared part that is read again although an engine had it."""

ENGINE_TURN_SECONDS = 0.25
"""An engine reads a long prompt in about this time, and a stream of it ends."""

PLAIN_WORK_SECONDS = 0.03
"""Time that a plain service works on one request; the deployments say 20 to 45 ms."""

PLAIN_QUEUE_SHARE = 2.0
"""Requests that a plain service may have, in places; more are turned away there."""


class Candidate(NamedTuple):
    """
    An upstream of the own region.

    Parameters
    ----------
    slots : int
        Requests that it runs at a time.
    kv_capacity : int
        Tokens in its memory; 0 for a plain service.
    read_seconds : float
        Time to read the request's prompt, less what its cache holds.
    reread_tokens : int
        Tokens of shared parts that it would read though another engine has them.
    speed : float
        Its speed against the nominal one.
    error_share : float
        Share of its latest answers that were failures.
    avoided : bool
        Whether it broke a connection lately.
    """

    id: UpstreamId
    load: EngineLoad
    slots: int
    kv_capacity: int = 0
    read_seconds: Seconds = 0.0
    reread_tokens: int = 0
    speed: float = 1.0
    error_share: float = 0.0
    avoided: bool = False


class RemoteRegion(NamedTuple):
    """
    Another region as its control replica described it.

    Parameters
    ----------
    slots, running, waiting : int
        Sums over its upstreams and entries.
    calm : EngineLoad
        Its engine with the fewest streams that a long prompt would disturb.
    quick : EngineLoad
        Its engine with the least to read.
    read_seconds : float
        Time to read the request's prompt there.
    reread_tokens : int
        See :class:`Candidate`.
    avoided : bool
        Whether it could not be reached, or had no upstream in reach, lately.
    spared : bool
        Whether all of its upstreams name limits, and the own region has upstreams too.
    """

    region: RegionName
    slots: int
    running: int
    waiting: int
    calm: EngineLoad = EngineLoad()
    quick: EngineLoad = EngineLoad()
    read_seconds: Seconds = 0.0
    reread_tokens: int = 0
    avoided: bool = False
    spared: bool = False


class Demand(NamedTuple):
    """
    What a request needs.

    Parameters
    ----------
    kv_tokens : int
        Tokens that it will hold; 0 for a plain service.
    objective_seconds : float
        Time left until its first answer counts as late; may be negative.
    whole_objective_seconds : float
        The same at its arrival.
    latest_seconds : float
        Time left until a first answer would be of no use any more, because the
        rest of it would come after the caller's deadline.
    may_forward : bool
        Whether another region may serve it.
    must_forward : bool
        Whether the own region may not.
    """

    kv_tokens: int
    objective_seconds: Seconds
    whole_objective_seconds: Seconds
    latest_seconds: Seconds = float("inf")
    may_forward: bool = True
    must_forward: bool = False


class Local(NamedTuple):
    """
    Send it to an upstream; the first answer is expected then.

    Parameters
    ----------
    loss : float
        What is lost there, as a share of the answer's worth.
    harm : float
        The part of it that other answers lose by a long prompt.
    """

    upstream_id: UpstreamId
    expected_seconds: Seconds
    loss: float
    harm: float = 0.0


class Away(NamedTuple):
    """Hand it to an entry of another region."""

    region: RegionName
    expected_seconds: Seconds
    loss: float
    harm: float = 0.0


class Full(NamedTuple):
    """
    All places are taken; one is expected to be free then.

    Parameters
    ----------
    pace_seconds : float or None
        Time between further ones where a limit sets it, however soon requests end.
    """

    free_in_seconds: Seconds
    pace_seconds: Seconds | None = None


class Nothing(NamedTuple):
    """No upstream that the request may use is there."""


Placement: TypeAlias = Local | Away | Full | Nothing

Decide: TypeAlias = Callable[
    [Demand, Sequence[Candidate], Sequence[RemoteRegion]], Placement
]


def place(
    demand: Demand, candidates: Sequence[Candidate], regions: Sequence[RemoteRegion]
) -> Placement:
    """
    Return the place of a request with the least expected loss.

    Load pattern: the peak of one region, at more than twice its mean, while
    others sleep; long prompts among many short streams. The loss of a place is
    the share of the answer's worth that goes when it is late, and what other
    answers lose: a long prompt makes the engine's streams pause, so long prompts
    gather at engines with few streams, and streams at engines with few long
    prompts. Another region is taken when that saves more than the way costs.

    In a burst of long prompts, one whose best place would cost the others more
    than ``HOLD_LOSS`` is held back until that place has calmed down; so is one
    whose answer would not be whole before its caller's deadline.

    A region that failed lately looks idle, since nothing runs there. It is asked
    only where no other place exists.
    """
    own = None if demand.must_forward else _best_local(demand, candidates)
    if not demand.must_forward:
        # Callers there use up the limits; a request would come back refused.
        regions = [region for region in regions if not region.spared]
    usable = [region for region in regions if not region.avoided]
    if not usable and (demand.must_forward or not candidates):
        usable = list(regions)
    away = _best_away(demand, usable) if demand.may_forward else None
    if own is None and away is None:
        if not demand.must_forward and candidates:
            return Full(_free_in(candidates))
        return Nothing()
    best = min((p for p in (own, away) if p is not None), key=lambda p: p.loss)
    if best.expected_seconds > demand.latest_seconds:
        return Full(ENGINE_TURN_SECONDS)
    if best.harm > 0 and best.loss > HOLD_LOSS:
        return Full(ENGINE_TURN_SECONDS)
    return best


def _best_local(demand: Demand, candidates: Sequence[Candidate]) -> Local | None:
    places = [c for c in candidates if _has_place(demand, c)]
    if not places:
        return None
    losses = {c.id: _local_loss(demand, c) for c in places}
    best = min(places, key=lambda c: (c.avoided, losses[c.id], c.load.running))
    harm = 0.0 if best.kv_capacity <= 0 else _harm(best.load, best.read_seconds)
    return Local(best.id, _expected(best), losses[best.id], harm)


def _has_place(demand: Demand, candidate: Candidate) -> bool:
    load = candidate.load
    if candidate.kv_capacity <= 0:
        return load.running < PLAIN_QUEUE_SHARE * candidate.slots
    if load.running >= candidate.slots:
        return False
    if load.running == 0:
        return True
    return load.kv_tokens + demand.kv_tokens <= KV_SHARE * candidate.kv_capacity


def _expected(candidate: Candidate) -> Seconds:
    if candidate.kv_capacity <= 0:
        beyond = max(0, candidate.load.running + 1 - candidate.slots)
        return PLAIN_WORK_SECONDS * (1 + beyond / candidate.slots)
    work = candidate.load.read_ms / 1000 + candidate.read_seconds
    return work / candidate.speed + FIRST_EVENT_SECONDS


def _local_loss(demand: Demand, candidate: Candidate) -> float:
    loss = max(0.0, candidate.error_share - TOLERATED_ERRORS)
    loss += _time_loss(demand, _expected(candidate))
    if candidate.kv_capacity <= 0:
        return loss
    loss += _harm(candidate.load, candidate.read_seconds)
    loss += _risk(candidate.load, candidate.read_seconds)
    return loss + REREAD_LOSS_PER_TOKEN * candidate.reread_tokens


def _time_loss(demand: Demand, expected: Seconds) -> float:
    whole = demand.whole_objective_seconds
    delay = DELAY_LOSS * expected / whole
    left = demand.objective_seconds
    if left <= 0:
        # It is late anyway; sooner is still better.
        return LATE_LOSS + delay
    late = (expected / left - EARLY_SHARE) / (1 - EARLY_SHARE)
    return LATE_LOSS * min(1.0, max(0.0, late)) + delay


def _harm(load: EngineLoad, read: Seconds) -> float:
    """Return what an engine's streams lose by a long prompt; 0 for a short one."""
    return (
        PAUSE_LOSS * (load.running - load.long) if read > LONG_PREFILL_SECONDS else 0.0
    )


def _risk(load: EngineLoad, read: Seconds) -> float:
    """Return what a short prompt's stream may lose by an engine's long ones."""
    return 0.0 if read > LONG_PREFILL_SECONDS else PAUSE_LOSS * load.long


def _best_away(demand: Demand, regions: Sequence[RemoteRegion]) -> Away | None:
    best = None
    for region in regions:
        if region.slots <= 0 or region.running >= region.slots:
            continue
        away = _away(demand, region)
        if best is None or away.loss < best.loss:
            best = away
    return best


def _away(demand: Demand, region: RemoteRegion) -> Away:
    if demand.kv_tokens <= 0:
        expected = PLAIN_WORK_SECONDS + FORWARD_SECONDS
        return Away(
            region.region, expected, FORWARD_LOSS + _time_loss(demand, expected)
        )
    is_long = region.read_seconds > LONG_PREFILL_SECONDS
    load = region.calm if is_long else region.quick
    expected = (
        load.read_ms / 1000
        + region.read_seconds
        + FIRST_EVENT_SECONDS
        + FORWARD_SECONDS
    )
    loss = FORWARD_LOSS + _waiting_loss(region) + _time_loss(demand, expected)
    harm = _harm(load, region.read_seconds)
    loss += harm + _risk(load, region.read_seconds)
    loss += REREAD_LOSS_PER_TOKEN * region.reread_tokens
    return Away(region.region, expected, loss, harm)


def _waiting_loss(region: RemoteRegion) -> float:
    """Return the loss expected behind what waits at a region's entries."""
    return min(1.0, region.waiting / region.slots * WAITING_LOSS)


def _free_in(candidates: Sequence[Candidate]) -> Seconds:
    """Return when a place is free, at the least loaded upstream."""
    if all(c.kv_capacity <= 0 for c in candidates):
        least = min(c.load.running / max(1, c.slots) for c in candidates)
        return PLAIN_WORK_SECONDS * max(1.0, least)
    return ENGINE_TURN_SECONDS
