"""Tracks the requests of this entry at each upstream, next to those of the others."""

from collections.abc import Callable, Iterable

from prometheus_client import Counter

from poplarlug.discovery.records import ServiceUpstream, UpstreamLoad
from poplarlug.metrics import REGISTRY
from poplarlug.relay.engine_memory import EngineMemories
from poplarlug.relay.engine_model import (
    FIRST_EVENT_SECONDS,
    LONG_PREFILL_SECONDS,
    MIN_MEASURED_SECONDS,
    NO_WORK,
    EngineLoad,
    MeasuredWork,
    RecentWork,
    uncached_prefill_seconds,
)
from poplarlug.relay.requests import RelayRequest
from poplarlug.routes import Engine
from poplarlug.types import Seconds, UpstreamId

FIRST_BACKOFF_SECONDS = 1.0
"""Initial time for which an upstream is the last choice after a failure."""

MAX_BACKOFF_SECONDS = 8.0
"""Upper bound of the backoff, which doubles with each consecutive failure."""

ERROR_WEIGHT = 0.1
"""Weight of the latest response in the moving average of an upstream's error share."""

ERROR_HALF_LIFE_SECONDS = 3.0
"""Half-life of the error share of an upstream that receives no requests."""

MAX_MEASURED_SECONDS = 1.5
"""Streams are measured each second at least. A longer time tells nothing of an engine: this
process was suspended, and what the stream got meanwhile isn't read yet."""

NEVER = float("-inf")
"""An event loop time before all others."""

_PREFILL_SECONDS = Counter(
    "poplarlug_relay_prefill_seconds_total",
    "Prefill before first events, queue included: at nominal speed, with the parts that "
    "engines are expected to cache, and as measured.",
    ["time"],
    registry=REGISTRY,
)

_EXPECTED_TOKENS = Counter(
    "poplarlug_relay_expected_cached_tokens_total",
    "Prompt tokens that engines were expected to have cached, by whether the time of the "
    "first event looked so; unclear if the prefill of them takes little time.",
    ["looked"],
    registry=REGISTRY,
)


class InFlightRequest:
    """One request at one upstream, from start to :meth:`InFlightTracker.note_ended`."""

    def __init__(
        self,
        *,
        upstream_id: UpstreamId,
        request: RelayRequest,
        prefill_seconds: Seconds,
        cached_tokens: int = 0,
    ) -> None:
        self.upstream_id = upstream_id
        self.cached_tokens = cached_tokens
        self._saved_seconds = max(
            0.0, uncached_prefill_seconds(request.prompt.tokens) - prefill_seconds
        )
        self.read_ms = round(prefill_seconds * 1000)
        self.is_long = prefill_seconds > LONG_PREFILL_SECONDS
        self.kv_tokens = request.prompt.tokens + request.prompt.max_tokens
        self.has_first_event = False
        self.got_error = False
        self._received_tokens: Callable[[], int] | None = None
        self._tokens = 0
        self._measured_at = NEVER

    def looked_cached(self, *, expected: Seconds, measured: Seconds) -> str:
        """
        Return whether a first event's time shows that the engine had the tokens cached.

        Parameters
        ----------
        expected : float
            Time that the prefill takes with them, queue included.
        """
        if self._saved_seconds < MIN_MEASURED_SECONDS:
            return "unclear"
        return "kept" if measured < expected + self._saved_seconds / 2 else "lost"

    def follow_stream(
        self, received_tokens: Callable[[], int], *, now: Seconds
    ) -> None:
        """
        Measure the rate of a stream from now on.

        Parameters
        ----------
        received_tokens : callable
            Returns how many tokens its events held so far.
        """
        self._received_tokens = received_tokens
        self._tokens = received_tokens()
        self._measured_at = now

    def measure_into(self, work: RecentWork, *, now: Seconds) -> None:
        """Record the tokens since the last call, and the time that they took."""
        if self._received_tokens is None or now <= self._measured_at:
            return
        tokens = self._received_tokens()
        seconds = now - self._measured_at
        if seconds <= MAX_MEASURED_SECONDS:
            work.note_decoded(
                now, tokens=max(0, tokens - self._tokens), seconds=seconds
            )
        self._tokens = tokens
        self._measured_at = now


class ErrorShare:
    """Moving average of the share of an upstream's responses that were errors."""

    def __init__(self) -> None:
        self._share = 0.0
        self._noted_at = 0.0

    def note(self, now: Seconds, *, failed: bool) -> None:
        """Record the latest response."""
        share = self.value_at(now)
        self._share = share + ERROR_WEIGHT * (float(failed) - share)
        self._noted_at = now

    @property
    def is_zero(self) -> bool:
        return self._share == 0.0

    def value_at(self, now: Seconds) -> float:
        """Return the share, which decays while no responses are recorded."""
        return self._share * 0.5 ** ((now - self._noted_at) / ERROR_HALF_LIFE_SECONDS)


class _UpstreamState:
    def __init__(self) -> None:
        self.errors = ErrorShare()
        self.requests: set[InFlightRequest] = set()
        self.work = RecentWork()
        self.failures = 0
        self.avoided_until = NEVER
        self.cold_until = NEVER
        self.load: EngineLoad | None = None


class InFlightTracker:
    """
    Track the requests at each upstream and the statistics derived from them.

    Parameters
    ----------
    others : callable
        Returns the load of other entries at an upstream, as last reported.

    Attributes
    ----------
    memories : EngineMemories
        What the engines are believed to have cached.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], Seconds],
        others: Callable[[UpstreamId], UpstreamLoad | None],
    ) -> None:
        self._clock = clock
        self._others = others
        self._states_by_id: dict[UpstreamId, _UpstreamState] = {}
        self.memories = EngineMemories(clock=clock)

    def load(self, upstream_id: UpstreamId) -> EngineLoad:
        """Return the load of an upstream from this entry and all others."""
        own = self._own_load(self._states_by_id.get(upstream_id))
        other = self._others(upstream_id)
        if other is None:
            return own
        return EngineLoad(
            own.running + other.running,
            own.long + other.long,
            own.read_ms + other.read_ms,
            own.kv_tokens + other.kv_tokens,
        )

    def own_running(self, upstream_id: UpstreamId) -> int:
        state = self._states_by_id.get(upstream_id)
        return 0 if state is None else len(state.requests)

    def own_loads(self) -> tuple[UpstreamLoad, ...]:
        """Return the load from this entry at each upstream, for its report."""
        self._measure_streams()
        return tuple(
            UpstreamLoad(upstream_id, *self._own_load(state), *state.work.work)
            for upstream_id, state in self._states_by_id.items()
            if state.requests or any(state.work.work)
        )

    def work(self, upstream_id: UpstreamId) -> MeasuredWork:
        """Return what an upstream did recently, as seen by this entry and all others."""
        state = self._states_by_id.get(upstream_id)
        own = NO_WORK if state is None else state.work.work
        other = self._others(upstream_id)
        if other is None:
            return own
        others = MeasuredWork(
            other.nominal_ms, other.prefill_ms, other.tokens, other.decode_ms
        )
        return others if own is NO_WORK else own.plus(others)

    def error_share(self, upstream_id: UpstreamId) -> float:
        """Return the share of an upstream's recent responses that were errors."""
        state = self._states_by_id.get(upstream_id)
        if state is None or state.errors.is_zero:
            return 0.0
        return state.errors.value_at(self._clock())

    def is_avoided(self, upstream_id: UpstreamId) -> bool:
        """Return whether an upstream is in backoff after a failure."""
        state = self._states_by_id.get(upstream_id)
        if state is None or state.avoided_until == NEVER:
            return False
        return self._clock() < state.avoided_until

    def cold_seconds(self, upstream_id: UpstreamId) -> Seconds:
        """Return how much longer an upstream is cold according to its responses."""
        state = self._states_by_id.get(upstream_id)
        if state is None or state.cold_until == NEVER:
            return 0.0
        return max(0.0, state.cold_until - self._clock())

    def note_started(
        self,
        upstream: ServiceUpstream,
        engine: Engine | None,
        request: RelayRequest,
        prefill_seconds: Seconds,
        *,
        cached_tokens: int = 0,
    ) -> InFlightRequest:
        """
        Record that ``request`` is being sent to ``upstream``.

        Parameters
        ----------
        prefill_seconds : float
            Prefill time of the prompt at the upstream.
        cached_tokens : int
            Tokens of the prompt that the upstream is expected to have cached.
        """
        state = self._get_or_add(upstream.id)
        in_flight_request = InFlightRequest(
            upstream_id=upstream.id,
            request=request,
            prefill_seconds=prefill_seconds,
            cached_tokens=cached_tokens,
        )
        state.requests.add(in_flight_request)
        state.load = None
        if engine is not None:
            self.memories.note_sent(upstream, request.prompt, engine.kv_capacity_tokens)
        return in_flight_request

    def note_first_event(
        self, in_flight_request: InFlightRequest, *, ahead_ms: int, seconds: Seconds
    ) -> None:
        """
        Record the first event of a request's response.

        Parameters
        ----------
        ahead_ms : int
            Milliseconds of prefill that were queued before the request.
        seconds : float
            Time since the request was sent.
        """
        in_flight_request.has_first_event = True
        state = self._states_by_id.get(in_flight_request.upstream_id)
        if state is not None:
            state.load = None
            expected = (in_flight_request.read_ms + ahead_ms) / 1000
            measured = max(0.0, seconds - FIRST_EVENT_SECONDS)
            if expected > 0:
                _PREFILL_SECONDS.labels("expected").inc(expected)
                _PREFILL_SECONDS.labels("measured").inc(measured)
            if in_flight_request.cached_tokens:
                looked = in_flight_request.looked_cached(
                    expected=expected / state.work.work.speed, measured=measured
                )
                _EXPECTED_TOKENS.labels(looked).inc(in_flight_request.cached_tokens)
            state.work.note_prefill(self._clock(), expected=expected, seconds=seconds)

    def note_ended(self, in_flight_request: InFlightRequest, *, failed: bool) -> None:
        """Record the end of a request; a failure puts the upstream into backoff."""
        state = self._states_by_id.get(in_flight_request.upstream_id)
        if state is None:
            return
        state.requests.discard(in_flight_request)
        state.load = None
        in_flight_request.measure_into(state.work, now=self._clock())
        state.errors.note(self._clock(), failed=failed or in_flight_request.got_error)
        if not failed:
            state.failures = 0
            state.avoided_until = NEVER
            return
        delay = min(MAX_BACKOFF_SECONDS, FIRST_BACKOFF_SECONDS * 2**state.failures)
        state.failures = min(state.failures + 1, 10)
        state.avoided_until = self._clock() + delay

    def note_cold(self, upstream_id: UpstreamId, seconds: Seconds) -> None:
        """Record how long an upstream stays cold, as stated in one of its responses."""
        state = self._states_by_id.get(upstream_id)
        if state is not None:
            state.cold_until = self._clock() + seconds

    def keep_only(self, upstream_ids: Iterable[UpstreamId]) -> None:
        """Drop unlisted upstreams that are idle and neither cold nor in backoff."""
        self._measure_streams()
        kept = set(upstream_ids)
        self.memories.keep_only(kept)
        now = self._clock()
        for upstream_id, state in list(self._states_by_id.items()):
            is_cold_or_avoided = now < max(state.cold_until, state.avoided_until)
            if (
                upstream_id not in kept
                and not state.requests
                and not is_cold_or_avoided
            ):
                del self._states_by_id[upstream_id]

    def _measure_streams(self) -> None:
        now = self._clock()
        for state in self._states_by_id.values():
            for in_flight_request in state.requests:
                in_flight_request.measure_into(state.work, now=now)
            state.work.decay(now)

    def _get_or_add(self, upstream_id: UpstreamId) -> _UpstreamState:
        state = self._states_by_id.get(upstream_id)
        if state is None:
            state = self._states_by_id[upstream_id] = _UpstreamState()
        return state

    def _own_load(self, state: _UpstreamState | None) -> EngineLoad:
        if state is None:
            return EngineLoad()
        if state.load is None:
            state.load = self._sum_load(state)
        return state.load

    def _sum_load(self, state: _UpstreamState) -> EngineLoad:
        return EngineLoad(
            running=len(state.requests),
            long=sum(in_flight_request.is_long for in_flight_request in state.requests),
            read_ms=sum(f.read_ms for f in state.requests if not f.has_first_event),
            kv_tokens=sum(
                in_flight_request.kv_tokens for in_flight_request in state.requests
            ),
        )
