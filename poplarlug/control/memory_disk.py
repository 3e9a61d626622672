"""In-memory disk that loses unsynced data in a crash, for tests and experiments."""

import asyncio
import errno
import sys
from io import BytesIO
from random import Random
from typing import BinaryIO, NamedTuple

from poplarlug.control.disk import ContentUnchangedError, Disk
from poplarlug.types import Seconds


class _Write(NamedTuple):
    """Data that replaces what a file holds from ``offset`` on."""

    name: str
    data: bytes
    offset: int
    appends: bool


class MemoryDisk(Disk):
    """
    Files of one simulated VM, used by one simulated process at a time.

    Parameters
    ----------
    rng : random.Random
        Source of delays and of how much of a write in progress survives a crash.
    max_delay : float
        Maximum duration of a write, in seconds.

    Attributes
    ----------
    is_full : bool
        Whether writes fail, keeping none of their data.
    capacity_bytes : int
        Maximum total size of the files. A write that exceeds it fails; an append keeps
        what fits.
    """

    def __init__(self, *, rng: Random, max_delay: Seconds = 0.005) -> None:
        self._rng = rng
        self.max_delay = max_delay
        self.is_full = False
        self.capacity_bytes = sys.maxsize
        self._session = 0
        self._writes_by_id: dict[int, _Write] = {}
        self._last_id = 0
        self._abandoned_writes: list[asyncio.Future[None]] = []
        self.files_by_name: dict[str, bytes] = {}

    def crash(self) -> None:
        """Lose the writes in progress, or keep a random part of them."""
        self._session += 1
        for write in self._writes_by_id.values():
            kept = self._rng.randint(0, len(write.data))
            if write.appends:
                # The cut of what followed the offset may be lost too.
                held = self.files_by_name.get(write.name, b"")
                rest = self._rng.choice((b"", held[write.offset + kept :]))
                self._store(write._replace(data=write.data[:kept] + rest))
            elif kept > len(write.data) // 2:
                self._store(write)
        self._writes_by_id.clear()

    def wipe(self) -> None:
        """Delete all files; must be called while no process uses the disk."""
        self.files_by_name.clear()

    @property
    def used_bytes(self) -> int:
        """Total size of the files."""
        return sum(len(data) for data in self.files_by_name.values())

    def read(self, name: str) -> bytes | None:
        return self.files_by_name.get(name)

    def open(self, name: str) -> BinaryIO | None:
        data = self.files_by_name.get(name)
        return None if data is None else BytesIO(data)

    async def append(self, name: str, data: bytes, *, offset: int) -> None:
        await self._write(_Write(name, data, offset, True))

    async def replace(self, name: str, data: bytes) -> None:
        await self._write(_Write(name, data, 0, False))

    async def remove(self, name: str) -> None:
        self.files_by_name.pop(name, None)

    async def _write(self, write: _Write) -> None:
        session = self._session
        self._last_id += 1
        write_id = self._last_id
        self._writes_by_id[write_id] = write
        await asyncio.sleep(self._rng.uniform(0, self.max_delay))
        if session != self._session:
            # The process has crashed, so its write never returns.
            await self._wait_forever()
        del self._writes_by_id[write_id]
        if self.is_full:
            raise ContentUnchangedError(errno.ENOSPC, "no space left")
        if write.appends:
            # Whatever follows the offset is cut first.
            self._store(write._replace(data=b""))
        free = max(0, self.capacity_bytes - self.used_bytes)
        if len(write.data) > free:
            if write.appends:
                self._store(write._replace(data=write.data[:free]))
                raise OSError(errno.ENOSPC, "no space left")
            raise ContentUnchangedError(errno.ENOSPC, "no space left")
        self._store(write)

    async def _wait_forever(self) -> None:
        end: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._abandoned_writes.append(end)
        await end

    def _store(self, write: _Write) -> None:
        before = self.files_by_name.get(write.name, b"")[: write.offset]
        assert len(before) == write.offset
        self.files_by_name[write.name] = before + write.data
