"""Slots of one model or service, shared among ranks."""

import asyncio
from collections.abc import Callable

from poplarlug.admission.base import AdmissionRequest, Permit, Slots
from poplarlug.admission.fair_queue import Waiting
from poplarlug.admission.rank_state import RankState
from poplarlug.types import RankName, Seconds

MIN_DRAIN = 0.1
LOWER_SHARE_DECREASE = 0.97
LOWER_SHARE_INCREASE = 0.01
MIN_LOWER_SHARE = 0.25
MAX_RETRY_AFTER_SECONDS = 300.0


class RankPool:
    """
    Start the most urgent rank first, with a floor for each rank.

    A rank with queued work is owed its ``floor_share`` of the slots over time and
    goes before all others while it is owed any. Beyond its floor a rank leaves
    headroom for more urgent ones: their average use and
    ``HEADROOM_DEVIATIONS`` of its square root. While the most urgent rank takes
    clearly longer than in calm times, the others' share of the slots shrinks.

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
        # Share of the slots that lower ranks may use beside the most urgent one.
        self._lower_share = 1.0

    def may_start(self, request: AdmissionRequest) -> bool:
        """Return whether ``request`` may start now, before all that wait."""
        state = self._state(request)
        return not len(state.queue) and self._has_slot(state, self._open_slots())

    def expected_wait(self, request: AdmissionRequest) -> Seconds:
        """Return how long ``request`` would wait, from the present queue."""
        if self.may_start(request):
            return 0.0
        state = self._state(request)
        ahead = state.queue.work_ahead(request.account) + state.mean_cost
        return ahead * state.cost_ratio / self._share(state)

    def service_seconds(self, request: AdmissionRequest) -> Seconds:
        """Return how long ``request`` would hold its slot."""
        return request.cost * self._state(request).cost_ratio

    def retry_after(self, request: AdmissionRequest, allowed: Seconds) -> Seconds:
        """Return when a place is expected that no refused request has yet."""
        state = self._state(request)
        now = self._clock()
        excess = self.expected_wait(request) - allowed
        gap = self.service_seconds(request) / self._share(state)
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

    def has_place(self, request: AdmissionRequest) -> bool:
        """Return whether ``request`` may queue."""
        return self._state(request).queue.has_place(request.account)

    def push(self, request: AdmissionRequest) -> Waiting:
        """Queue ``request``; its future is set when it may start."""
        granted = asyncio.get_running_loop().create_future()
        waiting = Waiting(request.account, request.cost, granted)
        state = self._state(request)
        state.note_use(0, self._clock())
        if not len(state.queue):
            state.note_queue_start()
        state.queue.push(waiting)
        return waiting

    def remove(self, request: AdmissionRequest, waiting: Waiting) -> None:
        """Take ``waiting`` out of its queue."""
        self._state(request).queue.remove(waiting)

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

    def wake(self) -> None:
        """Grant slots to those that wait, as far as there are any."""
        while True:
            state = self._next(self._open_slots())
            if state is None:
                return
            waiting = state.queue.pop()
            if waiting is not None:
                self._take_slot(state)
                state.note_started(waiting.cost)
                waiting.granted.set_result(None)

    def granted_permit(self, request: AdmissionRequest) -> Permit:
        """Return the permit of a request whose slot :meth:`wake` took."""
        return _PoolPermit(
            pool=self,
            state=self._state(request),
            cost=request.cost,
            started=self._clock(),
        )

    def _take_slot(self, state: RankState) -> None:
        self._unplaced += 1
        state.note_use(1, self._clock())

    def _open_slots(self) -> Slots:
        """Return the slots without those of requests on their way upstream."""
        assert self._slots is not None
        slots = self._slots()
        return slots._replace(
            free=slots.free - self._unplaced,
            shared_free=slots.shared_free - self._unplaced,
        )

    def _next(self, slots: Slots) -> RankState | None:
        waiting = [s for s in self._by_priority() if len(s.queue)]
        now = self._clock()
        for state in waiting:
            state.floor_slots = state.rank.floor_share * slots.total
            state.note_use(0, now)
        for state in waiting:
            if slots.free > 0 and state.is_below_floor():
                return state
        for state in waiting:
            if self._has_slot(state, slots):
                return state
        return None

    def _has_slot(self, state: RankState, slots: Slots) -> bool:
        if slots.free <= 0:
            return False
        if state.is_below_floor():
            return True
        now = self._clock()
        kept, shared_kept = 0.0, 0.0
        for other in self._states_by_rank.values():
            if other is state:
                continue
            if other.rank.priority < state.rank.priority:
                kept += other.headroom(now)
                shared_kept += other.headroom(now, slots.entry_count)
            elif other.is_below_floor():
                kept += 1.0
        if slots.free <= min(kept, slots.total - 1):
            return False
        if self._is_most_urgent(state):
            # Upstreams honour priorities: it overtakes what they have queued.
            return True
        if state.in_use >= max(1.0, self._lower_share * slots.total):
            return False
        return slots.shared_free > min(shared_kept, slots.total * slots.entry_count - 1)

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

    def _share(self, state: RankState) -> float:
        """Return the slots that a rank can count on."""
        if state.drain is not None:
            return max(MIN_DRAIN, state.drain)
        total = max(1, self._open_slots().total)
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

    def _release(self, state: RankState, cost: Seconds, held: Seconds) -> None:
        state.note_use(-1, self._clock())
        state.note_held(cost, held)
        if self._is_most_urgent(state):
            self._adapt_lower_share(state)
        self.wake()


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

    def placed(self) -> None:
        if not self._placed:
            self._placed = True
            self._pool._unplaced -= 1

    def release(self) -> None:
        if self._released:
            return
        self._released = True
        self.placed()
        held = self._pool._clock() - self._started
        self._pool._release(self._state, self._cost, held)
