"""Records with a checksum, one after another in a file."""

import struct
from typing import NamedTuple

import crc32c
from returns.result import Failure, Result, Success

MAGIC = b"PLR1"
_HEAD = struct.Struct(">4sQII")
_CHECKED = struct.Struct(">QI")


class Records(NamedTuple):
    """
    Payloads of the valid records of a file.

    Parameters
    ----------
    size : int
        Bytes that they take; what follows is the torn end of a write.
    """

    payloads: list[bytes]
    size: int


def encode_record(payload: bytes, offset: int) -> bytes:
    """Return the record of ``payload`` at ``offset`` bytes into its file."""
    checksum = _checksum(payload, offset)
    return _HEAD.pack(MAGIC, offset, len(payload), checksum) + payload


def decode_records(data: bytes) -> Result[Records, str]:
    """
    Return the records in a file's content.

    A write is one record and ends before the next one starts, so a torn write
    is the last thing in a file. An invalid record with a valid one behind it is
    damage.

    Returns
    -------
    Success(Records) or Failure(str)
        The failure tells where the file is damaged.
    """
    payloads = []
    offset = 0
    while (payload := _payload_at(data, offset)) is not None:
        payloads.append(payload)
        offset += _HEAD.size + len(payload)
    behind = _find_record(data, offset + 1)
    if behind is not None:
        return Failure(
            f"record at byte {offset} is damaged, "
            f"but a valid record follows at byte {behind}"
        )
    return Success(Records(payloads, offset))


def _payload_at(data: bytes, offset: int) -> bytes | None:
    if offset + _HEAD.size > len(data):
        return None
    magic, stored_offset, length, checksum = _HEAD.unpack_from(data, offset)
    if magic != MAGIC or stored_offset != offset:
        return None
    start = offset + _HEAD.size
    payload = data[start : start + length]
    if len(payload) < length or _checksum(payload, offset) != checksum:
        return None
    return payload


def _find_record(data: bytes, start: int) -> int | None:
    offset = data.find(MAGIC, start)
    while offset >= 0:
        if _payload_at(data, offset) is not None:
            return offset
        offset = data.find(MAGIC, offset + 1)
    return None


def _checksum(payload: bytes, offset: int) -> int:
    # The offset keeps a record inside another one's payload from being valid.
    return crc32c.crc32c(payload, crc32c.crc32c(_CHECKED.pack(offset, len(payload))))
