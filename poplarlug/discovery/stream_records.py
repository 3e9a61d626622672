"""Records of streams at a control replica, in memory and on its disk."""

import asyncio
from collections.abc import Callable, Iterable
from enum import Enum
from typing import NamedTuple

import msgspec
from returns.result import Failure

from poplarlug.control.coalescing import CoalescedWrite
from poplarlug.control.disk import Disk
from poplarlug.control.records import RecordReader, encode_record
from poplarlug.discovery.software_versions import (
    StreamKey,
    StreamStarts,
    StreamVersions,
    group_by_version,
)
from poplarlug.logs import ComponentLogger
from poplarlug.types import Seconds, SoftwareVersion

FILE_NAME = "streams"
MIN_SHORTENED_STREAMS = 4096
"""A file with fewer streams, about 40 KB, isn't shortened."""

CHECK_SECONDS = 0.5
"""Interval of attempts to write what no caller waits for."""

_log = ComponentLogger(prefix="discovery")


class _Batch(NamedTuple):
    """
    Streams that were written together.

    Parameters
    ----------
    is_intact : bool
        Whether the file then held all streams that were recorded at this replica.
    """

    is_intact: bool
    starts: tuple[StreamStarts, ...]


class Kept(Enum):
    """Where a replica has the records of streams that it was told."""

    ON_DISK = "on disk"
    IN_MEMORY = "in memory"
    """A restart loses them, and this replica will then know that it lacks some."""
    UNSAFELY = "unsafely"
    """A restart loses them, and this replica would deny them."""


class StreamRecords:
    """
    Streams that this replica has recorded, kept across its restarts.

    Load pattern: all replicas are killed or lose power together with an entry, while
    streams of several versions run; the entry's callers resume elsewhere at once. Only
    the replicas' disks then tell which version began a stream, and whether one without
    a record was never recorded.

    Each record is on the disk before it counts as durable. While the disk refuses
    writes, the file is removed, so that this replica doesn't take itself for
    intact after a restart.
    """

    def __init__(self, *, disk: Disk, clock: Callable[[], Seconds]) -> None:
        self._disk = disk
        self.versions = StreamVersions(clock=clock)
        self._unwritten_by_key: dict[StreamKey, SoftwareVersion] = {}
        self._revision = 0
        self._durable_revision = 0
        self._is_intact_on_disk = False
        self._size = 0
        self._written_streams = 0
        self._is_removed = False
        self._write = CoalescedWrite(write=self._write_pending)

    def load(self) -> None:
        """Read the file; what follows damage is dropped, so that it isn't intact."""
        file = self._disk.open(FILE_NAME)
        if file is None:
            return
        is_intact = False
        with file:
            reader = RecordReader(file=file)
            try:
                for payload in reader.payloads():
                    batch = msgspec.msgpack.decode(payload, type=_Batch)
                    self.versions.add(batch.starts)
                    is_intact = batch.is_intact
                checked = reader.check_end()
                problem = checked.failure() if isinstance(checked, Failure) else ""
            except (ValueError, TypeError) as error:
                problem = str(error)
        if problem:
            _log.warning("the file of streams is damaged", problem=problem)
            is_intact = False
        else:
            self._size = reader.size
        self._is_intact_on_disk = is_intact
        if is_intact:
            self.versions.mark_intact()
        self._written_streams = self.versions.count
        _log.info(
            "read streams from disk", streams=self.versions.count, is_intact=is_intact
        )

    def add(self, starts: Iterable[StreamStarts]) -> None:
        """
        Record streams in memory; :meth:`sync` makes them durable.

        A renewed record isn't written again: one that is read from the disk counts as
        just renewed.
        """
        for version, keys in starts:
            new = [key for key in keys if self.versions.get(key) is None]
            self.versions.add([StreamStarts(version, keys)])
            if new:
                self._unwritten_by_key.update(dict.fromkeys(new, version))
                self._revision += 1

    async def sync(self) -> Kept:
        """Try to make all streams recorded so far durable."""
        revision = self._revision
        if self._durable_revision < revision and not self._is_removed:
            await self._write.run()
        if self._durable_revision >= revision:
            return Kept.ON_DISK
        return Kept.IN_MEMORY if self._is_removed else Kept.UNSAFELY

    async def run(self) -> None:
        """Note on the disk when this replica becomes intact, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            has_changed = self._is_intact_on_disk != self.versions.is_intact
            if has_changed or self._durable_revision < self._revision:
                await self._write.run()

    async def _write_pending(self) -> None:
        revision = self._revision
        is_intact = self.versions.is_intact
        pending, self._unwritten_by_key = self._unwritten_by_key, {}
        try:
            if self._must_replace():
                await self._replace(_Batch(is_intact, self.versions.all()))
            else:
                await self._append(_Batch(is_intact, group_by_version(pending)))
        except OSError as error:
            self._size = 0
            await self._remove(error)
            return
        if self._is_removed:
            _log.info("streams are written again")
        self._is_removed = False
        self._is_intact_on_disk = is_intact
        self._durable_revision = revision

    def _must_replace(self) -> bool:
        if not self._size:
            return True
        if self._written_streams < MIN_SHORTENED_STREAMS:
            return False
        return self._written_streams > 2 * self.versions.count

    async def _replace(self, batch: _Batch) -> None:
        record = encode_record(msgspec.msgpack.encode(batch), 0)
        await self._disk.replace(FILE_NAME, record)
        self._size = len(record)
        self._written_streams = sum(len(keys) for _, keys in batch.starts)

    async def _append(self, batch: _Batch) -> None:
        record = encode_record(msgspec.msgpack.encode(batch), self._size)
        await self._disk.append(FILE_NAME, record, offset=self._size)
        self._size += len(record)
        self._written_streams += sum(len(keys) for _, keys in batch.starts)

    async def _remove(self, error: OSError) -> None:
        """Remove the file after a failed write; it would be taken for that of an intact replica."""
        if not self._is_removed:
            _log.warning("can't write streams to the disk", error=str(error))
        try:
            await self._disk.remove(FILE_NAME)
        except OSError as remove_error:
            _log.error("can't remove the file of streams", error=str(remove_error))
            self._is_removed = False
            return
        self._is_removed = True
        self._is_intact_on_disk = False
