"""Slots of one model or service, shared by the ranks."""

import asyncio
from collections.abc import Callable

from poplarlug.admission.base import AdmissionRequest, Permit, Slots
from poplarlug.admission.fair_queue import QueuedRequest
from poplarlug.admission.rank_state import RankState
from poplarlug.types import RankName, Seconds

MIN_DRAIN_RATE = 0.1
LOWER_SHARE_DECREASE = 0.97
LOWER_SHARE_INCREASE = 0.01
MIN_LOWER_SHARE = 0.25
MAX_RETRY_AFTER_SECONDS = 300.0


class RankPool:
    """
    Start the most urgent rank first, with a guaranteed floor for each rank.

    A rank with queued work accrues credit for its ``floor_share`` of the slots
    and precedes all other ranks while it has credit. Beyond its floor, a rank
    leaves headroom for more urgent ones: their average use plus
    ``HEADROOM_DEVIATIONS`` times its square root. While requests of the most
    urgent rank take clearly longer than their baseline, the share of slots that
    the other ranks may use shrinks.

    Parameters
    ----------
    clock : callable
        Returns the loop's time in seconds.
    """

    def __init__(self, *, clock: Callable[[], Seconds]) -> None:
        self._clock = clock
        self._states_by_rank: dict[RankName, RankState] = {}
        self._slots: Callable[[], Slots] | None = None
        self._unplaced = 0
        # Share of the slots that ranks below the most urgent one may use.
        self._lower_share = 1.0

    def may_start(self, request: AdmissionRequest) -> bool:
        """Return whether ``request`` may start now without queueing."""
        state = self._state(request)
        return not len(state.queue) and self._may_take_slot(
            state, self._available_slots()
        )

    def expected_wait(self, request: AdmissionRequest) -> Seconds:
        """Return the expected wait of ``request`` behind the current queue."""
        if self.may_start(request):
            return 0.0
        state = self._state(request)
        ahead = state.queue.work_ahead(request.account) + state.mean_cost
        return ahead * state.cost_ratio / self._expected_slots(state)

    def service_seconds(self, request: AdmissionRequest) -> Seconds:
        """Return how long ``request`` is expected to hold its slot."""
        return request.cost * self._state(request).cost_ratio

    def retry_after(self, request: AdmissionRequest, allowed: Seconds) -> Seconds:
        """
        Return the seconds after which a refused request should retry.

        Successive refusals get later times, so that retries don't arrive together.
        """
        state = self._state(request)
        now = self._clock()
        excess = self.expected_wait(request) - allowed
        gap = self.service_seconds(request) / self._expected_slots(state)
        earliest = now + max(gap, excess)
        state.retry_promised_at = max(state.retry_promised_at + gap, earliest)
        latest = now + MAX_RETRY_AFTER_SECONDS
        state.retry_promised_at = min(state.retry_promised_at, latest)
        return state.retry_promised_at - now

    def start(self, request: AdmissionRequest) -> Permit:
        """Take a slot for ``request``."""
        state = self._state(request)
        self._take_slot(state)
        return _PoolPermit(
            pool=self, state=state, cost=request.cost, started=self._clock()
        )

    def can_enqueue(self, request: AdmissionRequest) -> bool:
        """Return whether ``request`` may queue."""
        return self._state(request).queue.can_enqueue(request.account)

    def push(self, request: AdmissionRequest) -> QueuedRequest:
        """Queue ``request``; its ``granted`` future resolves when it may start."""
        granted = asyncio.get_running_loop().create_future()
        queued_request = QueuedRequest(request.account, request.cost, granted)
        state = self._state(request)
        state.record_use(0, self._clock())
        if not len(state.queue):
            state.reset_drain_rate()
        state.queue.push(queued_request)
        return queued_request

    def remove(self, request: AdmissionRequest, queued_request: QueuedRequest) -> None:
        """Remove ``queued_request`` from its queue."""
        self._state(request).queue.remove(queued_request)

    def queued(self, rank: RankName) -> int:
        state = self._states_by_rank.get(rank)
        return len(state.queue) if state else 0

    def in_use(self, rank: RankName) -> int:
        state = self._states_by_rank.get(rank)
        return state.in_use if state else 0

    def has_queue(self) -> bool:
        return any(len(state.queue) for state in self._states_by_rank.values())

    def is_idle(self) -> bool:
        return not any(s.in_use or len(s.queue) for s in self._states_by_rank.values())

    def grant_free_slots(self) -> None:
        """Grant free slots to queued requests."""
        while True:
            state = self._next_rank(self._available_slots())
            if state is None:
                return
            queued_request = state.queue.pop()
            if queued_request is not None:
                self._take_slot(state)
                state.record_queued_start(queued_request.cost)
                queued_request.granted.set_result(None)

    def granted_permit(self, request: AdmissionRequest) -> Permit:
        """Return the permit for a slot that :meth:`grant_free_slots` took."""
        return _PoolPermit(
            pool=self,
            state=self._state(request),
            cost=request.cost,
            started=self._clock(),
        )

    def _take_slot(self, state: RankState) -> None:
        self._unplaced += 1
        state.record_use(1, self._clock())

    def _available_slots(self) -> Slots:
        """Return the slots less those granted but not yet placed at an upstream."""
        assert self._slots is not None
        slots = self._slots()
        return slots._replace(
            free=slots.free - self._unplaced,
            shared_free=slots.shared_free - self._unplaced,
        )

    def _next_rank(self, slots: Slots) -> RankState | None:
        ranks_with_queue = [s for s in self._by_priority() if len(s.queue)]
        now = self._clock()
        for state in ranks_with_queue:
            state.floor_slots = state.rank.floor_share * slots.total
            state.record_use(0, now)
        for state in ranks_with_queue:
            if slots.free > 0 and state.is_below_floor():
                return state
        for state in ranks_with_queue:
            if self._may_take_slot(state, slots):
                return state
        return None

    def _may_take_slot(self, state: RankState, slots: Slots) -> bool:
        if slots.free <= 0:
            return False
        if state.is_below_floor():
            return True
        now = self._clock()
        reserved, shared_reserved = 0.0, 0.0
        for other in self._states_by_rank.values():
            if other is state:
                continue
            if other.rank.priority < state.rank.priority:
                reserved += other.headroom(now)
                shared_reserved += other.headroom(now, slots.entry_count)
            elif other.is_below_floor():
                reserved += 1.0
        if slots.free <= min(reserved, slots.total - 1):
            return False
        if self._is_most_urgent(state):
            # Upstreams queue by priority, so this rank starts before their queue.
            return True
        if state.in_use >= max(1.0, self._lower_share * slots.total):
            return False
        return slots.shared_free > min(
            shared_reserved, slots.total * slots.entry_count - 1
        )

    def _adapt_lower_share(self, urgent: RankState) -> None:
        if urgent.is_slowed():
            decreased = self._lower_share * LOWER_SHARE_DECREASE
            self._lower_share = max(MIN_LOWER_SHARE, decreased)
        else:
            increased = self._lower_share + LOWER_SHARE_INCREASE
            self._lower_share = min(1.0, increased)

    def _is_most_urgent(self, state: RankState) -> bool:
        return state.rank.priority <= min(
            other.rank.priority for other in self._states_by_rank.values()
        )

    def _expected_slots(self, state: RankState) -> float:
        """Return the number of slots that a rank can expect to use."""
        if state.drain_rate is not None:
            return max(MIN_DRAIN_RATE, state.drain_rate)
        total = max(1, self._available_slots().total)
        now = self._clock()
        higher, floors = 0.0, 0.0
        for other in self._states_by_rank.values():
            if other.rank.priority < state.rank.priority:
                higher += other.in_use + other.headroom(now)
            elif other is not state and (other.in_use or len(other.queue)):
                floors += other.rank.floor_share * total
        floor = state.rank.floor_share * total
        return max(1.0, floor, total - higher - floors)

    def _by_priority(self) -> list[RankState]:
        return sorted(self._states_by_rank.values(), key=lambda s: s.rank.priority)

    def _state(self, request: AdmissionRequest) -> RankState:
        self._slots = request.slots
        state = self._states_by_rank.get(request.rank.name)
        if state is None:
            state = RankState(rank=request.rank, now=self._clock())
            self._states_by_rank[request.rank.name] = state
        state.rank = request.rank
        return state

    def _release(self, state: RankState, cost: Seconds, held_seconds: Seconds) -> None:
        state.record_use(-1, self._clock())
        state.record_service_time(cost, held_seconds)
        if self._is_most_urgent(state):
            self._adapt_lower_share(state)
        self.grant_free_slots()


class _PoolPermit(Permit):
    def __init__(
        self, *, pool: RankPool, state: RankState, cost: Seconds, started: Seconds
    ) -> None:
        self._pool = pool
        self._state = state
        self._cost = cost
        self._started = started
        self._placed = False
        self._released = False

    def mark_placed(self) -> None:
        if not self._placed:
            self._placed = True
            self._pool._unplaced -= 1

    def release(self) -> None:
        if self._released:
            return
        self._released = True
        self.mark_placed()
        held_seconds = self._pool._clock() - self._started
        self._pool._release(self._state, self._cost, held_seconds)
