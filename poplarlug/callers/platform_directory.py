"""Keeps the platform's own directory of entries up to date."""

import asyncio
import json
from abc import ABC, abstractmethod
from collections.abc import Sequence
from pathlib import Path

from poplarlug.callers.directory import Directory, DirectoryEntry
from poplarlug.logs import ComponentLogger
from poplarlug.membership.rendezvous import rank_by_rendezvous
from poplarlug.membership.sharing import Membership
from poplarlug.types import ZoneName

DIRECTORY_CHECK_SECONDS = 1.0
DIRECTORY_REFRESH_SECONDS = 30.0

_log = ComponentLogger(prefix="directory")


class PlatformDirectory(ABC):
    """The platform directory, with one partition for each availability zone."""

    @abstractmethod
    async def replace(self, zone: ZoneName, entries: Sequence[DirectoryEntry]) -> None:
        """
        Replace the partition of ``zone`` with ``entries``.

        Raises
        ------
        OSError
            When the directory can't be reached; the write is retried.
        """


class FileDirectory(PlatformDirectory):
    """
    A local substitute that stores one JSON file per zone.

    Parameters
    ----------
    folder : pathlib.Path
        Folder for the files.
    """

    def __init__(self, *, folder: Path) -> None:
        self._folder = folder

    async def replace(self, zone: ZoneName, entries: Sequence[DirectoryEntry]) -> None:
        self._folder.mkdir(parents=True, exist_ok=True)
        temporary_file = self._folder / f".{zone}.json"
        temporary_file.write_text(json.dumps(entries))
        temporary_file.replace(self._folder / f"{zone}.json")


class DirectoryWriter:
    """
    Rewrite the partition of this entry's zone whenever it changes.

    Only one entry of the zone writes, chosen by rendezvous hashing. It also rewrites
    the partition periodically, in case another entry has overwritten it.
    """

    def __init__(
        self,
        *,
        platform_directory: PlatformDirectory,
        directory: Directory,
        membership: Membership,
    ) -> None:
        self._platform_directory = platform_directory
        self._directory = directory
        self._membership = membership
        self._written: list[str] | None = None

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        last_written = -DIRECTORY_REFRESH_SECONDS
        while True:
            await asyncio.sleep(DIRECTORY_CHECK_SECONDS)
            if not self._is_writer():
                self._written = None
                continue
            names = sorted(e["name"] for e in self._directory.own_zone_entries())
            if (
                names != self._written
                or loop.time() - last_written > DIRECTORY_REFRESH_SECONDS
            ):
                last_written = loop.time()
                await self._write(names)

    async def _write(self, names: list[str]) -> None:
        entries = self._directory.own_zone_entries()
        try:
            await self._platform_directory.replace(self._membership.own.zone, entries)
        except OSError as error:
            _log.warning("failed to write the platform directory", error=str(error))
            return
        self._written = names

    def _is_writer(self) -> bool:
        if not self._membership.is_trusted():
            return False
        own = self._membership.own
        alive = self._membership.members.alive() or [own.name]
        return rank_by_rendezvous(f"directory\0{own.zone}", alive)[0] == own.name
