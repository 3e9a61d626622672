"""Checksummed records, stored consecutively in a file."""

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
        Total size of these records in bytes; anything after it is a torn write.
    """

    payloads: list[bytes]
    size: int


def encode_record(payload: bytes, offset: int) -> bytes:
    """Return ``payload`` as a record that starts at byte ``offset`` of its file."""
    checksum = _checksum(payload, offset)
    return _HEAD.pack(MAGIC, offset, len(payload), checksum) + payload


def decode_records(data: bytes) -> Result[Records, str]:
    """
    Return the records in a file's content.

    Each write is one record and finishes before the next one starts, so a torn write
    can only be at the end of a file. An invalid record followed by a valid one means
    that the file is damaged.

    Returns
    -------
    Success(Records) or Failure(str)
        The failure says where the file is damaged.
    """
    payloads = []
    offset = 0
    while (payload := _payload_at(data, offset)) is not None:
        payloads.append(payload)
        offset += _HEAD.size + len(payload)
    following = _find_record(data, offset + 1)
    if following is not None:
        return Failure(
            f"record at byte {offset} is damaged, "
            f"but a valid record follows at byte {following}"
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
    # Covers the offset, so that a record inside another one's payload is invalid.
    return crc32c.crc32c(payload, crc32c.crc32c(_CHECKED.pack(offset, len(payload))))
