"""Fair queue over accounts."""

import asyncio
from collections import deque
from typing import NamedTuple

from poplarlug.types import AccountName, Seconds

MAX_QUEUED = 512


class QueuedRequest(NamedTuple):
    """A queued request; ``granted`` is set when it may start."""

    account: AccountName
    cost: Seconds
    granted: asyncio.Future[None]


class _AccountQueue:
    __slots__ = ("items", "start_tag", "work")

    def __init__(self, *, start_tag: float) -> None:
        self.items: deque[QueuedRequest] = deque()
        self.start_tag = start_tag
        self.work = 0.0


class FairQueue:
    """
    Start-time fair queueing over accounts, FIFO within each.

    Each account may fill at most its share of the queue, so that one account
    can't keep the others from queueing.

    Parameters
    ----------
    max_queued : int
        Queue capacity of all accounts together.
    """

    def __init__(self, *, max_queued: int = MAX_QUEUED) -> None:
        self._max_queued = max_queued
        self._queues_by_account: dict[AccountName, _AccountQueue] = {}
        self._virtual_time = 0.0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def can_enqueue(self, account: AccountName) -> bool:
        """Return whether ``account`` may queue one more request."""
        if self._length >= self._max_queued:
            return False
        own_queue = self._queues_by_account.get(account)
        others = len(self._queues_by_account) - (own_queue is not None)
        share = self._max_queued // (others + 2)
        return own_queue is None or len(own_queue.items) < max(1, share)

    def work_ahead(self, account: AccountName) -> Seconds:
        """Return the queued work that would start before a new request."""
        own_queue = self._queues_by_account.get(account)
        own = own_queue.work if own_queue is not None else 0.0
        start_tag = own_queue.start_tag if own_queue is not None else self._virtual_time
        ahead = own
        for other in self._queues_by_account.values():
            if other is not own_queue:
                sooner = start_tag + own - other.start_tag
                ahead += max(0.0, min(other.work, sooner))
        return ahead

    def push(self, queued_request: QueuedRequest) -> None:
        """Queue a request."""
        queue = self._queues_by_account.get(queued_request.account)
        if queue is None:
            queue = _AccountQueue(start_tag=self._virtual_time)
            self._queues_by_account[queued_request.account] = queue
        queue.items.append(queued_request)
        queue.work += queued_request.cost
        self._length += 1

    def pop(self) -> QueuedRequest | None:
        """Remove and return the next request, from the least served account."""
        while self._queues_by_account:
            account = min(
                self._queues_by_account,
                key=lambda name: self._queues_by_account[name].start_tag,
            )
            queue = self._queues_by_account[account]
            queued_request = queue.items.popleft()
            self._virtual_time = queue.start_tag
            queue.start_tag += queued_request.cost
            self._record_removal(account, queue, queued_request)
            if not queued_request.granted.done():
                return queued_request
        return None

    def remove(self, queued_request: QueuedRequest) -> None:
        """Remove a request that is no longer wanted, if it is still queued."""
        queue = self._queues_by_account.get(queued_request.account)
        if queue is not None and queued_request in queue.items:
            queue.items.remove(queued_request)
            self._record_removal(queued_request.account, queue, queued_request)

    def _record_removal(
        self, account: AccountName, queue: _AccountQueue, queued_request: QueuedRequest
    ) -> None:
        queue.work -= queued_request.cost
        self._length -= 1
        if not queue.items:
            del self._queues_by_account[account]
