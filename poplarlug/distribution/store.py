"""Keeps an entry's configuration on its VM's disk."""

import asyncio
import os
import struct
from abc import ABC, abstractmethod
from collections.abc import Callable
from pathlib import Path

import crc32c
import msgspec

from poplarlug.catalog import Update
from poplarlug.logs import ComponentLogger

MIN_COMPACTION_BYTES = 4 * 1024 * 1024

_FILE_NAME = "configuration"
_RECORD_HEAD = struct.Struct(">II")

_log = ComponentLogger(prefix="distribution")


class ConfigStore(ABC):
    """Updates in the order in which they came into force."""

    @abstractmethod
    async def load(self) -> list[Update]:
        """Return the updates that were kept."""

    @abstractmethod
    async def append(self, update: Update) -> None:
        """
        Keep ``update`` for good before returning.

        A disk that fails is logged, and :attr:`is_long` asks for a replacement: a
        full disk stops no entry.
        """

    @property
    @abstractmethod
    def is_long(self) -> bool:
        """Whether :meth:`replace` would save much."""

    @abstractmethod
    async def replace(self, whole: Update) -> None:
        """Keep the one update ``whole`` in place of all others."""


class FileStore(ConfigStore):
    """
    Records in one file, each with its length and checksum.

    A torn or damaged tail is cut off; what was in it comes from peers again.

    Parameters
    ----------
    folder : pathlib.Path
        The VM's data folder.
    """

    def __init__(self, *, folder: Path) -> None:
        self._path = folder / _FILE_NAME
        self._bytes = 0
        self._whole_bytes = 0
        self._lacks_updates = False

    async def load(self) -> list[Update]:
        return await asyncio.to_thread(self._load)

    async def append(self, update: Update) -> None:
        await self._try(self._append, update)

    @property
    def is_long(self) -> bool:
        if self._lacks_updates:
            return True
        return self._bytes > max(MIN_COMPACTION_BYTES, 2 * self._whole_bytes)

    async def replace(self, whole: Update) -> None:
        await self._try(self._replace, whole)

    async def _try(self, write: Callable[[Update], None], update: Update) -> None:
        try:
            await asyncio.to_thread(write, update)
        except OSError as error:
            self._lacks_updates = True
            _log.error("disk failed", file=str(self._path), error=str(error))

    def _load(self) -> list[Update]:
        self._path.parent.mkdir(parents=True, exist_ok=True)
        data = self._path.read_bytes() if self._path.exists() else b""
        updates, good_bytes = _read_records(data)
        if good_bytes < len(data):
            _log.warning("cut a damaged tail", bytes=len(data) - good_bytes)
            os.truncate(self._path, good_bytes)
        self._bytes = good_bytes
        return updates

    def _append(self, update: Update) -> None:
        record = _to_record(update)
        with self._path.open("ab") as file:
            file.write(record)
            file.flush()
            os.fsync(file.fileno())
        if self._bytes == 0:
            _sync_folder(self._path.parent)
        self._bytes += len(record)

    def _replace(self, whole: Update) -> None:
        record = _to_record(whole)
        temporary = self._path.with_suffix(".new")
        with temporary.open("wb") as file:
            file.write(record)
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(self._path)
        _sync_folder(self._path.parent)
        self._bytes = self._whole_bytes = len(record)
        self._lacks_updates = False


def _to_record(update: Update) -> bytes:
    data = msgspec.msgpack.encode(update)
    return _RECORD_HEAD.pack(len(data), crc32c.crc32c(data)) + data


def _read_records(data: bytes) -> tuple[list[Update], int]:
    """Return the updates before the first damaged record and their bytes."""
    updates = []
    offset = 0
    while offset + _RECORD_HEAD.size <= len(data):
        length, checksum = _RECORD_HEAD.unpack_from(data, offset)
        start = offset + _RECORD_HEAD.size
        record = data[start : start + length]
        if len(record) < length or crc32c.crc32c(record) != checksum:
            break
        updates.append(msgspec.msgpack.decode(record, type=Update))
        offset = start + length
    return updates, offset


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
