"""Files in one data folder; a write is durable once it returns."""

import asyncio
import errno
import fcntl
import os
from abc import ABC, abstractmethod
from pathlib import Path
from typing import BinaryIO

from returns.result import Failure, Result, Success


class ContentUnchangedError(OSError):
    """A write failed and the file certainly has its old content."""


class Disk(ABC):
    """
    Named files whose writes are synced before they return.

    A crash or an error during :meth:`append` may leave any prefix of the data; one
    during :meth:`replace` leaves either the old or the new content, and the old one
    if the error is a :class:`ContentUnchangedError`.
    """

    @abstractmethod
    def read(self, name: str) -> bytes | None:
        """Return the content of a file, ``None`` if it does not exist."""

    @abstractmethod
    def open(self, name: str) -> BinaryIO | None:
        """Open a file for reading, ``None`` if it does not exist."""

    @abstractmethod
    async def append(self, name: str, data: bytes, *, offset: int) -> None:
        """
        Write ``data`` at the end of an existing file and sync it.

        Parameters
        ----------
        offset : int
            Where the file ends, in bytes. Anything behind it, such as a part of an
            append that failed, is cut off.
        """

    @abstractmethod
    async def replace(self, name: str, data: bytes) -> None:
        """Replace the whole content of a file atomically and sync it."""

    @abstractmethod
    async def remove(self, name: str) -> None:
        """Remove a file durably, if it exists."""


class FileDisk(Disk):
    """
    Files in a folder; writes and syncs run in threads, off the event loop.

    Parameters
    ----------
    folder : pathlib.Path
        Created if it does not exist.
    """

    def __init__(self, *, folder: Path) -> None:
        self._folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        self._lock_file: BinaryIO | None = None

    def lock(self) -> Result[None, str]:
        """Lock the folder against other processes until this one exits."""
        self._lock_file = (self._folder / "lock").open("ab")
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

    def open(self, name: str) -> BinaryIO | None:
        path = self._folder / name
        return path.open("rb") if path.exists() else None

    async def append(self, name: str, data: bytes, *, offset: int) -> None:
        await asyncio.to_thread(self._append, name, data, offset)

    async def replace(self, name: str, data: bytes) -> None:
        await asyncio.to_thread(self._replace, name, data)

    async def remove(self, name: str) -> None:
        await asyncio.to_thread(self._remove, name)

    def _append(self, name: str, data: bytes, offset: int) -> None:
        with (self._folder / name).open("r+b") as file:
            size = file.seek(0, os.SEEK_END)
            if size < offset:
                message = f"{name} has {size} bytes, expected at least {offset}"
                raise OSError(errno.EIO, message)
            if size > offset:
                file.truncate(offset)
                file.seek(offset)
            file.write(data)
            file.flush()
            os.fsync(file.fileno())

    def _replace(self, name: str, data: bytes) -> None:
        new = self._folder / f"{name}.new"
        try:
            with new.open("wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            new.replace(self._folder / name)
        except OSError as error:
            # The partial file would take up space on a full disk.
            new.unlink(missing_ok=True)
            raise ContentUnchangedError(*error.args) from error
        self._sync_folder()

    def _remove(self, name: str) -> None:
        (self._folder / name).unlink(missing_ok=True)
        self._sync_folder()

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
