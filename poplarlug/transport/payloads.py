"""Decoding of frame payloads into messages."""

from functools import cache
from types import UnionType
from typing import Any, TypeVar, Union, get_args, get_origin, get_type_hints

import msgspec
from returns.result import Failure, Result, Success

from poplarlug.transport.errors import TransportError, TransportErrorKind

R = TypeVar("R")


def decode_payload(data: bytes, message_type: type[R]) -> Result[R, TransportError]:
    """
    Return the ``message_type`` encoded in ``data``, or a ``MALFORMED`` failure.

    Fields that the sender has appended in a later release are left out, so that processes
    of two releases understand each other while one replaces the other.
    """
    try:
        return Success(msgspec.msgpack.decode(data, type=message_type))
    except msgspec.ValidationError as error:
        problem: Exception = error
    except msgspec.DecodeError as error:
        return Failure(_malformed(message_type, error))
    try:
        known = _without_unknown_fields(msgspec.msgpack.decode(data), message_type)
        return Success(msgspec.convert(known, message_type))
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError):
        return Failure(_malformed(message_type, problem))


def _malformed(message_type: type[Any], error: Exception) -> TransportError:
    return TransportError(
        TransportErrorKind.MALFORMED, f"not a {message_type.__name__}: {error}"
    )


def _without_unknown_fields(value: Any, expected: Any) -> Any:
    """Return a decoded value without the elements that its named tuples don't have."""
    if not isinstance(value, list):
        return value
    if get_origin(expected) in (Union, UnionType):
        candidates = [one for one in get_args(expected) if _holds_elements(one)]
        # Of several, it can't be told here which one was meant.
        return (
            _without_unknown_fields(value, candidates[0])
            if len(candidates) == 1
            else value
        )
    if get_origin(expected) is tuple:
        element, *others = get_args(expected)
        if others == [Ellipsis]:
            return [_without_unknown_fields(one, element) for one in value]
        return value
    fields = _field_types(expected)
    if fields is None:
        return value
    return [
        _without_unknown_fields(one, field)
        for one, field in zip(value, fields, strict=False)
    ]


def _holds_elements(expected: Any) -> bool:
    return get_origin(expected) is tuple or _field_types(expected) is not None


@cache
def _field_types(expected: Any) -> tuple[Any, ...] | None:
    """Return the types of a named tuple's fields, ``None`` for other types."""
    if not (isinstance(expected, type) and hasattr(expected, "_fields")):
        return None
    hints = get_type_hints(expected)
    return tuple(hints[name] for name in expected._fields)
