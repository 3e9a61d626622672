"""Files under one data folder, durable once an operation has returned."""

import asyncio
import fcntl
import os
from abc import ABC, abstractmethod
from pathlib import Path

from returns.result import Failure, Result, Success


class Disk(ABC):
    """
    Named files whose writes are synced before they return.

    A crash in the middle of :meth:`append` may leave any prefix of the data; in
    the middle of :meth:`replace` it leaves the old or the new content.
    """

    @abstractmethod
    def read(self, name: str) -> bytes | None:
        """Return the content of a file, ``None`` when there is none."""

    @abstractmethod
    async def append(self, name: str, data: bytes) -> None:
        """Add ``data`` to the end of a file and sync it."""

    @abstractmethod
    async def replace(self, name: str, data: bytes) -> None:
        """Replace the whole content of a file atomically and sync it."""


class FileDisk(Disk):
    """
    Files in a folder; writes and syncs run in threads, off the event loop.

    Parameters
    ----------
    folder : pathlib.Path
        Created when it is missing.
    """

    def __init__(self, *, folder: Path) -> None:
        self._folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        self._lock_file = (folder / "lock").open("ab")

    def lock(self) -> Result[None, str]:
        """Keep other processes out of the folder until this one ends."""
        try:
            fcntl.flock(self._lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            return Failure(
                f"data folder {self._folder} is in use by another process; stop it"
            )
        return Success(None)

    def read(self, name: str) -> bytes | None:
        path = self._folder / name
        return path.read_bytes() if path.exists() else None

    async def append(self, name: str, data: bytes) -> None:
        await asyncio.to_thread(self._append, name, data)

    async def replace(self, name: str, data: bytes) -> None:
        await asyncio.to_thread(self._replace, name, data)

    def _append(self, name: str, data: bytes) -> None:
        path = self._folder / name
        created = not path.exists()
        with path.open("ab") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        if created:
            self._sync_folder()

    def _replace(self, name: str, data: bytes) -> None:
        new = self._folder / f"{name}.new"
        try:
            with new.open("wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
        except OSError:
            # What was written of it takes up space that a full disk lacks.
            new.unlink(missing_ok=True)
            raise
        new.replace(self._folder / name)
        self._sync_folder()

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
