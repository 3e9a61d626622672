"""Execution of orders: fencing number, guard, rate limit, sending and result."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import xxhash
from returns.result import Failure, Result

from poplarlug.control.commands import encode_command
from poplarlug.control.order_endpoint import OrderEndpoint
from poplarlug.control.order_guard import (
    ORDER_TIMEOUT_SECONDS,
    OrderGuard,
    TokenBucket,
)
from poplarlug.control.orders import (
    WEIGHT_STORE_ACTIONS,
    FencingNumber,
    OrderOutcome,
    OrderRequest,
    OrderResult,
    OrderStatus,
)
from poplarlug.control.replicated_log import ProposeError
from poplarlug.control.upstream_directory import UpstreamDirectory
from poplarlug.logs import ComponentLogger
from poplarlug.types import Address, Seconds

BUDGET_WAIT_SECONDS = 5.0
ORDER_LOCKS = 256

Propose = Callable[[bytes], Awaitable[Result[Any, ProposeError]]]

_NO_FENCING_NUMBER = FencingNumber(0, 0)
_log = ComponentLogger(prefix="orders")


class OrderExecutor:
    """
    Execute orders at the leader, one at a time per upstream.

    Parameters
    ----------
    propose : callable
        Proposes to this replica's log, which accepts proposals only while leading.
    budget : TokenBucket
        Limits the rate of orders that make upstreams read the weight store.
    """

    def __init__(
        self,
        *,
        propose: Propose,
        directory: UpstreamDirectory,
        endpoint: OrderEndpoint,
        guard: OrderGuard,
        budget: TokenBucket,
    ) -> None:
        self._propose = propose
        self._directory = directory
        self._endpoint = endpoint
        self._guard = guard
        self._budget = budget
        self._budget_term = 0
        self._locks = [asyncio.Lock() for _ in range(ORDER_LOCKS)]

    async def execute(self, order: OrderRequest) -> OrderOutcome:
        """
        Execute ``order`` and return its outcome.

        Returns
        -------
        OrderOutcome
            ``UNKNOWN`` if the order should be resent with the same id. A resend of a
            finished order returns its first outcome and sends nothing.
        """
        async with self._lock_of(order):
            return await self._execute(order)

    async def _execute(self, order: OrderRequest) -> OrderOutcome:
        found = await self._directory.find(order.zone, order.upstream_id)
        proposed = await self._propose(encode_command(order))
        if isinstance(proposed, Failure):
            return _unknown(_NO_FENCING_NUMBER, proposed.failure().message)
        issued: OrderOutcome = proposed.unwrap()
        if issued.status is not OrderStatus.ISSUED:
            return issued
        if isinstance(found, Failure):
            return _unknown(issued.fencing, found.failure())
        refused = await self._wait_for_clearance(order, issued.fencing)
        if refused is not None:
            return refused
        return await self._send(order, issued.fencing, found.unwrap().address)

    async def _wait_for_clearance(
        self, order: OrderRequest, fencing: FencingNumber
    ) -> OrderOutcome | None:
        """Wait for guard and rate limit; return an outcome if sending isn't allowed."""
        if not await self._guard.wait(fencing.term):
            return _unknown(fencing, "this replica leads no longer; nothing was sent")
        if self._budget_term != fencing.term:
            self._budget_term = fencing.term
            self._budget.empty()
        if order.action not in WEIGHT_STORE_ACTIONS:
            return None
        if await self._budget.take(BUDGET_WAIT_SECONDS):
            return None
        return _unknown(fencing, "the weight store's budget is spent; nothing was sent")

    async def _send(
        self, order: OrderRequest, fencing: FencingNumber, address: Address
    ) -> OrderOutcome:
        if not self._guard.may_send(fencing.term):
            return _unknown(fencing, "this replica leads no longer; nothing was sent")
        timeout: Seconds = ORDER_TIMEOUT_SECONDS
        try:
            async with asyncio.timeout(timeout):
                reply = await self._endpoint.send(
                    address=address,
                    order=order,
                    fencing=fencing,
                    may_send=lambda: self._guard.may_send(fencing.term),
                    timeout_seconds=timeout,
                )
        except TimeoutError:
            return _unknown(fencing, f"no answer in {timeout} s")
        _log.info(
            "order sent",
            upstream=order.upstream_id,
            action=order.action,
            model=order.model,
            fencing=str(fencing),
            status=reply.status.value,
        )
        outcome = OrderOutcome(reply.status, fencing, reply.message)
        if reply.status is OrderStatus.UNKNOWN:
            return outcome
        return await self._record(order, outcome)

    async def _record(self, order: OrderRequest, outcome: OrderOutcome) -> OrderOutcome:
        result = OrderResult(order.order_id, outcome.status, outcome.message)
        recorded = await self._propose(encode_command(result))
        if isinstance(recorded, Failure):
            # The outcome is known even so, but a resend may run the order again.
            return outcome
        return recorded.unwrap()

    def _lock_of(self, order: OrderRequest) -> asyncio.Lock:
        key = f"{order.zone}/{order.upstream_id}"
        return self._locks[xxhash.xxh3_64_intdigest(key.encode()) % ORDER_LOCKS]


def _unknown(fencing: FencingNumber, message: str) -> OrderOutcome:
    return OrderOutcome(OrderStatus.UNKNOWN, fencing, f"{message}; send it again")
