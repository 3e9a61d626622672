"""Orders to a fake engine."""

from collections import OrderedDict
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
from aiohttp import web

MAX_REMEMBERED_ORDERS = 1000


class Order(NamedTuple):
    """One order, as received."""

    order_id: str
    action: str
    model: str
    argument: str
    fencing: tuple[int, int]


class OrderExecutor:
    """
    Execute orders on a set of models.

    Parameters
    ----------
    models : tuple of str
        Models that are loaded initially.
    checks_fencing : bool
        Whether an order with a lower fencing number than the highest so far is
        refused; some engines ignore the number.
    ledger : pathlib.Path, optional
        File to which each executed order appends a JSON line.
    """

    def __init__(
        self,
        *,
        models: tuple[str, ...],
        checks_fencing: bool = True,
        ledger: Path | None = None,
    ) -> None:
        self.models = list(models)
        self.role = ""
        self.adapters: list[str] = []
        self.versions_by_model: dict[str, str] = {}
        self._checks_fencing = checks_fencing
        self._ledger = ledger
        self._highest_fencing = (0, 0)
        self._orders_by_id: OrderedDict[str, Order] = OrderedDict()

    def add_routes(self, app: web.Application) -> None:
        app.router.add_post("/orders", self.serve_order)

    async def serve_order(self, request: web.Request) -> web.Response:
        order = parse_order(msgspec.json.decode(await request.read()))
        refusal = self.execute(order)
        if refusal:
            return web.json_response({"message": refusal}, status=409)
        return web.json_response({"models": self.models})

    def execute(self, order: Order) -> str:
        """Execute ``order`` once; return the reason if it is refused, else ``""``."""
        if self._checks_fencing and order.fencing < self._highest_fencing:
            return (
                f"got fencing {order.fencing}, expected {self._highest_fencing} or more"
            )
        self._highest_fencing = max(self._highest_fencing, order.fencing)
        if order.order_id in self._orders_by_id:
            return ""
        problem = self._apply(order)
        if problem:
            return problem
        self._orders_by_id[order.order_id] = order
        while len(self._orders_by_id) > MAX_REMEMBERED_ORDERS:
            self._orders_by_id.popitem(last=False)
        if self._ledger is not None:
            with self._ledger.open("ab") as file:
                file.write(msgspec.json.encode(order._asdict()) + b"\n")
        return ""

    def _apply(self, order: Order) -> str:
        if order.action == "load" and order.model not in self.models:
            self.models.append(order.model)
        elif order.action == "unload" and order.model in self.models:
            self.models.remove(order.model)
        elif order.action == "adapter":
            self.adapters.append(order.argument)
        elif order.action == "version":
            self.versions_by_model[order.model] = order.argument
        elif order.action == "role":
            self.role = order.argument
        elif order.action not in ("load", "unload"):
            return f"got action {order.action!r}, expected a known one"
        return ""


def parse_order(body: dict[str, Any]) -> Order:
    """Return the order of a decoded JSON body."""
    term, log_index = body["fencing"]
    return Order(
        body["order_id"],
        body["action"],
        body.get("model", ""),
        body.get("argument", ""),
        (int(term), int(log_index)),
    )
