"""Production admission: pools by rank, with deadlines and early refusal."""

import asyncio
from collections.abc import Callable

from returns.result import Failure, Result, Success

from poplarlug.admission.base import (
    Admission,
    AdmissionRequest,
    Permit,
    PoolName,
    Refusal,
)
from poplarlug.admission.metrics import (
    IN_USE,
    QUEUED,
    REFUSED_TOTAL,
    STARTED_TOTAL,
)
from poplarlug.admission.rank_pool import RankPool
from poplarlug.types import Seconds

GRANT_INTERVAL_SECONDS = 0.05
MAX_POOLS = 1024
SLACK_SHARE = 0.7
MIN_RETRY_AFTER_SECONDS = 1.0


class RankAdmission(Admission):
    """
    Admit by rank; refuse immediately what isn't expected to start in time.

    A request may wait for its target time less its own service time. It is
    refused immediately when the expected wait exceeds ``SLACK_SHARE`` of that.

    Parameters
    ----------
    clock : callable
        Returns the loop's time in seconds.
    """

    def __init__(self, *, clock: Callable[[], Seconds]) -> None:
        self._clock = clock
        self._pools_by_name: dict[PoolName, RankPool] = {}
        self._has_queued = asyncio.Event()

    async def run(self) -> None:
        """Periodically grant slots that became free through upstream reports."""
        while True:
            await self._has_queued.wait()
            await asyncio.sleep(GRANT_INTERVAL_SECONDS)
            pools_with_queue = [
                p for p in self._pools_by_name.values() if p.has_queue()
            ]
            if not pools_with_queue:
                self._has_queued.clear()
            for pool in pools_with_queue:
                pool.grant_free_slots()

    def expected_wait(self, request: AdmissionRequest) -> Seconds:
        return self._pool(request).expected_wait(request)

    async def admit(self, request: AdmissionRequest) -> Result[Permit, Refusal]:
        pool = self._pool(request)
        if pool.may_start(request):
            return Success(self._started(request, pool.start(request)))
        allowed = self._allowed_wait(pool, request)
        expected = pool.expected_wait(request)
        if expected > allowed or not pool.can_enqueue(request):
            return Failure(self._refusal(pool, request, "at_once"))
        queued_request = pool.push(request)
        self._has_queued.set()
        QUEUED.labels(request.rank.name).inc()
        try:
            async with asyncio.timeout(allowed / SLACK_SHARE):
                await queued_request.granted
        except TimeoutError:
            if not _is_granted(queued_request.granted):
                pool.remove(request, queued_request)
                return Failure(self._refusal(pool, request, "late"))
        except asyncio.CancelledError:
            if _is_granted(queued_request.granted):
                pool.granted_permit(request).release()
            else:
                pool.remove(request, queued_request)
            raise
        finally:
            QUEUED.labels(request.rank.name).dec()
        return Success(self._started(request, pool.granted_permit(request)))

    def _allowed_wait(self, pool: RankPool, request: AdmissionRequest) -> Seconds:
        slack = request.rank.target_seconds - pool.service_seconds(request)
        return max(0.0, SLACK_SHARE * slack)

    def _refusal(
        self, pool: RankPool, request: AdmissionRequest, moment: str
    ) -> Refusal:
        REFUSED_TOTAL.labels(request.rank.name, moment).inc()
        after = pool.retry_after(request, self._allowed_wait(pool, request))
        rank = request.rank.name
        return Refusal(
            f"got a {rank} request, expected no free slot of {request.pool!r} in "
            "time; ask again after Retry-After",
            max(MIN_RETRY_AFTER_SECONDS, after),
        )

    def _started(self, request: AdmissionRequest, permit: Permit) -> Permit:
        STARTED_TOTAL.labels(request.rank.name).inc()
        IN_USE.labels(request.rank.name).inc()
        return _CountedPermit(permit=permit, rank=request.rank.name)

    def _pool(self, request: AdmissionRequest) -> RankPool:
        pool = self._pools_by_name.get(request.pool)
        if pool is None:
            if len(self._pools_by_name) >= MAX_POOLS:
                self._drop_idle_pools()
            pool = RankPool(clock=self._clock)
            self._pools_by_name[request.pool] = pool
        return pool

    def _drop_idle_pools(self) -> None:
        for name, pool in list(self._pools_by_name.items()):
            if pool.is_idle():
                del self._pools_by_name[name]


class _CountedPermit(Permit):
    """Permit that updates the gauge of slots in use."""

    def __init__(self, *, permit: Permit, rank: str) -> None:
        self._permit: Permit | None = permit
        self._rank = rank

    def mark_placed(self) -> None:
        if self._permit is not None:
            self._permit.mark_placed()

    def release(self) -> None:
        permit, self._permit = self._permit, None
        if permit is not None:
            IN_USE.labels(self._rank).dec()
            permit.release()


def _is_granted(granted: "asyncio.Future[None]") -> bool:
    return granted.done() and not granted.cancelled()
