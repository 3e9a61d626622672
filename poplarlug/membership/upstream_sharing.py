"""Replicates upstream records in the zone, immediately or in batches."""

import asyncio
from collections.abc import Coroutine
from typing import Any, NamedTuple

from returns.result import Success

from poplarlug.logs import ComponentLogger
from poplarlug.membership.members import MemberTable
from poplarlug.membership.messages import Acknowledgement
from poplarlug.membership.upstreams import (
    LEASE_SECONDS,
    MILLISECONDS_PER_SECOND,
    Announcement,
    Renewal,
    UpstreamRecord,
    UpstreamTable,
    incarnation_tag,
)
from poplarlug.transport import Transport
from poplarlug.types import Seconds, UpstreamId, VmName

ACKNOWLEDGE_TIMEOUT_SECONDS = 0.5
RETRY_INTERVAL_SECONDS = 0.2
MAX_RENEWALS_PER_BATCH = 500
MAX_QUEUED_RENEWALS = 4 * MAX_RENEWALS_PER_BATCH
MAX_LEAVING_TASKS = 1000

RECORD_TOPIC = "membership.record"

_log = ComponentLogger(prefix="membership")


class AnnounceOutcome(NamedTuple):
    """
    Result of an announcement.

    Parameters
    ----------
    taken : bool
        Whether this entry applied it, or had already recorded that the upstream left.
    shared : bool
        Whether all entries of the zone acknowledged that the upstream is leaving.
    """

    taken: bool
    shared: bool


class _QueuedRenewal(NamedTuple):
    announcement: Announcement
    announced_at: Seconds


class UpstreamSharing:
    """
    Replicate upstreams' announcements to the other entries of the zone.

    A new or changed upstream is sent immediately. ``leaving`` is retried until each
    entry acknowledged it or the upstream's lease must have expired there. Renewals are
    queued for the next batch.
    """

    def __init__(
        self,
        *,
        upstreams: UpstreamTable,
        members: MemberTable,
        transport: Transport,
    ) -> None:
        self._upstreams = upstreams
        self._members = members
        self._transport = transport
        self._queued_renewals_by_key: dict[tuple[UpstreamId, int], _QueuedRenewal] = {}
        self._leaving_tasks: set[asyncio.Task[bool]] = set()

    async def announce(self, announcement: Announcement) -> AnnounceOutcome:
        """Apply an announcement received from the upstream itself and share it."""
        current = self._upstreams.get(announcement.id)
        taken = self._upstreams.apply(announcement)
        if announcement.state == "leaving":
            if not self._upstreams.has_left(announcement):
                return AnnounceOutcome(False, False)
            return AnnounceOutcome(True, await self._share_leaving(announcement))
        if not taken:
            return AnnounceOutcome(False, False)
        if current is not None and current.announcement.differs_only_in_load(
            announcement
        ):
            self._queue_renewal(announcement)
        else:
            self._notify_all(UpstreamRecord(announcement, 0.0))
        return AnnounceOutcome(True, False)

    def pop_renewals(self) -> tuple[Renewal, ...]:
        """Remove and return the renewals for the next batch."""
        now = asyncio.get_running_loop().time()
        keys = list(self._queued_renewals_by_key)[:MAX_RENEWALS_PER_BATCH]
        queued = [self._queued_renewals_by_key.pop(key) for key in keys]
        return tuple(_renewal(r.announcement, now - r.announced_at) for r in queued)

    def clear_renewals(self) -> None:
        """Drop the queued renewals, as after a pause of this process."""
        self._queued_renewals_by_key.clear()

    def stop(self) -> None:
        for task in self._leaving_tasks:
            task.cancel()

    def _queue_renewal(self, announcement: Announcement) -> None:
        # Each batch of cache events is shared; of renewals with the same batch, only the
        # latest.
        key = (announcement.id, announcement.cache_sequence)
        self._queued_renewals_by_key.pop(key, None)
        now = asyncio.get_running_loop().time()
        self._queued_renewals_by_key[key] = _QueuedRenewal(announcement, now)
        while len(self._queued_renewals_by_key) > MAX_QUEUED_RENEWALS:
            del self._queued_renewals_by_key[next(iter(self._queued_renewals_by_key))]

    def _notify_all(self, record: UpstreamRecord) -> None:
        for peer in self._members.reachable_others():
            self._transport.notify(peer=peer, topic=RECORD_TOPIC, message=record)

    async def _share_leaving(self, announcement: Announcement) -> bool:
        _log.info("upstream leaves", upstream=announcement.id)
        tasks = [
            self._spawn(self._send_until_acknowledged(peer, announcement))
            for peer in self._members.others()
            if len(self._leaving_tasks) < MAX_LEAVING_TASKS
        ]
        if len(tasks) < len(self._members.others()):
            return False
        if not tasks:
            return True
        done, _ = await asyncio.wait(tasks, timeout=ACKNOWLEDGE_TIMEOUT_SECONDS)
        return len(done) == len(tasks) and all(task.result() for task in done)

    async def _send_until_acknowledged(
        self, peer: VmName, announcement: Announcement
    ) -> bool:
        loop = asyncio.get_running_loop()
        started = loop.time()
        while loop.time() - started < LEASE_SECONDS:
            if await self._send_record(peer, announcement, loop.time() - started):
                return True
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)
        return False

    async def _send_record(
        self, peer: VmName, announcement: Announcement, age: Seconds
    ) -> bool:
        reply = await self._transport.request(
            peer=peer,
            topic=RECORD_TOPIC,
            message=UpstreamRecord(announcement, age),
            reply_type=Acknowledgement,
            timeout_seconds=ACKNOWLEDGE_TIMEOUT_SECONDS,
        )
        return isinstance(reply, Success) and reply.unwrap().taken

    def _spawn(self, coroutine: Coroutine[Any, Any, bool]) -> "asyncio.Task[bool]":
        task = asyncio.ensure_future(coroutine)
        self._leaving_tasks.add(task)
        task.add_done_callback(self._leaving_tasks.discard)
        return task


def _renewal(announcement: Announcement, age: Seconds) -> Renewal:
    return Renewal(
        announcement.id,
        incarnation_tag(announcement.incarnation),
        announcement.sequence,
        announcement.running,
        announcement.queued,
        round(age * MILLISECONDS_PER_SECOND),
        announcement.cache_sequence,
        announcement.cache_stored,
        announcement.cache_removed,
    )
