"""Queue of the records that a control replica has yet to send to another one."""

import asyncio
from collections.abc import Iterable

from poplarlug.discovery.crash_marks import MAX_MARKS, CrashMark
from poplarlug.discovery.records import EntryRecord, ServiceUpstream
from poplarlug.discovery.registry import Record, Records
from poplarlug.discovery.software_versions import (
    MAX_STREAMS,
    StreamKey,
    StreamStarts,
    group_by_version,
)
from poplarlug.types import Seconds, SoftwareVersion


def departures(records: Records) -> Records:
    """Return the upstreams among ``records`` that are leaving, gone or lost."""
    leaving = tuple(one for one in records.upstreams if one.phase != "serving")
    return Records(upstreams=leaving)


class Outbox:
    """Records waiting to be sent to one replica, with only the newest for each key."""

    def __init__(self) -> None:
        self._records_by_key: dict[str, Record] = {}
        self._marks_by_key: dict[str, CrashMark] = {}
        self._versions_by_stream: dict[StreamKey, SoftwareVersion] = {}
        self._waiting: list[asyncio.Future[bool]] = []
        self._sent: list[asyncio.Future[bool]] = []
        self._has_changes = asyncio.Event()
        self._delivered = asyncio.Event()

    def add(self, records: Records) -> None:
        """Queue records and wake the sender; newer ones replace those queued before."""
        for record in records.all:
            self._records_by_key[record.key] = record
        for mark in records.marks:
            self._marks_by_key[mark.key] = mark
        while len(self._marks_by_key) > MAX_MARKS:
            del self._marks_by_key[next(iter(self._marks_by_key))]
        for version, keys in records.streams:
            self._versions_by_stream.update(dict.fromkeys(keys, version))
        self._drop_oldest_streams()
        self._delivered.clear()
        self._has_changes.set()

    def add_streams(self, starts: Iterable[StreamStarts]) -> "asyncio.Future[bool]":
        """
        Queue records of streams.

        Returns
        -------
        asyncio.Future
            Done once the replica has them; whether they are on its disk.
        """
        delivered = asyncio.get_running_loop().create_future()
        self._waiting.append(delivered)
        self.add(Records(streams=tuple(starts)))
        return delivered

    def notify(self) -> None:
        """Wake the sender for changes that aren't queued here, such as limits."""
        self._has_changes.set()

    def take(self) -> Records:
        """Remove all records from the queue and return them."""
        held, self._records_by_key = self._records_by_key, {}
        marks, self._marks_by_key = self._marks_by_key, {}
        streams, self._versions_by_stream = self._versions_by_stream, {}
        self._sent += self._waiting
        self._waiting = []
        self._has_changes.clear()
        upstreams = tuple(r for r in held.values() if isinstance(r, ServiceUpstream))
        entries = tuple(r for r in held.values() if isinstance(r, EntryRecord))
        return Records(
            entries, upstreams, tuple(marks.values()), group_by_version(streams)
        )

    def requeue(self, records: Records) -> None:
        """Queue records again that weren't delivered, unless newer ones are queued."""
        for record in records.all:
            self._records_by_key.setdefault(record.key, record)
        for mark in records.marks:
            self._marks_by_key.setdefault(mark.key, mark)
        queued = self._versions_by_stream
        self._versions_by_stream = {
            key: version for version, keys in records.streams for key in keys
        }
        self._versions_by_stream.update(queued)
        self._drop_oldest_streams()
        self._waiting = [one for one in (*self._sent, *self._waiting) if not one.done()]
        self._sent = []

    def _drop_oldest_streams(self) -> None:
        while len(self._versions_by_stream) > MAX_STREAMS:
            del self._versions_by_stream[next(iter(self._versions_by_stream))]

    def confirm(self, *, has_durable_streams: bool = True) -> None:
        """
        Record that the replica accepted everything taken from the queue.

        Parameters
        ----------
        has_durable_streams : bool
            Whether the records of streams are on its disk.
        """
        for delivered in self._sent:
            if not delivered.done():
                delivered.set_result(has_durable_streams)
        self._sent = []
        if not (self._records_by_key or self._marks_by_key or self._versions_by_stream):
            self._delivered.set()

    async def wait_delivered(self) -> bool:
        """Return ``True`` once the replica has all records and synced the departures."""
        return await self._delivered.wait()

    async def wait_for_changes(self, timeout_seconds: Seconds) -> None:
        """Return once there is something to send, or after ``timeout_seconds``."""
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._has_changes.wait()
        except TimeoutError:
            pass
