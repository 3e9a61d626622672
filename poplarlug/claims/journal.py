"""Journal file of claims on a VM with a disk."""

import asyncio
import struct
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import NamedTuple

import crc32c
import msgspec

from poplarlug.claims.records import ClaimRecord
from poplarlug.claims.table import ClaimTable
from poplarlug.control.disk import ContentUnchangedError, FileDisk
from poplarlug.logs import ComponentLogger

FILE_NAME = "claims.journal"
MAX_RECORD_BYTES = 1024 * 1024
COMPACT_FACTOR = 4
MIN_COMPACT_RECORDS = 1000

_FRAME = struct.Struct("<II")

_log = ComponentLogger(prefix="claims")


class _Line(NamedTuple):
    """A record and the wall-clock time, in seconds, at which it expires."""

    record: ClaimRecord
    ends_at: float


class ClaimJournal:
    """
    Append claims to a file with group commit: concurrent appends share one fsync.

    ``was_intact`` tells whether the complete file of an earlier run was read, so
    that no claim was lost. A file with a truncated or corrupt record is renamed,
    and its claims have to be copied from the other holders.

    Parameters
    ----------
    folder : pathlib.Path
        The data folder; created if missing.
    wall_clock : callable
        Returns the wall-clock time in seconds; expiry times must stay valid
        across restarts.
    """

    def __init__(self, *, folder: Path, wall_clock: Callable[[], float]) -> None:
        self._disk = FileDisk(folder=folder)
        self._path = folder / FILE_NAME
        self._wall_clock = wall_clock
        self._pending: list[bytes] = []
        self._flush_tasks: set[asyncio.Task[None]] = set()
        self._write_lock = asyncio.Lock()
        self._appended = 0
        self._size = 0
        self._must_rewrite = False
        self._recovering = False
        self._lines, self.was_intact = self._read()

    def load_into(self, table: ClaimTable) -> None:
        """Load the claims of the file into ``table``."""
        now = self._wall_clock()
        last_by_key = {line.record.key: line for line in self._lines}
        for line in last_by_key.values():
            lifetime = line.ends_at - now
            if lifetime > 0:
                table.restore(line.record, lifetime)
        table.sort_by_expiry()
        self._appended = len(self._lines)
        self._lines = []
        self._recovering = not self.was_intact

    async def append(self, record: ClaimRecord, table: ClaimTable) -> None:
        """
        Return once ``record`` is synced.

        Raises
        ------
        OSError
            If the write fails; the next append writes this record too.
        """
        if self._recovering:
            # The file isn't trusted yet; mark_recovered writes the whole table.
            return
        line = _Line(record, self._wall_clock() + table.life_seconds)
        self._pending.append(_frame(line))
        self._appended += 1
        # Continues if the caller is cancelled, so that writes never overlap.
        flushing = asyncio.ensure_future(self._flush(table))
        self._flush_tasks.add(flushing)
        flushing.add_done_callback(self._flush_tasks.discard)
        await asyncio.shield(flushing)

    async def mark_recovered(self, table: ClaimTable) -> None:
        """
        Rewrite the file from the whole table; it is trusted from then on.

        Raises
        ------
        OSError
            If the write fails; the file isn't trusted then.
        """
        async with self._write_lock:
            # Claims that come during the write are appended after it.
            self._recovering = False
            try:
                await self._rewrite(table)
            except OSError:
                self._recovering = True
                raise

    async def _flush(self, table: ClaimTable) -> None:
        async with self._write_lock:
            if not self._pending or self._recovering:
                return
            if self._must_rewrite or self._can_compact(table):
                try:
                    await self._rewrite(table)
                    return
                except ContentUnchangedError as error:
                    if self._must_rewrite:
                        raise
                    # The longer file is valid, and appending needs less room.
                    _log.warning("can't compact the journal", error=repr(error))
            count = len(self._pending)
            data = b"".join(self._pending)
            await self._disk.append(FILE_NAME, data, offset=self._size)
            self._size += len(data)
            del self._pending[:count]

    def _can_compact(self, table: ClaimTable) -> bool:
        return self._appended > max(MIN_COMPACT_RECORDS, COMPACT_FACTOR * len(table))

    async def _rewrite(self, table: ClaimTable) -> None:
        now = self._wall_clock()
        lines = [_Line(record, now + lifetime) for record, lifetime in table.records()]
        count = len(self._pending)
        data = b"".join(_frame(line) for line in lines)
        try:
            await self._disk.replace(FILE_NAME, data)
        except OSError as error:
            if not isinstance(error, ContentUnchangedError):
                self._must_rewrite = True
            raise
        self._must_rewrite = False
        self._size = len(data)
        del self._pending[:count]
        self._appended = len(lines) + len(self._pending)

    def _read(self) -> tuple[list[_Line], bool]:
        if not self._path.exists():
            return [], False
        data = self._path.read_bytes()
        lines = []
        offset = 0
        for line, end in _frames(data):
            lines.append(line)
            offset = end
        if offset < len(data):
            # The unreadable rest may have been synced, so the file isn't trusted.
            _log.error("journal is damaged", bytes=len(data) - offset)
            self._path.replace(self._path.with_suffix(".damaged"))
            return lines, False
        self._size = offset
        return lines, True


def _frame(line: _Line) -> bytes:
    data = msgspec.msgpack.encode(line)
    return _FRAME.pack(len(data), crc32c.crc32c(data)) + data


def _frames(data: bytes) -> Iterator[tuple[_Line, int]]:
    offset = 0
    while offset + _FRAME.size <= len(data):
        size, checksum = _FRAME.unpack_from(data, offset)
        start = offset + _FRAME.size
        body = data[start : start + size]
        if size > MAX_RECORD_BYTES or len(body) < size:
            return
        if crc32c.crc32c(body) != checksum:
            return
        try:
            line = msgspec.msgpack.decode(body, type=_Line)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return
        offset = start + size
        yield line, offset
