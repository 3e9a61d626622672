"""Control replicas with simulated leases and commits, for tests of orders."""

import asyncio
from random import Random
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success

from poplarlug.control.order_endpoint import OrderEndpoint, OrderReply
from poplarlug.control.order_guard import OrderGuard, TokenBucket
from poplarlug.control.orderer import OrderExecutor
from poplarlug.control.orders import FencingNumber, OrderRequest, OrderStatus
from poplarlug.control.replicated_log import (
    LogEntry,
    ProposeError,
    ProposeErrorKind,
    ReplicatedLog,
)
from poplarlug.control.state import ControlState
from poplarlug.control.upstream_directory import UpstreamDirectory
from poplarlug.distribution.upstream_listing import serve_upstreams
from poplarlug.logs import configure_logs
from poplarlug.membership.upstreams import Announcement
from poplarlug.topology import EntryVm
from poplarlug.transport import MemoryNetwork, MemoryTransport

LEASE_SECONDS = 1.0
RENEW_SECONDS = 0.2

configure_logs(log_format="json", level="error")


class SentOrder(NamedTuple):
    """One order at an upstream, from its arrival to the end of its execution."""

    start: float
    end: float
    upstream_id: str
    order_id: str
    fencing: FencingNumber


class RecordingEndpoint(OrderEndpoint):
    """Record orders, taking a random time for each and losing some answers."""

    def __init__(self, *, rng: Random, loss: float = 0.2) -> None:
        self.sent: list[SentOrder] = []
        self._rng = rng
        self._loss = loss

    async def send(self, **order: Any) -> OrderReply:
        await asyncio.sleep(self._rng.uniform(0.0, 0.3))
        if not order["may_send"]():
            return OrderReply(OrderStatus.UNKNOWN, "not sent")
        start = asyncio.get_running_loop().time()
        try:
            await asyncio.sleep(self._rng.uniform(0.0, 2.5))
        finally:
            request = order["order"]
            end = asyncio.get_running_loop().time()
            self.sent.append(
                SentOrder(
                    start, end, request.upstream_id, request.order_id, order["fencing"]
                )
            )
        if self._rng.random() < self._loss:
            return OrderReply(OrderStatus.UNKNOWN, "the answer was lost")
        return OrderReply(OrderStatus.DONE)


class LeaseGroup:
    """Grant the lease to one replica at a time and commit commands in order."""

    def __init__(self, *, rng: Random, names: tuple[str, ...]) -> None:
        self.rng = rng
        self.names = names
        self.term = 0
        self.holder = ""
        self.lease_end = 0.0
        self.log_index = 0
        self.states_by_name = {name: ControlState() for name in names}

    async def run(self) -> None:
        """Renew the lease; let it expire at random times and elect a new leader."""
        cut_at = float("inf")
        while True:
            now = asyncio.get_running_loop().time()
            if now >= self.lease_end:
                self.term += 1
                self.holder = self.rng.choice(self.names)
                self.lease_end = now + LEASE_SECONDS
                cut_at = now + self.rng.uniform(0.0, 25.0)
            elif now < cut_at:
                self.lease_end = now + LEASE_SECONDS
            await asyncio.sleep(RENEW_SECONDS * self.rng.random())

    def commit(self, command: bytes) -> Any:
        self.log_index += 1
        entry = LogEntry(self.term, self.log_index, command)
        outcomes = [state.apply(entry) for state in self.states_by_name.values()]
        assert all(outcome == outcomes[0] for outcome in outcomes)
        return outcomes[0]


class LeaseLog(ReplicatedLog):
    """View of the log from one replica of a :class:`LeaseGroup`."""

    def __init__(self, *, group: LeaseGroup, name: str) -> None:
        self._group = group
        self._name = name

    @property
    def leader(self) -> str | None:
        return self._group.holder or None

    @property
    def is_leader(self) -> bool:
        now = asyncio.get_running_loop().time()
        return self._group.holder == self._name and now < self._group.lease_end

    @property
    def is_current(self) -> bool:
        return True

    async def propose(self, command: bytes) -> Result[Any, ProposeError]:
        await asyncio.sleep(self._group.rng.uniform(0.0, 0.2))
        if not self.is_leader:
            return Failure(ProposeError(ProposeErrorKind.NOT_LEADER, "not the leader"))
        outcome = self._group.commit(command)
        await asyncio.sleep(self._group.rng.uniform(0.0, 0.2))
        return Success(outcome)

    async def run(self) -> None:
        await asyncio.get_running_loop().create_future()


class OrderSimulation:
    """Three replicas that send orders to two upstreams of one zone."""

    def __init__(
        self, *, rng: Random, endpoint: RecordingEndpoint, budget: float = 100.0
    ) -> None:
        self.group = LeaseGroup(rng=rng, names=("c1", "c2", "c3"))
        self.endpoint = endpoint
        self.announcements = (
            Announcement("e1", "engine", "10.0.0.1:1"),
            Announcement("e2", "engine", "10.0.0.2:1"),
        )
        network = MemoryNetwork(rng=rng)
        self._entry = MemoryTransport(name="z-1", network=network)
        serve_upstreams(self._entry, lambda: self.announcements)
        entries = (EntryVm("z-1", "r", "z", "", ""),)
        self.logs_by_name = {
            name: LeaseLog(group=self.group, name=name) for name in self.group.names
        }
        self._transports = [self._entry]
        self.executors_by_name: dict[str, OrderExecutor] = {}
        for name, log in self.logs_by_name.items():
            transport = MemoryTransport(name=name, network=network)
            self._transports.append(transport)
            self.executors_by_name[name] = OrderExecutor(
                propose=log.propose,
                directory=UpstreamDirectory(transport=transport, entries=entries),
                endpoint=endpoint,
                guard=OrderGuard(is_leader=lambda log=log: log.is_leader),
                budget=TokenBucket(uses_per_second=budget, burst=budget),
            )
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        for transport in self._transports:
            self._tasks.append(asyncio.ensure_future(transport.run()))
        self._tasks.append(asyncio.ensure_future(self.group.run()))
        await asyncio.sleep(0)

    async def order_until_known(self, order: OrderRequest, seconds: float) -> None:
        """Execute ``order`` at the current leader until its outcome is known."""
        try:
            async with asyncio.timeout(seconds):
                while True:
                    name = self.group.holder or self.group.names[0]
                    outcome = await self.executors_by_name[name].execute(order)
                    if outcome.status is not OrderStatus.UNKNOWN:
                        return
                    await asyncio.sleep(0.3)
        except TimeoutError:
            pass
