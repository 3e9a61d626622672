"""What this entry has running at each upstream, beside what the others have."""

from collections.abc import Callable, Iterable

from poplarlug.discovery.records import ServiceUpstream, UpstreamLoad
from poplarlug.relay.engine_model import (
    LONG_PREFILL_SECONDS,
    EngineLoad,
    EngineSpeed,
)
from poplarlug.relay.part_cache import PartCache
from poplarlug.relay.requests import Prompt, RelayRequest
from poplarlug.routes import Engine
from poplarlug.types import Seconds, UpstreamId

FIRST_BACKOFF_SECONDS = 1.0
"""First time for which an upstream that failed is the last choice."""

MAX_BACKOFF_SECONDS = 8.0
"""The time doubles with each failure in a row up to this."""

ERROR_WEIGHT = 0.1
"""Weight of the latest answer in an upstream's share of failures."""

ERROR_HALF_LIFE_SECONDS = 3.0
"""An upstream that gets no requests is trusted again by half in this time."""


NEVER = float("-inf")
"""A loop time before all others."""


class InFlightRequest:
    """One request at one upstream, until :meth:`InFlight.ended`."""

    def __init__(
        self, *, upstream_id: UpstreamId, request: RelayRequest, read: Seconds
    ) -> None:
        self.upstream_id = upstream_id
        self.read_ms = round(read * 1000)
        self.is_long = read > LONG_PREFILL_SECONDS
        self.kv_tokens = request.prompt.tokens + request.prompt.max_tokens
        self.has_first_event = False
        self.got_error = False


class ErrorShare:
    """Running share of an upstream's answers that were failures."""

    def __init__(self) -> None:
        self._share = 0.0
        self._noted_at = 0.0

    def note(self, now: Seconds, *, failed: bool) -> None:
        """Take in the latest answer."""
        share = self.value_at(now)
        self._share = share + ERROR_WEIGHT * (float(failed) - share)
        self._noted_at = now

    @property
    def is_zero(self) -> bool:
        return self._share == 0.0

    def value_at(self, now: Seconds) -> float:
        """Return the share, which fades while nothing is noted."""
        return self._share * 0.5 ** ((now - self._noted_at) / ERROR_HALF_LIFE_SECONDS)


class _UpstreamState:
    def __init__(self, *, cache: PartCache) -> None:
        self.errors = ErrorShare()
        self.flights: set[InFlightRequest] = set()
        self.cache = cache
        self.speed = EngineSpeed()
        self.failures = 0
        self.avoided_until = NEVER
        self.cold_until = NEVER
        self.load: EngineLoad | None = None


class InFlight:
    """
    Requests at upstreams, and what was learned of each upstream from them.

    Parameters
    ----------
    others : callable
        Returns what other entries have at an upstream, as last reported.
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

    def load(self, upstream_id: UpstreamId) -> EngineLoad:
        """Return the own and the others' load of an upstream."""
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
        return 0 if state is None else len(state.flights)

    def own_loads(self) -> tuple[UpstreamLoad, ...]:
        """Return what this entry has running, for its report."""
        return tuple(
            UpstreamLoad(upstream_id, *self._own_load(state))
            for upstream_id, state in self._states_by_id.items()
            if state.flights
        )

    def speed(self, upstream_id: UpstreamId) -> float:
        """Return an upstream's speed against the nominal one."""
        state = self._states_by_id.get(upstream_id)
        return 1.0 if state is None else state.speed.factor

    def cached_tokens(self, upstream_id: UpstreamId, prompt: Prompt) -> int:
        """Return how many tokens of a prompt an upstream probably holds."""
        state = self._states_by_id.get(upstream_id)
        return 0 if state is None else state.cache.hit_tokens(prompt)

    def cached_shared_tokens(self, upstream_id: UpstreamId, prompt: Prompt) -> int:
        """Return the same without the request's own part."""
        state = self._states_by_id.get(upstream_id)
        return 0 if state is None else state.cache.hit_tokens(prompt, last=False)

    def error_share(self, upstream_id: UpstreamId) -> float:
        """Return the share of an upstream's latest answers that were failures."""
        state = self._states_by_id.get(upstream_id)
        if state is None or state.errors.is_zero:
            return 0.0
        return state.errors.value_at(self._clock())

    def is_avoided(self, upstream_id: UpstreamId) -> bool:
        """Return whether an upstream failed lately."""
        state = self._states_by_id.get(upstream_id)
        if state is None or state.avoided_until == NEVER:
            return False
        return self._clock() < state.avoided_until

    def cold_seconds(self, upstream_id: UpstreamId) -> Seconds:
        """Return how much longer an upstream said in answers that it is cold."""
        state = self._states_by_id.get(upstream_id)
        if state is None or state.cold_until == NEVER:
            return 0.0
        return max(0.0, state.cold_until - self._clock())

    def started(
        self,
        upstream: ServiceUpstream,
        engine: Engine | None,
        request: RelayRequest,
        read: Seconds,
    ) -> InFlightRequest:
        """
        Note that ``request`` is on its way to ``upstream``.

        Parameters
        ----------
        read : float
            Time that it takes there to read the prompt.
        """
        state = self._get_or_add(upstream.id, engine)
        flight = InFlightRequest(upstream_id=upstream.id, request=request, read=read)
        state.flights.add(flight)
        state.load = None
        state.cache.note_used(request.prompt)
        return flight

    def first_event(
        self, flight: InFlightRequest, *, ahead_ms: int, seconds: Seconds
    ) -> None:
        """
        Note a flight's first event.

        Parameters
        ----------
        ahead_ms : int
            Milliseconds of prompts that were to be read before its own.
        seconds : float
            Time since it was sent.
        """
        flight.has_first_event = True
        state = self._states_by_id.get(flight.upstream_id)
        if state is not None:
            state.load = None
            expected = (flight.read_ms + ahead_ms) / 1000
            state.speed.update(expected=expected, seconds=seconds)

    def ended(self, flight: InFlightRequest, *, failed: bool) -> None:
        """Note the end of a flight; an upstream that fails is avoided for a while."""
        state = self._states_by_id.get(flight.upstream_id)
        if state is None:
            return
        state.flights.discard(flight)
        state.load = None
        state.errors.note(self._clock(), failed=failed or flight.got_error)
        if not failed:
            state.failures = 0
            state.avoided_until = NEVER
            return
        delay = min(MAX_BACKOFF_SECONDS, FIRST_BACKOFF_SECONDS * 2**state.failures)
        state.failures = min(state.failures + 1, 10)
        state.avoided_until = self._clock() + delay

    def note_cold(self, upstream_id: UpstreamId, seconds: Seconds) -> None:
        """Take in how long an upstream stays cold, from one of its answers."""
        state = self._states_by_id.get(upstream_id)
        if state is not None:
            state.cold_until = self._clock() + seconds

    def keep_only(self, upstream_ids: Iterable[UpstreamId]) -> None:
        """Forget upstreams that are gone, have nothing running and no bound in force."""
        kept = set(upstream_ids)
        now = self._clock()
        for upstream_id, state in list(self._states_by_id.items()):
            is_bound = now < max(state.cold_until, state.avoided_until)
            if upstream_id not in kept and not state.flights and not is_bound:
                del self._states_by_id[upstream_id]

    def _get_or_add(
        self, upstream_id: UpstreamId, engine: Engine | None
    ) -> _UpstreamState:
        state = self._states_by_id.get(upstream_id)
        if state is None:
            capacity = 0 if engine is None else engine.kv_capacity_tokens
            cache = PartCache(capacity_tokens=capacity, clock=self._clock)
            state = self._states_by_id[upstream_id] = _UpstreamState(cache=cache)
        return state

    def _own_load(self, state: _UpstreamState | None) -> EngineLoad:
        if state is None:
            return EngineLoad()
        if state.load is None:
            state.load = self._sum_load(state)
        return state.load

    def _sum_load(self, state: _UpstreamState) -> EngineLoad:
        return EngineLoad(
            running=len(state.flights),
            long=sum(flight.is_long for flight in state.flights),
            read_ms=sum(f.read_ms for f in state.flights if not f.has_first_event),
            kv_tokens=sum(flight.kv_tokens for flight in state.flights),
        )
