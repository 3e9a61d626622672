"""Replicated state: catalog, routing, and outcomes of changes and orders."""

from typing import NamedTuple

import msgspec
from returns.result import Failure

from poplarlug.catalog import (
    Catalog,
    CatalogImage,
    Change,
    ChangeOutcome,
    ChangeStatus,
    Delta,
    check_change,
)
from poplarlug.control.commands import decode_command
from poplarlug.control.orders import (
    FencingNumber,
    OrderOutcome,
    OrderRequest,
    OrderResult,
    OrderStatus,
)
from poplarlug.control.outcomes import OutcomeTable, Recorded, hash_content
from poplarlug.control.replicated_log import LogEntry, StateMachine
from poplarlug.control.routing_state import (
    EvacuationChange,
    RouteTableChange,
    RoutingImage,
    RoutingState,
)
from poplarlug.latest import Latest
from poplarlug.types import ConfigVersion

MAX_CHANGE_OUTCOMES = 20_000
MAX_ORDER_OUTCOMES = 5_000
MAX_ID_CHARACTERS = 128

_FINAL_ORDER_STATUSES = (OrderStatus.DONE, OrderStatus.REFUSED)


class _Image(NamedTuple):
    catalog: CatalogImage
    changes: tuple[tuple[str, Recorded[ChangeOutcome]], ...]
    orders: tuple[tuple[str, Recorded[OrderOutcome]], ...]
    routing: RoutingImage = RoutingImage()


class ControlState(StateMachine):
    """
    Apply each change once and store its outcome.

    :meth:`apply` does not raise for any bytes in the log: a command that can't be
    decoded gets an ``INVALID`` outcome, the same on all replicas.
    """

    def __init__(self) -> None:
        self.catalog = Catalog()
        self.routing = RoutingState()
        self.version: Latest[ConfigVersion] = Latest(initial=0)
        self._changes: OutcomeTable[ChangeOutcome] = OutcomeTable(
            max_outcomes=MAX_CHANGE_OUTCOMES
        )
        self._orders: OutcomeTable[OrderOutcome] = OutcomeTable(
            max_outcomes=MAX_ORDER_OUTCOMES
        )

    def apply(self, entry: LogEntry) -> ChangeOutcome | OrderOutcome:
        decoded = decode_command(entry.command)
        if isinstance(decoded, Failure):
            return ChangeOutcome(ChangeStatus.INVALID, 0, decoded.failure())
        command = decoded.unwrap()
        fencing = FencingNumber(entry.term, entry.log_index)
        if isinstance(command, OrderRequest):
            return self._issue_order(command, fencing)
        if isinstance(command, OrderResult):
            return self._record_result(command, fencing)
        if isinstance(command, RouteTableChange):
            return self.routing.change_table(command)
        if isinstance(command, EvacuationChange):
            return self.routing.change_evacuation(command, entry.log_index)
        return self._apply_change(command)

    def snapshot(self) -> bytes:
        image = _Image(
            self.catalog.image(),
            self._changes.items(),
            self._orders.items(),
            self.routing.image,
        )
        return msgspec.msgpack.encode(image)

    def restore(self, data: bytes) -> None:
        image = msgspec.msgpack.decode(data, type=_Image)
        self.catalog.restore(image.catalog)
        self._changes.restore(image.changes)
        self._orders.restore(image.orders)
        self.routing.restore(image.routing)
        self.version.set(self.catalog.version)

    def _apply_change(self, change: Change) -> ChangeOutcome:
        content_hash = hash_content(change)
        recorded = self._changes.find(change.change_id)
        if recorded is not None:
            if recorded.content_hash == content_hash:
                return recorded.outcome
            return ChangeOutcome(
                ChangeStatus.INVALID,
                self.catalog.object_version(change.kind, change.name),
                f"change_id {change.change_id!r} was used before for another change; "
                "send this one under an id of its own",
            )
        outcome = self._apply_once(change)
        if len(change.change_id) <= MAX_ID_CHARACTERS:
            self._changes.record(change.change_id, content_hash, outcome)
        return outcome

    def _apply_once(self, change: Change) -> ChangeOutcome:
        if not 0 < len(change.change_id) <= MAX_ID_CHARACTERS:
            return ChangeOutcome(
                ChangeStatus.INVALID,
                0,
                f"got a change_id of {len(change.change_id)} characters, "
                f"expected 1 to {MAX_ID_CHARACTERS}",
            )
        refused = check_change(self.catalog, change)
        if refused is not None:
            return refused
        version = self.catalog.version + 1
        self.catalog.apply(Delta(version, change.kind, change.name, change.value))
        self.version.set(version)
        return ChangeOutcome(ChangeStatus.ACCEPTED, version)

    def _issue_order(self, order: OrderRequest, fencing: FencingNumber) -> OrderOutcome:
        if not 0 < len(order.order_id) <= MAX_ID_CHARACTERS:
            return OrderOutcome(
                OrderStatus.REFUSED,
                fencing,
                f"got an order_id of {len(order.order_id)} characters, "
                f"expected 1 to {MAX_ID_CHARACTERS}",
            )
        content_hash = hash_content(order)
        recorded = self._orders.find(order.order_id)
        if recorded is not None and recorded.content_hash != content_hash:
            return OrderOutcome(
                OrderStatus.REFUSED,
                fencing,
                f"order_id {order.order_id!r} was used before for another order; "
                "send this one under an id of its own",
            )
        if recorded is not None and recorded.outcome.status in _FINAL_ORDER_STATUSES:
            return recorded.outcome
        outcome = OrderOutcome(OrderStatus.ISSUED, fencing)
        self._orders.record(order.order_id, content_hash, outcome)
        return outcome

    def _record_result(
        self, result: OrderResult, fencing: FencingNumber
    ) -> OrderOutcome:
        recorded = self._orders.find(result.order_id)
        if recorded is None:
            return OrderOutcome(result.status, fencing, result.message)
        if recorded.outcome.status in _FINAL_ORDER_STATUSES:
            return recorded.outcome
        outcome = OrderOutcome(result.status, recorded.outcome.fencing, result.message)
        self._orders.record(result.order_id, recorded.content_hash, outcome)
        return outcome
