"""Stores a control replica's records on its disk to restore them after a restart."""

import asyncio
from collections.abc import Iterable
from typing import NamedTuple, TypeVar

import msgspec

from poplarlug.control.disk import Disk
from poplarlug.discovery.crash_marks import CrashMark, CrashMarks
from poplarlug.discovery.records import EntryRecord, ServiceUpstream
from poplarlug.discovery.registry import Records, Registry
from poplarlug.discovery.software_versions import SoftwareVersions, VersionSpan
from poplarlug.latest import Latest
from poplarlug.logs import ComponentLogger

FILE_NAME = "registry"
MAX_REASON_CHARACTERS = 300
WRITE_SECONDS = 1.0
"""Minimum interval between writes that no flush waits for; a failed one is repeated."""

R = TypeVar("R")

_log = ComponentLogger(prefix="discovery")


class _Content(NamedTuple):
    entries: tuple[EntryRecord, ...]
    upstreams: tuple[ServiceUpstream, ...]
    marks: tuple[CrashMark, ...] = ()
    versions: tuple[VersionSpan, ...] = ()


class _EncodedContent(NamedTuple):
    """The content with each record still encoded, as one may be unreadable."""

    entries: tuple[msgspec.Raw, ...]
    upstreams: tuple[msgspec.Raw, ...]
    marks: tuple[msgspec.Raw, ...] = ()
    versions: tuple[msgspec.Raw, ...] = ()


class RegistryFile:
    """
    Write the present records and the departed upstreams; load them at the start.

    Loaded records are recalled: they expire soon unless their VM or upstream is heard
    from. When all replicas were lost together, requests can thus be sent before the
    upstreams announce themselves again, but to none that had left. The crash marks of
    suspects and the software versions of services are stored with the records.
    """

    def __init__(
        self,
        *,
        disk: Disk,
        registry: Registry,
        marks: CrashMarks,
        versions: SoftwareVersions,
    ) -> None:
        self._disk = disk
        self._registry = registry
        self._marks = marks
        self._versions = versions
        self._written: tuple[int, frozenset[CrashMark]] | None = None
        self._changed = asyncio.Event()
        self._flush_requested = asyncio.Event()
        self._durable_revision = 0
        self._is_failing = False
        self._writes_started = 0
        self._writes_finished: Latest[int] = Latest(initial=0)
        registry.revision.subject.subscribe(lambda _: self._changed.set())
        marks.revision.subject.subscribe(lambda _: self._changed.set())

    def load(self) -> bool:
        """
        Load the records from the disk, ignoring a damaged file or record.

        Returns
        -------
        bool
            Whether there was a file, even if damaged.
        """
        data = self._disk.read(FILE_NAME)
        if data is None:
            return False
        try:
            encoded = msgspec.msgpack.decode(data, type=_EncodedContent)
        except (ValueError, TypeError, RecursionError) as error:
            _log.warning("ignoring a damaged registry file", error=str(error))
            return True
        content = _Content(
            _decode_each(encoded.entries, EntryRecord),
            _decode_each(encoded.upstreams, ServiceUpstream),
            _decode_each(encoded.marks, CrashMark),
            _decode_each(encoded.versions, VersionSpan),
        )
        self._registry.recall(Records(content.entries, content.upstreams))
        for mark in content.marks:
            self._marks.add(mark)
        for span in content.versions:
            # How long this replica was down isn't known.
            self._versions.add(span._replace(absent_seconds=0.0))
        _log.info(
            "read records from disk",
            entries=len(content.entries),
            upstreams=len(content.upstreams),
            marks=len(content.marks),
        )
        return True

    async def flush(self) -> bool:
        """Try to write the current records; return whether they are on the disk."""
        revision = self._registry.revision.value
        if self._durable_revision < revision:
            next_write = self._writes_started + 1
            self._flush_requested.set()
            self._changed.set()
            await self._writes_finished.wait_for(
                lambda finished: (
                    self._durable_revision >= revision or finished >= next_write
                )
            )
        return self._durable_revision >= revision

    async def run(self) -> None:
        """Write the records after each change until cancelled."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            self._flush_requested.clear()
            self._writes_started += 1
            revision = self._registry.revision.value
            if await self._write(revision):
                self._durable_revision = revision
            else:
                self._changed.set()
            self._writes_finished.set(self._writes_started)
            try:
                async with asyncio.timeout(WRITE_SECONDS):
                    await self._flush_requested.wait()
            except TimeoutError:
                # No flush waits for the next write.
                pass

    async def _write(self, revision: int) -> bool:
        marks = self._marks.persistent()
        ageless = frozenset(mark._replace(age_seconds=0.0) for mark in marks)
        state = revision, ageless
        if state == self._written:
            return True
        records = self._registry.persistent()
        content = _Content(
            records.entries, records.upstreams, tuple(marks), self._versions.spans()
        )
        try:
            await self._disk.replace(FILE_NAME, msgspec.msgpack.encode(content))
        except OSError as error:
            # The other replicas have copies, so this one continues without its own.
            if not self._is_failing:
                _log.warning("can't write the registry file", error=str(error))
            self._is_failing = True
            return False
        self._is_failing = False
        self._written = state
        return True


def _decode_each(encoded: Iterable[msgspec.Raw], kind: type[R]) -> tuple[R, ...]:
    """Return the readable ones of the encoded records."""
    records = []
    for data in encoded:
        try:
            records.append(msgspec.msgpack.decode(data, type=kind))
        except (ValueError, TypeError, RecursionError) as error:
            reason = str(error)[:MAX_REASON_CHARACTERS]
            _log.warning("ignored a record on disk", kind=kind.__name__, error=reason)
    return tuple(records)
