"""Decides where a request runs: in the own region, in another one, or nowhere yet."""

from collections.abc import Callable, Sequence
from typing import NamedTuple, TypeAlias

from poplarlug.relay.answer_time import MIN_END_PROBABILITY, ExpectedAnswer
from poplarlug.relay.engine_model import (
    FIRST_EVENT_SECONDS,
    LONG_PREFILL_SECONDS,
    EngineLoad,
)
from poplarlug.types import RegionName, Seconds, UpstreamId

TOLERATED_ERRORS = 0.2
"""Share of failed responses that does not count against an upstream; some requests fail
wherever they run."""

KV_SHARE = 0.95
"""Share of an engine's KV memory that running requests may fill; above it the engine
would start to preempt them."""

FORWARD_SECONDS = 0.12
"""Extra time of a forward to another region, compared with a send in the own one: the
round trip between the regions."""

FORWARD_LOSS = 0.05
"""Fixed cost of a forward in addition to its time, as a share of the response's worth;
about what its traffic between regions and its second entry cost."""

EARLY_SHARE = 0.3
"""A response expected within this share of its objective counts as in time."""

WAITING_LOSS = 8.0
"""Loss per queued request and slot in another region: with one queued request for eight
slots, the response to a further one would be late."""

LATE_LOSS = 0.7
"""Share of its worth that a response loses when it is late."""

CUT_OFF_LOSS = 1.0
"""Share of its worth that a stream loses that doesn't end before its deadline."""

TOLERATED_CUT_OFFS = 0.1
"""Probability of not ending in time that does not count against an engine; else all entries
would send streams of any length to the quickest one."""

DELAY_LOSS = 0.05
"""Loss of a timely response that takes its full objective; it breaks ties."""

PAUSE_LOSS = 0.06
"""Loss for each stream that pauses because of a long prompt, as a share of one
response's worth. Replays of bursts served most at 0.03 to 0.12; see docs/design/load.md."""

MAX_LONG_PROMPT_LOSS = 0.8
"""A long prompt whose best target has a higher loss waits instead. One that is already
late thus runs only where it disturbs few streams; see docs/design/load.md."""

RECOMPUTE_LOSS_PER_TOKEN = 1.0e-4
"""Loss for each token of a shared prompt part that is prefilled again although another
engine has it cached."""

ENGINE_TURNOVER_SECONDS = 0.25
"""Time in which an engine typically prefills a long prompt and one of its streams ends."""

PLAIN_WORK_SECONDS = 0.03
"""Processing time of one request at a plain service; 20 to 45 ms according to the
deployments."""

PLAIN_QUEUE_SHARE = 2.0
"""Requests that a plain service may hold, as a multiple of its slots; it refuses more."""


class Candidate(NamedTuple):
    """
    An upstream of the own region.

    Parameters
    ----------
    slots : int
        Number of requests that it runs concurrently.
    kv_capacity : int
        Tokens that fit into its KV memory; 0 for a plain service.
    prefill_seconds : float
        Time to prefill the request's prompt, except for the cached tokens.
    recomputed_tokens : int
        Tokens of shared parts that it would prefill although another engine has them
        cached.
    speed : float
        Its speed relative to the nominal one.
    token_seconds : float
        Time between two tokens of a stream there; 0 if unknown.
    error_share : float
        Share of errors among its recent responses.
    avoided : bool
        Whether it recently failed a request.
    cached_tokens : int
        Tokens of the prompt that it is expected to have cached.
    """

    id: UpstreamId
    load: EngineLoad
    slots: int
    kv_capacity: int = 0
    prefill_seconds: Seconds = 0.0
    recomputed_tokens: int = 0
    speed: float = 1.0
    token_seconds: Seconds = 0.0
    error_share: float = 0.0
    avoided: bool = False
    cached_tokens: int = 0


class RemoteRegion(NamedTuple):
    """
    Another region, as reported by its control replica.

    Parameters
    ----------
    slots, running, waiting : int
        Sums over its upstreams and entries.
    calm : EngineLoad
        Load of its engine with the fewest streams that a long prompt would disturb.
    quick : EngineLoad
        Load of its engine with the least prefill work.
    prefill_seconds : float
        Time to prefill the request's prompt there.
    calm_token_seconds, quick_token_seconds : float
        Time between two tokens of a stream at these engines; 0 if unknown.
    recomputed_tokens : int
        See :class:`Candidate`.
    avoided : bool
        Whether it recently could not be reached, or had no reachable upstream.
    excluded_by_limits : bool
        Whether all of its upstreams have rate limits while the own region has upstreams
        of the service; it then gets only requests that may not run in the own region.
    """

    region: RegionName
    slots: int
    running: int
    waiting: int
    calm: EngineLoad = EngineLoad()
    quick: EngineLoad = EngineLoad()
    prefill_seconds: Seconds = 0.0
    calm_token_seconds: Seconds = 0.0
    quick_token_seconds: Seconds = 0.0
    recomputed_tokens: int = 0
    avoided: bool = False
    excluded_by_limits: bool = False


class Requirements(NamedTuple):
    """
    What a request needs.

    Parameters
    ----------
    kv_tokens : int
        Tokens of KV memory that it will use; 0 for a plain service.
    objective_seconds : float
        Time left until the start of its response counts as late; may be negative.
    route_objective_seconds : float
        The same time as of its arrival.
    latest_seconds : float
        Time left until the start of a response would be useless, as the caller would
        have left or the rest of the response would come after its deadline.
    may_forward : bool
        Whether another region may serve it.
    must_forward : bool
        Whether the own region may not serve it.
    harm_weight : float
        Weight of what the responses of an engine lose through the request; below 1 if
        it is more urgent than most of them.
    answer : ExpectedAnswer or None
        Length of a stream's response; ``None`` if its caller doesn't say.
    """

    kv_tokens: int
    objective_seconds: Seconds
    route_objective_seconds: Seconds
    latest_seconds: Seconds = float("inf")
    may_forward: bool = True
    must_forward: bool = False
    harm_weight: float = 1.0
    answer: ExpectedAnswer | None = None


class Local(NamedTuple):
    """
    Send the request to an upstream of the own region.

    Parameters
    ----------
    expected_seconds : float
        Expected time to the start of its response.
    loss : float
        Expected loss there, as a share of the response's worth.
    harm : float
        The part of the loss that a long prompt causes to other responses.
    """

    upstream_id: UpstreamId
    expected_seconds: Seconds
    loss: float
    harm: float = 0.0


class Remote(NamedTuple):
    """Forward the request to an entry of another region."""

    region: RegionName
    expected_seconds: Seconds
    loss: float
    harm: float = 0.0


class Full(NamedTuple):
    """
    All slots are taken, or none is acceptable yet; the request waits.

    Parameters
    ----------
    free_in_seconds : float
        Time until a slot is expected to be free.
    interval_seconds : float or None
        Time between further slots if a rate limit determines it, however soon requests
        end.
    """

    free_in_seconds: Seconds
    interval_seconds: Seconds | None = None


class Paused(NamedTuple):
    """
    All upstreams that the request may use asked for a pause; it is refused at once.

    Parameters
    ----------
    seconds : float
        Time until the shortest of these pauses ends.
    """

    seconds: Seconds


class Unfinishable(NamedTuple):
    """The stream can't end before its deadline wherever it may run; it is refused."""


class NoUpstream(NamedTuple):
    """There is no upstream that the request may use."""


Placement: TypeAlias = Local | Remote | Full | Unfinishable | NoUpstream

PlacementPolicy: TypeAlias = Callable[
    [Requirements, Sequence[Candidate], Sequence[RemoteRegion]], Placement
]


def place(
    requirements: Requirements,
    candidates: Sequence[Candidate],
    regions: Sequence[RemoteRegion],
) -> Placement:
    """
    Return the placement of a request with the least expected loss.

    Load pattern: the peak of one region, at more than twice its mean, while others are
    idle; long prompts among many short streams. The loss of a placement is the share of
    the response's worth that is lost if it is late, plus what other responses lose: a
    long prompt makes the engine's streams pause, so long prompts are collected at
    engines with few streams, and streams at engines with few long prompts. Another
    region is chosen if that saves more than the forward costs.

    In a burst of long prompts, one that would disturb other streams and whose best
    placement has a loss above ``MAX_LONG_PROMPT_LOSS`` waits until the load there has
    dropped; so does a request whose response would not be complete before its caller's
    deadline.

    A stream whose caller estimates its length goes where it is likely to end before its
    deadline. One that nearly surely can't, also where no slot is free now, is refused.

    A region that failed recently looks idle, since nothing runs there. It is used only
    if there is no other choice.
    """
    own = None if requirements.must_forward else _best_local(requirements, candidates)
    if not requirements.must_forward:
        # The region's own callers use up its rate limits; it would refuse the request.
        regions = [region for region in regions if not region.excluded_by_limits]
    usable = [region for region in regions if not region.avoided]
    if not usable and (requirements.must_forward or not candidates):
        usable = list(regions)
    remote = _best_remote(requirements, usable) if requirements.may_forward else None
    if requirements.answer is not None and (own is not None or remote is not None):
        reach = usable if requirements.may_forward else ()
        within = () if requirements.must_forward else candidates
        if _is_unfinishable(requirements.answer, within, reach):
            return Unfinishable()
    if own is None and remote is None:
        if not requirements.must_forward and candidates:
            return Full(_free_in(candidates))
        return NoUpstream()
    best = min((p for p in (own, remote) if p is not None), key=lambda p: p.loss)
    if best.expected_seconds > requirements.latest_seconds:
        return Full(ENGINE_TURNOVER_SECONDS)
    if best.harm > 0 and best.loss > MAX_LONG_PROMPT_LOSS:
        return Full(ENGINE_TURNOVER_SECONDS)
    return best


def _is_unfinishable(
    answer: ExpectedAnswer,
    candidates: Sequence[Candidate],
    regions: Sequence[RemoteRegion],
) -> bool:
    """Return whether a stream can't end in time, even at engines that are full now."""
    return all(
        answer.end_probability(_expected(c), c.token_seconds) < MIN_END_PROBABILITY
        for c in candidates
    ) and all(
        answer.end_probability(FORWARD_SECONDS, token_seconds) < MIN_END_PROBABILITY
        for region in regions
        for token_seconds in (region.calm_token_seconds, region.quick_token_seconds)
    )


def _best_local(
    requirements: Requirements, candidates: Sequence[Candidate]
) -> Local | None:
    available = [c for c in candidates if _has_capacity(requirements, c)]
    if not available:
        return None
    losses = {c.id: _local_loss(requirements, c) for c in available}
    best = min(available, key=lambda c: (c.avoided, losses[c.id], c.load.running))
    harm = 0.0
    if best.kv_capacity > 0:
        harm = _harm(requirements, best.load, best.prefill_seconds)
    return Local(best.id, _expected(best), losses[best.id], harm)


def _has_capacity(requirements: Requirements, candidate: Candidate) -> bool:
    load = candidate.load
    if candidate.kv_capacity <= 0:
        return load.running < PLAIN_QUEUE_SHARE * candidate.slots
    if load.running >= candidate.slots:
        return False
    if load.running == 0:
        return True
    return load.kv_tokens + requirements.kv_tokens <= KV_SHARE * candidate.kv_capacity


def _expected(candidate: Candidate) -> Seconds:
    if candidate.kv_capacity <= 0:
        beyond = max(0, candidate.load.running + 1 - candidate.slots)
        return PLAIN_WORK_SECONDS * (1 + beyond / candidate.slots)
    work = candidate.load.read_ms / 1000 + candidate.prefill_seconds
    return work / candidate.speed + FIRST_EVENT_SECONDS


def _local_loss(requirements: Requirements, candidate: Candidate) -> float:
    loss = max(0.0, candidate.error_share - TOLERATED_ERRORS)
    expected = _expected(candidate)
    loss += _time_loss(requirements, expected)
    if candidate.kv_capacity <= 0:
        return loss
    loss += _cut_off_loss(requirements, expected, candidate.token_seconds)
    loss += _harm(requirements, candidate.load, candidate.prefill_seconds)
    loss += _risk(candidate.load, candidate.prefill_seconds)
    return loss + RECOMPUTE_LOSS_PER_TOKEN * candidate.recomputed_tokens


def _time_loss(requirements: Requirements, expected: Seconds) -> float:
    route_objective = requirements.route_objective_seconds
    delay = DELAY_LOSS * expected / route_objective
    left = requirements.objective_seconds
    if left <= 0:
        # The response is late anyway, but earlier is still better.
        return LATE_LOSS + delay
    late = (expected / left - EARLY_SHARE) / (1 - EARLY_SHARE)
    return LATE_LOSS * min(1.0, max(0.0, late)) + delay


def _cut_off_loss(
    requirements: Requirements, first: Seconds, token_seconds: Seconds
) -> float:
    """Return what a stream is expected to lose as it may not end before its deadline."""
    if requirements.answer is None:
        return 0.0
    cut_off = 1 - requirements.answer.end_probability(first, token_seconds)
    return CUT_OFF_LOSS * max(0.0, cut_off - TOLERATED_CUT_OFFS)


def _harm(requirements: Requirements, load: EngineLoad, prefill: Seconds) -> float:
    """Return what an engine's streams lose through a long prompt; 0 for a short one."""
    if prefill <= LONG_PREFILL_SECONDS:
        return 0.0
    return requirements.harm_weight * PAUSE_LOSS * (load.running - load.long)


def _risk(load: EngineLoad, prefill: Seconds) -> float:
    """Return what a short prompt's stream may lose through an engine's long prompts."""
    return 0.0 if prefill > LONG_PREFILL_SECONDS else PAUSE_LOSS * load.long


def _best_remote(
    requirements: Requirements, regions: Sequence[RemoteRegion]
) -> Remote | None:
    best = None
    for region in regions:
        if region.slots <= 0 or region.running >= region.slots:
            continue
        remote = _remote(requirements, region)
        if best is None or remote.loss < best.loss:
            best = remote
    return best


def _remote(requirements: Requirements, region: RemoteRegion) -> Remote:
    if requirements.kv_tokens <= 0:
        expected = PLAIN_WORK_SECONDS + FORWARD_SECONDS
        return Remote(
            region.region, expected, FORWARD_LOSS + _time_loss(requirements, expected)
        )
    is_long = region.prefill_seconds > LONG_PREFILL_SECONDS
    load = region.calm if is_long else region.quick
    token_seconds = region.calm_token_seconds if is_long else region.quick_token_seconds
    expected = (
        load.read_ms / 1000
        + region.prefill_seconds
        + FIRST_EVENT_SECONDS
        + FORWARD_SECONDS
    )
    loss = FORWARD_LOSS + _waiting_loss(region) + _time_loss(requirements, expected)
    harm = _harm(requirements, load, region.prefill_seconds)
    loss += harm + _risk(load, region.prefill_seconds)
    loss += RECOMPUTE_LOSS_PER_TOKEN * region.recomputed_tokens
    loss += _cut_off_loss(requirements, expected, token_seconds)
    return Remote(region.region, expected, loss, harm)


def _waiting_loss(region: RemoteRegion) -> float:
    """Return the expected loss from the requests queued at a region's entries."""
    return min(1.0, region.waiting / region.slots * WAITING_LOSS)


def _free_in(candidates: Sequence[Candidate]) -> Seconds:
    """Return the expected time until a slot is free at the least loaded upstream."""
    if all(c.kv_capacity <= 0 for c in candidates):
        least = min(c.load.running / max(1, c.slots) for c in candidates)
        return PLAIN_WORK_SECONDS * max(1.0, least)
    return ENGINE_TURNOVER_SECONDS
