"""Frames that carry requests, replies and streams between processes."""

from enum import IntEnum
from typing import NamedTuple

import msgspec


class FrameKind(IntEnum):
    """
    Purpose of a frame.

    ``REQUEST``, ``NOTIFY``, ``OPEN``, ``CREDIT`` and ``CANCEL`` are sent to the server
    of an exchange; ``REPLY``, ``REFUSED``, ``CHUNK`` and ``END`` to its client.
    """

    REQUEST = 1
    NOTIFY = 2
    OPEN = 3
    CREDIT = 4
    CANCEL = 5
    REPLY = 6
    REFUSED = 7
    CHUNK = 8
    END = 9


class Header(NamedTuple):
    """
    First part of a frame; the second part is the payload.

    Parameters
    ----------
    exchange_id : int
        Assigned by the client; unique within one run of its process.
    number : int
        Index of a ``CHUNK``, total number of chunks in an ``END``, number of additional
        chunks allowed by a ``CREDIT``.
    """

    kind: FrameKind
    sender: str
    exchange_id: int
    topic: str = ""
    number: int = 0


_header_decoder = msgspec.msgpack.Decoder(Header)
_header_encoder = msgspec.msgpack.Encoder()


def encode_header(header: Header) -> bytes:
    return _header_encoder.encode(header)


def decode_header(data: bytes) -> Header | None:
    """Return the decoded header, or ``None`` if ``data`` isn't a valid one."""
    try:
        return _header_decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
