"""Checksummed records, stored consecutively in a file."""

import os
import struct
from collections.abc import Iterator
from io import BytesIO
from typing import BinaryIO, NamedTuple

import crc32c
from returns.result import Failure, Result, Success

MAGIC = b"PLR1"
SEARCH_BYTES = 1024 * 1024
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


class RecordReader:
    """
    Read the records of a file one after the other, without holding the whole file.

    Each write is one record and finishes before the next one starts, so a torn write
    can only be at the end of a file. An invalid record followed by a valid one means
    that the file is damaged.

    Attributes
    ----------
    size : int
        Total size in bytes of the records read so far.
    file_size : int
        Size of the file in bytes.
    """

    def __init__(self, *, file: BinaryIO) -> None:
        self._file = file
        self.size = 0
        self.file_size = file.seek(0, os.SEEK_END)

    def payloads(self) -> Iterator[bytes]:
        """Yield the payloads up to the first invalid record or the file's end."""
        while (payload := self._payload_at(self.size)) is not None:
            self.size += _HEAD.size + len(payload)
            yield payload

    def check_end(self) -> Result[None, str]:
        """Return where the file is damaged if a valid record follows an invalid one."""
        following = self._find_record(self.size + 1)
        if following is None:
            return Success(None)
        return Failure(
            f"record at byte {self.size} is damaged, "
            f"but a valid record follows at byte {following}"
        )

    def _payload_at(self, offset: int) -> bytes | None:
        self._file.seek(offset)
        head = self._file.read(_HEAD.size)
        if len(head) < _HEAD.size:
            return None
        magic, stored_offset, length, checksum = _HEAD.unpack(head)
        if magic != MAGIC or stored_offset != offset:
            return None
        if length > self.file_size - offset - _HEAD.size:
            return None
        payload = self._file.read(length)
        if len(payload) < length or _checksum(payload, offset) != checksum:
            return None
        return payload

    def _find_record(self, start: int) -> int | None:
        while start < self.file_size:
            self._file.seek(start)
            # Blocks overlap, so that none ends within a magic number.
            block = self._file.read(SEARCH_BYTES + len(MAGIC) - 1)
            position = block.find(MAGIC)
            while position >= 0:
                if self._payload_at(start + position) is not None:
                    return start + position
                position = block.find(MAGIC, position + 1)
            start += SEARCH_BYTES
        return None


def decode_records(data: bytes) -> Result[Records, str]:
    """
    Return the records in a file's content.

    Returns
    -------
    Success(Records) or Failure(str)
        The failure says where the file is damaged.
    """
    reader = RecordReader(file=BytesIO(data))
    payloads = [*reader.payloads()]
    return reader.check_end().map(lambda _: Records(payloads, reader.size))


def _checksum(payload: bytes, offset: int) -> int:
    # Covers the offset, so that a record inside another one's payload is invalid.
    return crc32c.crc32c(payload, crc32c.crc32c(_CHECKED.pack(offset, len(payload))))
