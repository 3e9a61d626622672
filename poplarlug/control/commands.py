"""Encoding and decoding of the commands in the replicated log."""

from typing import Any, Literal, NamedTuple, TypeAlias

import msgspec
from returns.result import Failure, Result, Success

from poplarlug.catalog import Change
from poplarlug.control.orders import OrderRequest, OrderResult
from poplarlug.control.routing_state import EvacuationChange, RouteTableChange

CommandType: TypeAlias = Literal[
    "change", "order", "order_result", "route_table", "evacuation"
]
Command: TypeAlias = (
    Change | OrderRequest | OrderResult | RouteTableChange | EvacuationChange
)

_TYPES_BY_NAME: dict[CommandType, Any] = {
    "change": Change,
    "order": OrderRequest,
    "order_result": OrderResult,
    "route_table": RouteTableChange,
    "evacuation": EvacuationChange,
}
_NAMES_BY_TYPE = {kind: name for name, kind in _TYPES_BY_NAME.items()}


class _Envelope(NamedTuple):
    type: CommandType
    body: bytes


def encode_command(command: Command) -> bytes:
    """Return ``command`` encoded for the log."""
    body = msgspec.msgpack.encode(command)
    return msgspec.msgpack.encode(_Envelope(_NAMES_BY_TYPE[type(command)], body))


def decode_command(data: bytes) -> Result[Command, str]:
    """Return the command in ``data`` or why it is invalid; never raises."""
    try:
        envelope = msgspec.msgpack.decode(data, type=_Envelope)
        kind = _TYPES_BY_NAME[envelope.type]
        return Success(msgspec.msgpack.decode(envelope.body, type=kind))
    except (ValueError, TypeError, RecursionError) as error:
        return Failure(f"not a command: {error}")
