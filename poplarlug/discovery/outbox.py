"""What a control replica has to tell another one."""

import asyncio

from poplarlug.discovery.crash_marks import MAX_MARKS, CrashMark
from poplarlug.discovery.records import EntryRecord, ServiceUpstream
from poplarlug.discovery.registry import Record, Records
from poplarlug.types import Seconds


def departures(records: Records) -> Records:
    """Return the upstreams among ``records`` that leave or have left."""
    leaving = tuple(one for one in records.upstreams if one.phase != "serving")
    return Records(upstreams=leaving)


class Outbox:
    """Records on their way to one replica; the newest of each is sent."""

    def __init__(self) -> None:
        self._records_by_key: dict[str, Record] = {}
        self._marks_by_key: dict[str, CrashMark] = {}
        self._has_news = asyncio.Event()
        self._delivered = asyncio.Event()

    def add(self, records: Records) -> None:
        """Let the newest of each record be told at once."""
        for record in records.all:
            self._records_by_key[record.key] = record
        for mark in records.marks:
            self._marks_by_key[mark.key] = mark
        while len(self._marks_by_key) > MAX_MARKS:
            del self._marks_by_key[next(iter(self._marks_by_key))]
        self._delivered.clear()
        self._has_news.set()

    def notify(self) -> None:
        """Let what is not kept here be told at once."""
        self._has_news.set()

    def take(self) -> Records:
        """Return what waits; it waits no longer."""
        held, self._records_by_key = self._records_by_key, {}
        marks, self._marks_by_key = self._marks_by_key, {}
        self._has_news.clear()
        upstreams = tuple(r for r in held.values() if isinstance(r, ServiceUpstream))
        entries = tuple(r for r in held.values() if isinstance(r, EntryRecord))
        return Records(entries, upstreams, tuple(marks.values()))

    def requeue(self, records: Records) -> None:
        """Keep what was not delivered, unless something newer waits."""
        for record in records.all:
            self._records_by_key.setdefault(record.key, record)
        for mark in records.marks:
            self._marks_by_key.setdefault(mark.key, mark)

    def confirm(self) -> None:
        """Note that the replica took all that was taken from here."""
        if not self._records_by_key and not self._marks_by_key:
            self._delivered.set()

    async def wait_delivered(self) -> bool:
        """Return ``True`` once its replica has all, farewells on its disk."""
        return await self._delivered.wait()

    async def wait_for_news(self, timeout_seconds: Seconds) -> None:
        """Return once something was added, or after that time."""
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._has_news.wait()
        except TimeoutError:
            pass
