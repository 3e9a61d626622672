"""Orders to upstreams and their fencing numbers."""

from enum import Enum
from typing import Literal, NamedTuple, TypeAlias

from poplarlug.types import ModelName, UpstreamId, ZoneName

OrderAction: TypeAlias = Literal["load", "unload", "adapter", "version", "role"]

WEIGHT_STORE_ACTIONS: tuple[OrderAction, ...] = ("load", "adapter", "version")
"""Actions that make an upstream read from the weight store."""


class FencingNumber(NamedTuple):
    """Log position of the entry that issued an order; strictly increasing."""

    term: int
    log_index: int

    def __str__(self) -> str:
        return f"{self.term}.{self.log_index}"


class OrderRequest(NamedTuple):
    """
    An order from an operator or the reconciler to an upstream.

    Parameters
    ----------
    order_id : str
        Identifier chosen by the sender; a resend uses the same one.
    argument : str
        The adapter, version or role; empty for ``load`` and ``unload``.
    """

    order_id: str
    zone: ZoneName
    upstream_id: UpstreamId
    action: OrderAction
    model: ModelName = ""
    argument: str = ""


class OrderStatus(Enum):
    """
    Status of an order.

    An ``ISSUED`` order has a fencing number and no known result. A ``REFUSED`` order
    was not executed. After ``UNKNOWN`` the order may be resent with the same id.
    """

    ISSUED = "issued"
    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class OrderOutcome(NamedTuple):
    status: OrderStatus
    fencing: FencingNumber
    message: str = ""


class OrderResult(NamedTuple):
    """Result of an order, recorded so that resends get the same result."""

    order_id: str
    status: OrderStatus
    message: str = ""
