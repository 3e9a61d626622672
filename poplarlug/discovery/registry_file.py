"""Keeps a control replica's records on its disk, for the time after a restart."""

import asyncio
from typing import NamedTuple

import msgspec

from poplarlug.control.disk import Disk
from poplarlug.discovery.crash_marks import CrashMark, CrashMarks
from poplarlug.discovery.records import EntryRecord, ServiceUpstream
from poplarlug.discovery.registry import Records, Registry
from poplarlug.latest import Latest
from poplarlug.logs import ComponentLogger

FILE_NAME = "registry"
WRITE_SECONDS = 1.0
"""Shortest time between two writes that nobody waits for."""

_log = ComponentLogger(prefix="discovery")


class _Content(NamedTuple):
    entries: tuple[EntryRecord, ...]
    upstreams: tuple[ServiceUpstream, ...]
    marks: tuple[CrashMark, ...] = ()


class RegistryFile:
    """
    Write the records that are there or have left, and read them at the start.

    What is read counts as heard some time ago, so it is gone soon unless its VM
    or upstream gives a sign. After all replicas were lost together, requests can
    be sent before the upstreams announce themselves again, but to none that had left.
    The crash marks of requests that are held back are kept with them.
    """

    def __init__(self, *, disk: Disk, registry: Registry, marks: CrashMarks) -> None:
        self._disk = disk
        self._registry = registry
        self._marks = marks
        self._written: tuple[int, frozenset[CrashMark]] | None = None
        self._changed = asyncio.Event()
        self._wanted = asyncio.Event()
        self._durable_revision = 0
        self._begun = 0
        self._ended: Latest[int] = Latest(initial=0)
        registry.revision.subject.subscribe(lambda _: self._changed.set())
        marks.revision.subject.subscribe(lambda _: self._changed.set())

    def load(self) -> None:
        """Take the records from the disk; a damaged file is passed over."""
        data = self._disk.read(FILE_NAME)
        if data is None:
            return
        try:
            content = msgspec.msgpack.decode(data, type=_Content)
        except (ValueError, TypeError, RecursionError) as error:
            _log.warning("passed over a damaged file", error=str(error))
            return
        self._registry.recall(Records(content.entries, content.upstreams))
        for mark in content.marks:
            self._marks.add(mark)
        _log.info(
            "read records from disk",
            entries=len(content.entries),
            upstreams=len(content.upstreams),
            marks=len(content.marks),
        )

    async def flush(self) -> bool:
        """Try to write what is known now; return whether it is on the disk."""
        revision = self._registry.revision.value
        if self._durable_revision < revision:
            next_write = self._begun + 1
            self._wanted.set()
            self._changed.set()
            await self._ended.wait_for(
                lambda ended: self._durable_revision >= revision or ended >= next_write
            )
        return self._durable_revision >= revision

    async def run(self) -> None:
        """Write the records after changes until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            self._wanted.clear()
            self._begun += 1
            revision = self._registry.revision.value
            if await self._write(revision):
                self._durable_revision = revision
            self._ended.set(self._begun)
            try:
                async with asyncio.timeout(WRITE_SECONDS):
                    await self._wanted.wait()
            except TimeoutError:
                # Nobody waits for the next write.
                pass

    async def _write(self, revision: int) -> bool:
        marks = self._marks.lasting()
        ageless = frozenset(mark._replace(age_seconds=0.0) for mark in marks)
        state = revision, ageless
        if state == self._written:
            return True
        kept = self._registry.lasting()._replace(marks=tuple(marks))
        try:
            await self._disk.replace(FILE_NAME, msgspec.msgpack.encode(kept))
        except OSError as error:
            # Other replicas have their own; this one goes on without.
            _log.warning("can't write records", error=str(error))
            return False
        self._written = state
        return True
