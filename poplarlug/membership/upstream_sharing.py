"""Shares upstreams inside the zone: at once, in batches, and by repair."""

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

ACKNOWLEDGE_SECONDS = 0.5
RETRY_SECONDS = 0.2
MAX_RENEWALS = 500
MAX_WAITING_RENEWALS = 4 * MAX_RENEWALS
MAX_RETRYING = 1000

RECORD_TOPIC = "membership.record"

_log = ComponentLogger(prefix="membership")


class AnnounceOutcome(NamedTuple):
    """
    What became of an announcement.

    Parameters
    ----------
    taken : bool
        Whether this entry holds it now or something newer of that upstream.
    shared : bool
        Whether all entries of the zone acknowledged that the upstream leaves.
    """

    taken: bool
    shared: bool


class _Renewed(NamedTuple):
    announcement: Announcement
    announced: Seconds


class UpstreamSharing:
    """
    Pass upstreams' announcements on to the other entries of the zone.

    A new or changed upstream is told at once; ``leaving`` is repeated until
    each entry acknowledged it or its lease must have ended there; renewals wait
    for the next batch.
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
        self._renewed_by_key: dict[tuple[UpstreamId, int], _Renewed] = {}
        self._retrying: set[asyncio.Task[bool]] = set()

    async def announce(self, announcement: Announcement) -> AnnounceOutcome:
        """Take in an upstream's own announcement and share it."""
        held = self._upstreams.get(announcement.id)
        taken = self._upstreams.take(announcement)
        if announcement.state == "leaving":
            if not self._upstreams.has_left(announcement):
                return AnnounceOutcome(False, False)
            return AnnounceOutcome(True, await self._share_leaving(announcement))
        if not taken:
            return AnnounceOutcome(False, False)
        if held is not None and held.announcement.differs_only_in_load(announcement):
            self._keep_renewal(announcement)
        else:
            self._notify_all(UpstreamRecord(announcement, 0.0))
        return AnnounceOutcome(True, False)

    def take_renewals(self) -> tuple[Renewal, ...]:
        """Return the renewals for the next batch and forget them."""
        now = asyncio.get_running_loop().time()
        keys = list(self._renewed_by_key)[:MAX_RENEWALS]
        renewed = [self._renewed_by_key.pop(key) for key in keys]
        return tuple(_renewal(r.announcement, now - r.announced) for r in renewed)

    def forget_renewals(self) -> None:
        """Drop renewals that wait for a batch, as after a pause."""
        self._renewed_by_key.clear()

    def stop(self) -> None:
        for task in self._retrying:
            task.cancel()

    def _keep_renewal(self, announcement: Announcement) -> None:
        # Each batch of cache events is passed on; of equal ones, the latest.
        key = (announcement.id, announcement.cache_sequence)
        self._renewed_by_key.pop(key, None)
        now = asyncio.get_running_loop().time()
        self._renewed_by_key[key] = _Renewed(announcement, now)
        while len(self._renewed_by_key) > MAX_WAITING_RENEWALS:
            del self._renewed_by_key[next(iter(self._renewed_by_key))]

    def _notify_all(self, record: UpstreamRecord) -> None:
        for peer in self._members.reachable_others():
            self._transport.notify(peer=peer, topic=RECORD_TOPIC, message=record)

    async def _share_leaving(self, announcement: Announcement) -> bool:
        _log.info("upstream leaves", upstream=announcement.id)
        tasks = [
            self._spawn(self._repeat(peer, announcement))
            for peer in self._members.others()
            if len(self._retrying) < MAX_RETRYING
        ]
        if len(tasks) < len(self._members.others()):
            return False
        if not tasks:
            return True
        done, _ = await asyncio.wait(tasks, timeout=ACKNOWLEDGE_SECONDS)
        return len(done) == len(tasks) and all(task.result() for task in done)

    async def _repeat(self, peer: VmName, announcement: Announcement) -> bool:
        loop = asyncio.get_running_loop()
        begun = loop.time()
        while loop.time() - begun < LEASE_SECONDS:
            if await self._tell(peer, announcement, loop.time() - begun):
                return True
            await asyncio.sleep(RETRY_SECONDS)
        return False

    async def _tell(
        self, peer: VmName, announcement: Announcement, age: Seconds
    ) -> bool:
        reply = await self._transport.request(
            peer=peer,
            topic=RECORD_TOPIC,
            message=UpstreamRecord(announcement, age),
            reply_type=Acknowledgement,
            timeout_seconds=ACKNOWLEDGE_SECONDS,
        )
        return isinstance(reply, Success) and reply.unwrap().taken

    def _spawn(self, coroutine: Coroutine[Any, Any, bool]) -> "asyncio.Task[bool]":
        task = asyncio.ensure_future(coroutine)
        self._retrying.add(task)
        task.add_done_callback(self._retrying.discard)
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
