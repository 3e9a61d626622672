"""A synced file of claims on a VM with a disk."""

import asyncio
import os
import struct
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import NamedTuple

import crc32c
import msgspec

from poplarlug.claims.records import ClaimRecord
from poplarlug.claims.table import ClaimTable
from poplarlug.logs import ComponentLogger

FILE_NAME = "claims.journal"
MAX_RECORD_BYTES = 1024 * 1024
COMPACT_FACTOR = 4
MIN_COMPACT_RECORDS = 1000

_FRAME = struct.Struct("<II")

_log = ComponentLogger(prefix="claims")


class _Line(NamedTuple):
    """A record and the wall-clock time, in seconds, at which its life ends."""

    record: ClaimRecord
    ends_at: float


class ClaimJournal:
    """
    Append claims to a file and sync them; several share one sync.

    ``was_found`` says that the whole file of an earlier run was read, so that
    no claim was lost. A file with a torn or damaged record is put aside, and
    its claims have to be copied from the other holders.

    Parameters
    ----------
    folder : pathlib.Path
        The data folder; created when missing.
    wall_clock : callable
        Returns the time of day in seconds; ages have to outlive the process.
    """

    def __init__(self, *, folder: Path, wall_clock: Callable[[], float]) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._path = folder / FILE_NAME
        self._wall_clock = wall_clock
        self._pending: list[bytes] = []
        self._flushes: set[asyncio.Task[None]] = set()
        self._writing = asyncio.Lock()
        self._appended = 0
        self._recovering = False
        self._lines, self.was_found = self._read()

    def load_into(self, table: ClaimTable) -> None:
        """Put the claims of the file into ``table``."""
        now = self._wall_clock()
        last_by_key = {line.record.key: line for line in self._lines}
        for line in last_by_key.values():
            life = line.ends_at - now
            if life > 0:
                table.restore(line.record, life)
        table.sort_by_end()
        self._appended = len(self._lines)
        self._lines = []
        self._recovering = not self.was_found

    async def append(self, record: ClaimRecord, table: ClaimTable) -> None:
        """Return once ``record`` is synced."""
        if self._recovering:
            # The file isn't trusted yet; mark_recovered writes all of the table.
            return
        line = _Line(record, self._wall_clock() + table.life_seconds)
        self._pending.append(_frame(line))
        self._appended += 1
        # Goes on when the caller is cancelled: no two writes at a time.
        flushing = asyncio.ensure_future(self._flush(table))
        self._flushes.add(flushing)
        flushing.add_done_callback(self._flushes.discard)
        await asyncio.shield(flushing)

    async def mark_recovered(self, table: ClaimTable) -> None:
        """Write the whole table, after which the file is trusted again."""
        async with self._writing:
            self._recovering = False
            await self._rewrite(table)

    async def _flush(self, table: ClaimTable) -> None:
        async with self._writing:
            if not self._pending:
                return
            if self._appended > max(MIN_COMPACT_RECORDS, COMPACT_FACTOR * len(table)):
                await self._rewrite(table)
                return
            data = b"".join(self._pending)
            self._pending = []
            await asyncio.to_thread(_append_synced, self._path, data)

    async def _rewrite(self, table: ClaimTable) -> None:
        now = self._wall_clock()
        lines = [_Line(record, now + life) for record, life in table.records()]
        self._pending = []
        self._appended = len(lines)
        data = b"".join(_frame(line) for line in lines)
        await asyncio.to_thread(_replace_synced, self._path, data)

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
            # Whether the rest was ever synced can't be told: not trusted.
            _log.error("journal is damaged", bytes=len(data) - offset)
            self._path.replace(self._path.with_suffix(".damaged"))
            return lines, False
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


def _append_synced(path: Path, data: bytes) -> None:
    with path.open("ab") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())


def _replace_synced(path: Path, data: bytes) -> None:
    temporary = path.with_suffix(".new")
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
