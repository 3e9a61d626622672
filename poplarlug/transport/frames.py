"""The frames that carry requests, replies and streams between processes."""

from enum import IntEnum
from typing import NamedTuple

import msgspec


class FrameKind(IntEnum):
    """
    What a frame is for.

    ``REQUEST``, ``NOTIFY``, ``OPEN``, ``CREDIT`` and ``CANCEL`` go to the
    serving side; ``REPLY``, ``REFUSED``, ``CHUNK`` and ``END`` come back.
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
    First part of a frame; the second is the payload.

    Parameters
    ----------
    exchange_id : int
        Chosen by the asking side, unique for one run of its process.
    number : int
        Chunk number of a ``CHUNK``, count of an ``END``, credit of a ``CREDIT``.
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
    """Return the header in ``data``, or ``None`` when it isn't one."""
    try:
        return _header_decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
