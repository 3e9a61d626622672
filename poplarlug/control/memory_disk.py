"""In-memory disk that loses unsynced data in a crash, for tests and experiments."""

import asyncio
import errno
from io import BytesIO
from random import Random
from typing import BinaryIO, NamedTuple

from poplarlug.control.disk import Disk
from poplarlug.types import Seconds


class _Write(NamedTuple):
    name: str
    data: bytes
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
    """

    def __init__(self, *, rng: Random, max_delay: Seconds = 0.005) -> None:
        self._rng = rng
        self.max_delay = max_delay
        self.is_full = False
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
                self._store(write._replace(data=write.data[:kept]))
            elif kept > len(write.data) // 2:
                self._store(write)
        self._writes_by_id.clear()

    def wipe(self) -> None:
        """Delete all files; must be called while no process uses the disk."""
        self.files_by_name.clear()

    def read(self, name: str) -> bytes | None:
        return self.files_by_name.get(name)

    def open(self, name: str) -> BinaryIO | None:
        data = self.files_by_name.get(name)
        return None if data is None else BytesIO(data)

    async def append(self, name: str, data: bytes) -> None:
        await self._write(_Write(name, data, True))

    async def replace(self, name: str, data: bytes) -> None:
        await self._write(_Write(name, data, False))

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
            raise OSError(errno.ENOSPC, "no space left")
        self._store(write)

    async def _wait_forever(self) -> None:
        end: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._abandoned_writes.append(end)
        await end

    def _store(self, write: _Write) -> None:
        before = self.files_by_name.get(write.name, b"") if write.appends else b""
        self.files_by_name[write.name] = before + write.data
