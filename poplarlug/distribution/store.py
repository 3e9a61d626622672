"""Persistent storage of an entry's configuration on the disk of its VM."""

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
    """Log of the updates in the order in which they came into force."""

    @abstractmethod
    async def load(self) -> list[Update]:
        """Return the stored updates."""

    @abstractmethod
    async def append(self, update: Update) -> None:
        """
        Store ``update`` durably before returning.

        A disk error is logged instead of raised, since a full disk must not stop the
        entry; :attr:`needs_compaction` is true from then on.
        """

    @property
    @abstractmethod
    def needs_compaction(self) -> bool:
        """Whether :meth:`compact` would save much space or repair missing updates."""

    @abstractmethod
    async def compact(self, whole: Update) -> None:
        """Replace all stored updates by the single update ``whole``."""


class FileStore(ConfigStore):
    """
    Log of updates in one file; each record has its length and checksum.

    A torn or damaged tail is truncated; the lost updates are pulled from peers again.

    Parameters
    ----------
    folder : pathlib.Path
        The VM's data folder.
    """

    def __init__(self, *, folder: Path) -> None:
        self._path = folder / _FILE_NAME
        self._file_bytes = 0
        self._compacted_bytes = 0
        self._is_incomplete = False

    async def load(self) -> list[Update]:
        return await asyncio.to_thread(self._load)

    async def append(self, update: Update) -> None:
        await self._write_in_thread(self._append, update)

    @property
    def needs_compaction(self) -> bool:
        if self._is_incomplete:
            return True
        return self._file_bytes > max(MIN_COMPACTION_BYTES, 2 * self._compacted_bytes)

    async def compact(self, whole: Update) -> None:
        await self._write_in_thread(self._compact, whole)

    async def _write_in_thread(
        self, write: Callable[[Update], None], update: Update
    ) -> None:
        try:
            await asyncio.to_thread(write, update)
        except OSError as error:
            self._is_incomplete = True
            _log.error(
                "failed to store the configuration",
                file=str(self._path),
                error=str(error),
            )

    def _load(self) -> list[Update]:
        self._path.parent.mkdir(parents=True, exist_ok=True)
        data = self._path.read_bytes() if self._path.exists() else b""
        updates, valid_bytes = _read_records(data)
        if valid_bytes < len(data):
            _log.warning("truncated a damaged tail", bytes=len(data) - valid_bytes)
            os.truncate(self._path, valid_bytes)
        self._file_bytes = valid_bytes
        return updates

    def _append(self, update: Update) -> None:
        record = _to_record(update)
        with self._path.open("ab") as file:
            file.write(record)
            file.flush()
            os.fsync(file.fileno())
        if self._file_bytes == 0:
            _fsync_folder(self._path.parent)
        self._file_bytes += len(record)

    def _compact(self, whole: Update) -> None:
        record = _to_record(whole)
        temporary = self._path.with_suffix(".new")
        with temporary.open("wb") as file:
            file.write(record)
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(self._path)
        _fsync_folder(self._path.parent)
        self._file_bytes = self._compacted_bytes = len(record)
        self._is_incomplete = False


def _to_record(update: Update) -> bytes:
    data = msgspec.msgpack.encode(update)
    return _RECORD_HEAD.pack(len(data), crc32c.crc32c(data)) + data


def _read_records(data: bytes) -> tuple[list[Update], int]:
    """Return the updates before the first damaged record and their size in bytes."""
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


def _fsync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
