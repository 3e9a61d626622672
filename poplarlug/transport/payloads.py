"""Decoding of frame payloads into messages."""

from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from poplarlug.transport.errors import TransportError, TransportErrorKind

R = TypeVar("R")


def decode_payload(data: bytes, message_type: type[R]) -> Result[R, TransportError]:
    """Return the ``message_type`` encoded in ``data``, or a ``MALFORMED`` failure."""
    try:
        return Success(msgspec.msgpack.decode(data, type=message_type))
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Failure(
            TransportError(
                TransportErrorKind.MALFORMED, f"not a {message_type.__name__}: {error}"
            )
        )
