"""Orders to upstreams and their fencing numbers."""

from enum import Enum
from typing import Literal, NamedTuple, TypeAlias

from poplarlug.types import ModelName, UpstreamId, ZoneName

OrderAction: TypeAlias = Literal["load", "unload", "adapter", "version", "role"]

WEIGHT_STORE_ACTIONS: tuple[OrderAction, ...] = ("load", "adapter", "version")
"""Actions that make an upstream read from the weight store."""


class FencingNumber(NamedTuple):
    """Place in the log of the entry that allows an order; grows strictly."""

    term: int
    log_index: int

    def __str__(self) -> str:
        return f"{self.term}.{self.log_index}"


class OrderRequest(NamedTuple):
    """
    An order that an operator or the reconciler wants carried out.

    Parameters
    ----------
    order_id : str
        Chosen by the sender; a resend carries the same one.
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
    What became of an order.

    ``ISSUED`` has a fencing number and no known result; ``REFUSED`` was not
    carried out; after ``UNKNOWN`` the same order id may be sent again.
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
    """The result of an order, recorded so that resends get the same."""

    order_id: str
    status: OrderStatus
    message: str = ""
