"""Reconciliation of the models on each zone's upstreams with the placements."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Sequence
from random import Random
from typing import NamedTuple, cast

from returns.result import Failure

from poplarlug.catalog import Catalog, Placement
from poplarlug.control.orders import OrderAction, OrderOutcome, OrderRequest
from poplarlug.control.upstream_directory import UpstreamDirectory
from poplarlug.logs import ComponentLogger
from poplarlug.membership.upstreams import Announcement
from poplarlug.types import ModelName, Seconds, UpstreamId, ZoneName

RECONCILE_INTERVAL_SECONDS = 5.0
SETTLE_SECONDS = 10.0
MAX_ORDERS_PER_ROUND = 8

_log = ComponentLogger(prefix="reconciler")


class WantedOrder(NamedTuple):
    """An order that brings a zone closer to its placements."""

    upstream_id: UpstreamId
    action: OrderAction
    model: ModelName


class Reconciler:
    """
    Compare placements with announcements and order the differences.

    Runs on the leader only. Zones that do not answer, and models without a placement
    in a zone, are left unchanged: if the control group or a zone is cut off,
    upstreams keep serving the models they hold.

    Parameters
    ----------
    execute : callable
        Executes one order.
    """

    def __init__(
        self,
        *,
        catalog: Catalog,
        directory: UpstreamDirectory,
        execute: Callable[[OrderRequest], Awaitable[OrderOutcome]],
        is_leader: Callable[[], bool],
        rng: Random,
    ) -> None:
        self._catalog = catalog
        self._directory = directory
        self._execute = execute
        self._is_leader = is_leader
        self._rng = rng
        # Further orders for a model wait until announcements reflect the last ones.
        self._settled_at_by_model: dict[tuple[ZoneName, ModelName], Seconds] = {}

    async def run(self) -> None:
        while True:
            await asyncio.sleep(RECONCILE_INTERVAL_SECONDS)
            if self._is_leader():
                await self.reconcile()

    async def reconcile(self) -> None:
        """Run one round of orders in all zones, concurrently."""
        now = asyncio.get_running_loop().time()
        self._settled_at_by_model = {
            model: at for model, at in self._settled_at_by_model.items() if at > now
        }
        placements = cast(Iterable[Placement], self._catalog.values("placement"))
        placements_by_zone: dict[ZoneName, list[Placement]] = {}
        for placement in placements:
            placements_by_zone.setdefault(placement.zone, []).append(placement)
        await asyncio.gather(
            *(self._reconcile_zone(*item) for item in placements_by_zone.items())
        )

    async def _reconcile_zone(
        self, zone: ZoneName, placements: Sequence[Placement]
    ) -> None:
        listed = await self._directory.list_zone(zone)
        if isinstance(listed, Failure):
            _log.warning("zone not reconciled", zone=zone, reason=listed.failure())
            return
        settled = [
            placement
            for placement in placements
            if (zone, placement.model) not in self._settled_at_by_model
        ]
        wanted = plan_orders(settled, listed.unwrap())
        for order in wanted[:MAX_ORDERS_PER_ROUND]:
            if self._is_leader():
                await self._order(zone, order)

    async def _order(self, zone: ZoneName, wanted: WantedOrder) -> None:
        order = OrderRequest(
            order_id=f"reconciler-{self._rng.getrandbits(96):024x}",
            zone=zone,
            upstream_id=wanted.upstream_id,
            action=wanted.action,
            model=wanted.model,
        )
        outcome = await self._execute(order)
        _log.info(
            "order carried out",
            zone=zone,
            upstream=wanted.upstream_id,
            action=wanted.action,
            model=wanted.model,
            status=outcome.status.value,
            reason=outcome.message,
        )
        now = asyncio.get_running_loop().time()
        self._settled_at_by_model[zone, wanted.model] = now + SETTLE_SECONDS


def plan_orders(
    placements: Iterable[Placement], announcements: Iterable[Announcement]
) -> tuple[WantedOrder, ...]:
    """
    Return the orders that bring a zone's engines to ``placements``.

    Loads come before unloads, so that a model that moves is loaded before it is
    unloaded elsewhere. Models are loaded on the engines with the fewest models and
    unloaded from the least busy ones.
    """
    engines = [a for a in announcements if a.kind == "engine" and a.state == "serving"]
    model_counts_by_id = {engine.id: len(engine.models) for engine in engines}
    loads: list[WantedOrder] = []
    unloads: list[WantedOrder] = []
    for placement in sorted(placements):
        holders = [e for e in engines if placement.model in e.models]
        others = [e for e in engines if placement.model not in e.models]
        others.sort(key=lambda e: (model_counts_by_id[e.id], e.running, e.id))
        holders.sort(key=lambda e: (e.running + e.queued, e.id))
        for engine in others[: max(0, placement.upstreams - len(holders))]:
            model_counts_by_id[engine.id] += 1
            loads.append(WantedOrder(engine.id, "load", placement.model))
        for engine in holders[: max(0, len(holders) - placement.upstreams)]:
            unloads.append(WantedOrder(engine.id, "unload", placement.model))
    return (*loads, *unloads)
