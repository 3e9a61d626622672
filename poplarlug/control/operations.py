"""Services of a control replica on top of its replicated log."""

import asyncio
from random import Random
from typing import NamedTuple

from returns.result import Result

from poplarlug.control.config_status import ConfigStatus
from poplarlug.control.control_group import ControlGroup
from poplarlug.control.leader_calls import LeaderCalls
from poplarlug.control.operator_service import OperatorService, Propose
from poplarlug.control.order_endpoint import HttpOrderEndpoint, OrderEndpoint
from poplarlug.control.order_guard import OrderGuard, TokenBucket
from poplarlug.control.orderer import OrderExecutor
from poplarlug.control.orders import OrderOutcome, OrderRequest
from poplarlug.control.reading import LinearizableReader
from poplarlug.control.reconciler import Reconciler
from poplarlug.control.replicated_log import ReplicatedLog
from poplarlug.control.routing_service import RoutingService
from poplarlug.control.standstill import StandstillWatch
from poplarlug.control.state import ControlState
from poplarlug.control.upstream_directory import UpstreamDirectory
from poplarlug.distribution.publisher import ConfigPublisher
from poplarlug.supervision import Supervisor
from poplarlug.topology import Topology
from poplarlug.transport import Transport

ORDER_CALL_TIMEOUT_SECONDS = 30.0


class OrderLimits(NamedTuple):
    """
    Rate limit of orders that read the weight store.

    Parameters
    ----------
    weight_loads_per_minute : float
        Sustained rate of these orders over all zones.
    weight_load_burst : float
        Maximum number of these orders at once.
    """

    weight_loads_per_minute: float = 60.0
    weight_load_burst: float = 5.0


class ControlServices:
    """
    Configuration publishing, orders and the operator service of a control replica.

    Parameters
    ----------
    propose : callable
        Proposes a command at the leader, whether local or remote.
    group : ControlGroup
        Status and changes of the control replicas, for operators.
    """

    def __init__(
        self,
        *,
        log: ReplicatedLog,
        state: ControlState,
        topology: Topology,
        transport: Transport,
        propose: Propose,
        rng: Random,
        group: ControlGroup,
        limits: OrderLimits | None = None,
        endpoint: OrderEndpoint | None = None,
    ) -> None:
        limits = limits or OrderLimits()
        self._standstill = StandstillWatch(
            uptime=lambda: asyncio.get_running_loop().time()
        )
        self._leader_calls = LeaderCalls(log=log, transport=transport)
        self.publisher = ConfigPublisher(
            transport=transport,
            entries=topology.entries,
            catalog=state.catalog,
            version=state.version,
            is_leader=lambda: log.is_leader,
            is_current=lambda: log.is_current,
        )
        directory = UpstreamDirectory(transport=transport, entries=topology.entries)
        self.order_executor = OrderExecutor(
            propose=log.propose,
            directory=directory,
            endpoint=endpoint or HttpOrderEndpoint(),
            guard=OrderGuard(is_leader=lambda: log.is_leader),
            budget=TokenBucket(
                uses_per_second=limits.weight_loads_per_minute / 60.0,
                burst=limits.weight_load_burst,
            ),
        )
        self.reconciler = Reconciler(
            catalog=state.catalog,
            directory=directory,
            execute=self.order_executor.execute,
            is_leader=lambda: log.is_leader,
            rng=rng,
        )
        self._leader_calls.register("order", OrderRequest, self.order_executor.execute)
        self.operator_service = OperatorService(
            name=transport.name,
            state=state,
            propose=propose,
            order=self._order,
            leader=lambda: log.leader,
            reader=LinearizableReader(state=state, leader_calls=self._leader_calls),
            status=ConfigStatus(
                publisher=self.publisher, leader_calls=self._leader_calls
            ),
            directory=directory,
            group=group,
            routing=RoutingService(
                state=state.routing,
                propose=propose,
                leader_calls=self._leader_calls,
                standstill=self._standstill,
            ),
        )

    def add_children(self, supervisor: Supervisor) -> None:
        """Add the long-running tasks to the daemon's supervisor."""
        supervisor.add_child("publisher", self.publisher.run)
        supervisor.add_child("reconciler", self.reconciler.run)
        supervisor.add_child("standstills", self._standstill.run)

    async def _order(self, order: OrderRequest) -> Result[OrderOutcome, str]:
        return await self._leader_calls.call(
            "order", order, OrderOutcome, ORDER_CALL_TIMEOUT_SECONDS
        )
