"""Keeps an entry's view of the deployment up to date by polling a control replica."""

import asyncio
from collections.abc import Callable, Iterable
from random import Random
from typing import NamedTuple, TypeVar

from returns.result import Failure, Success

from poplarlug.discovery.crash_marks import CrashMarks
from poplarlug.discovery.deployment import Deployment
from poplarlug.discovery.messages import (
    LIMITS_TOPIC,
    MARKS_TOPIC,
    POLL_TOPIC,
    STREAM_LOOKUP_TOPIC,
    STREAMS_TOPIC,
    LimitsReceived,
    LimitsReport,
    MarksReceived,
    MarksReport,
    Poll,
    PollReply,
    ServiceDemand,
    StreamFound,
    StreamLookup,
    StreamsReceived,
    StreamsReport,
    WaitingCount,
)
from poplarlug.discovery.named_limits import NamedLimits
from poplarlug.discovery.prompt_parts import PartExchange, PartNews
from poplarlug.discovery.records import EntryRecord, UpstreamLoad
from poplarlug.discovery.software_versions import StreamVersions
from poplarlug.logs import ComponentLogger
from poplarlug.teams import KeyFreshness
from poplarlug.transport import Transport, TransportErrorKind
from poplarlug.types import Address, Seconds, ServiceName, ZoneName

HOLD_SECONDS = 0.25
"""Longest wait of a poll to a replica in the own zone; it bounds the age of the other
entries' loads."""

LOADS_SECONDS = 0.2
"""Replies within this time after other entries' loads may leave them out; shorter than the
longest wait, so that it never lasts until the one after."""

OTHER_ZONE_HOLD_SECONDS = 1.0
"""Longest wait of a poll to another zone, where traffic is charged."""

REPLY_TIMEOUT_SECONDS = 1.0
"""Added to the hold time; a replica that takes longer to reply counts as lost."""

LOOKUP_TIMEOUT_SECONDS = 0.5
"""Limits the wait of a caller who resumes a stream; a few round trips between regions,
one of which the replica makes."""

RETRY_SECONDS = 0.1
CONNECT_TIMEOUT_SECONDS = 0.4
"""How long connecting to a replica may take; a few round trips between regions."""

CURRENT_REPLICA_WAIT_SECONDS = 0.3
"""How long an entry without a replica waits for one connected to the leader after a
disconnected one has answered; the most distant replica takes about that much longer."""

CONNECT_RETRY_SECONDS = 0.05
NEARER_REPLICA_CHECK_SECONDS = 5.0
"""Interval between searches for a replica in the own zone, or at least in the own region,
while using another one."""

MIN_SEARCH_PAUSE_SECONDS = 0.1
MAX_SEARCH_PAUSE_SECONDS = 1.0
"""How long an entry stays with its replica before it asks all others again, while none is
connected to the leader; doubled with each vain search, as a reply to an entry that
follows another replica holds all records."""

MIN_POLL_INTERVAL_SECONDS = 0.05
"""Minimum interval between polls, so that a burst of changes costs one poll."""

R = TypeVar("R")

_log = ComponentLogger(prefix="discovery")


class OwnLoads(NamedTuple):
    """Running and waiting requests of this entry, and the demand at it."""

    loads: tuple[UpstreamLoad, ...] = ()
    waiting: tuple[WaitingCount, ...] = ()
    demands: tuple[ServiceDemand, ...] = ()


class _RequestTime(NamedTuple):
    """When a poll was sent, by the event loop's clock and by the VM's uptime."""

    loop_seconds: Seconds
    uptime_seconds: Seconds


class Subscriber:
    """
    Poll a control replica for changes, and report the entry's own state and loads.

    A replica in the own zone is preferred, then one in the own region. Another one is used
    if it doesn't answer or isn't connected to the leader of its group.

    Parameters
    ----------
    zone : ZoneName
        The own zone.
    record : callable
        Returns this entry's current record.
    own_loads : callable
        Returns the running and waiting requests of this entry.
    marks : CrashMarks
        Crash marks of this entry, synchronized with those of all other VMs.
    limits : NamedLimits
        Rate limits named by upstreams, synchronized likewise.
    streams : StreamVersions
        Streams that upstreams began for this entry.
    freshness : KeyFreshness, optional
        Learns how old the routes and teams are that this entry knows.
    parts : PartExchange, optional
        Prompt parts that this entry and others sent to engines of the region.
    """

    def __init__(
        self,
        *,
        zone: ZoneName,
        deployment: Deployment,
        marks: CrashMarks,
        limits: NamedLimits,
        streams: StreamVersions,
        transport: Transport,
        seeds: Iterable[Address],
        record: Callable[[], EntryRecord],
        own_loads: Callable[[], OwnLoads],
        rng: Random,
        clock: Callable[[], Seconds],
        freshness: KeyFreshness | None = None,
        parts: PartExchange | None = None,
    ) -> None:
        self._parts = parts
        self._parts_known = 0
        self._freshness = freshness or KeyFreshness(bound_seconds=None, uptime=clock)
        self._zone = zone
        self._deployment = deployment
        self._marks = marks
        self._marks_known = 0
        self._limits = limits
        self._limits_known = 0
        self._streams = streams
        self._transport = transport
        self._seeds = tuple(seeds)
        self._known_replicas: tuple[Address, ...] = ()
        self._record = record
        self._own_loads = own_loads
        self._rng = rng
        self._clock = clock
        self._replica: Address | None = None
        self._registry_id = ""
        self._revision = 0
        self._lacks_whole = True
        self._streams_resent_to = ""
        self._services_resent: frozenset[ServiceName] = frozenset()
        self._zones_by_replica: dict[Address, ZoneName] = {}
        self._nearer_checked_at = float("-inf")
        self._searched_at = float("-inf")
        self._search_pause = 0.0
        self._loads_received_at = float("-inf")
        self._report_requested = asyncio.Event()
        self._probes: set[asyncio.Future[PollReply | None]] = set()

    def replace_seeds(self, seeds: Iterable[Address]) -> None:
        """Replace the seeds after a change of the settings."""
        self._seeds = tuple(seeds)

    def nearest_replicas(self) -> list[Address]:
        """Return the replica that this entry follows, then others by distance."""
        known = list(dict.fromkeys([*self._known_replicas, *self._seeds]))
        known.sort(
            key=lambda replica: (
                replica != self._replica,
                self._zones_by_replica.get(replica) != self._zone,
            )
        )
        return known

    def report_now(self) -> None:
        """Send an additional poll at once, because this entry's state changed."""
        self._report_requested.set()

    async def run(self) -> None:
        """Poll until cancelled."""
        reporting = [
            asyncio.ensure_future(self._report_changes()),
            asyncio.ensure_future(self._report_marks()),
            asyncio.ensure_future(self._report_limits()),
            asyncio.ensure_future(self._report_streams()),
        ]
        try:
            while True:
                started = self._clock()
                if not await self._poll_any():
                    await asyncio.sleep(RETRY_SECONDS * (1 + self._rng.random()))
                rest = MIN_POLL_INTERVAL_SECONDS - (self._clock() - started)
                if rest > 0:
                    await asyncio.sleep(rest)
        finally:
            for task in reporting:
                task.cancel()
            for probe in self._probes:
                probe.cancel()

    async def _report_marks(self) -> None:
        """Report this entry's crash marks to the followed replica until cancelled."""
        while True:
            replica = await self._wait_for_report(self._marks.has_pending)
            pending = self._marks.take_pending()
            report = MarksReport(pending)
            received = await self._send_report(
                replica, MARKS_TOPIC, report, MarksReceived
            )
            if received is None:
                self._marks.requeue(pending)
                await asyncio.sleep(RETRY_SECONDS)

    async def _report_limits(self) -> None:
        """Report limits named to this entry to the followed replica until cancelled."""
        while True:
            replica = await self._wait_for_report(self._limits.has_pending)
            pending = self._limits.take_pending()
            report = LimitsReport(pending)
            received = await self._send_report(
                replica, LIMITS_TOPIC, report, LimitsReceived
            )
            if received is None:
                self._limits.requeue(pending)
                await asyncio.sleep(RETRY_SECONDS)

    async def _report_streams(self) -> None:
        """Report which versions began streams to the followed replica until cancelled."""
        while True:
            replica = await self._wait_for_report(self._streams.has_pending)
            pending = self._streams.take_pending()
            report = StreamsReport(pending)
            received = await self._send_report(
                replica, STREAMS_TOPIC, report, StreamsReceived
            )
            if received is not None and received.is_recorded:
                self._streams.confirm(pending)
            else:
                await asyncio.sleep(RETRY_SECONDS)

    async def look_up_stream(self, lookup: StreamLookup) -> StreamFound | None:
        """Ask the followed replica who began a stream; ``None`` without an answer."""
        if self._replica is None:
            return None
        reply = await self._transport.request(
            peer=self._replica,
            topic=STREAM_LOOKUP_TOPIC,
            message=lookup,
            reply_type=StreamFound,
            timeout_seconds=LOOKUP_TIMEOUT_SECONDS,
        )
        if isinstance(reply, Failure):
            _log.warning(
                "failed to look up a stream",
                replica=self._replica,
                reason=reply.failure().message,
            )
            return None
        return reply.unwrap()

    async def _wait_for_report(self, has_pending: asyncio.Event) -> Address:
        """Return the followed replica once there is one and a report for it."""
        while True:
            await has_pending.wait()
            if self._replica is not None:
                return self._replica
            await asyncio.sleep(RETRY_SECONDS)

    async def _send_report(
        self, replica: Address, topic: str, report: object, reply_type: type[R]
    ) -> R | None:
        """Send a report to a replica; return its acknowledgement, if there is one."""
        reply = await self._transport.request(
            peer=replica,
            topic=topic,
            message=report,
            reply_type=reply_type,
            timeout_seconds=REPLY_TIMEOUT_SECONDS,
        )
        if isinstance(reply, Failure):
            reason = reply.failure().message
            _log.warning(
                "failed to send a report", topic=topic, replica=replica, reason=reason
            )
            return None
        return reply.unwrap()

    async def _report_changes(self) -> None:
        while True:
            await self._report_requested.wait()
            self._report_requested.clear()
            if self._replica is not None:
                await self._request(self._replica, self._make_poll(True, 0.0), 0.0)

    async def _poll_any(self) -> bool:
        if self._replica is None:
            return await self._poll_all()
        return await self._poll_in_turn()

    async def _poll_all(self) -> bool:
        """
        Probe all replicas concurrently, as nothing is served before the first reply.

        Load pattern: all VMs restart after a power failure while callers wait. Records
        of thousands of upstreams come from one replica only, or all would be busy with
        replies that are dropped, and answer too late.
        """
        requested_at = self._request_time()
        polls = {
            asyncio.ensure_future(self._probe(replica)): replica
            for replica in self._candidates()
        }
        stale: tuple[Address, PollReply] | None = None
        timeout: Seconds | None = None
        pending = set(polls)
        try:
            while pending:
                done, pending = await asyncio.wait(
                    pending, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
                )
                if not done:
                    break
                for poll in done:
                    reply = poll.result()
                    if reply is None:
                        continue
                    if reply.current:
                        found = polls[poll]
                        return await self._follow_found(found, reply, requested_at)
                    if stale is None or _is_newer(reply, stale[1]):
                        stale = polls[poll], reply
                    timeout = CURRENT_REPLICA_WAIT_SECONDS
        finally:
            # Later replies still tell the replicas' zones.
            for poll in pending:
                self._probes.add(poll)
                poll.add_done_callback(self._probes.discard)
        if stale is None:
            return False
        return await self._follow_found(*stale, requested_at)

    async def _follow_found(
        self, replica: Address, reply: PollReply, requested_at: _RequestTime
    ) -> bool:
        """Follow a replica, asked for its records if the reply to a probe lacks them."""
        if reply.probed_revision is not None:
            requested_at = self._request_time()
            answer = await self._request(replica, self._make_poll(False, 0.0), 0.0)
            if answer is None:
                return False
            reply = answer
        self._follow(replica, reply, requested_at)
        return True

    async def _poll_in_turn(self) -> bool:
        """
        Poll replicas one by one until one is connected to the leader.

        Load pattern: no replica is connected, or confirms its reading in time, while
        hundreds of entries look for one; their searches would keep the replicas busy.
        """
        stale: tuple[Address, PollReply, _RequestTime] | None = None
        must_be_nearer = True
        for replica in self._candidates():
            if stale is not None and not self._may_search():
                break
            is_followed = replica == self._replica
            if is_followed:
                must_be_nearer = False
            requested_at = self._request_time()
            if is_followed:
                hold = self._hold_seconds(replica)
                reply = await self._request(replica, self._make_poll(True, hold), hold)
            else:
                reply = await self._probe(replica)
            if reply is None:
                continue
            if must_be_nearer and not self._is_nearer(replica):
                continue
            if reply.current:
                if not await self._follow_found(replica, reply, requested_at):
                    continue
                self._search_pause = 0.0
                return True
            stale = stale or (replica, reply, requested_at)
        if self._may_search():
            self._searched_at = self._clock()
            doubled = max(MIN_SEARCH_PAUSE_SECONDS, 2 * self._search_pause)
            self._search_pause = min(MAX_SEARCH_PAUSE_SECONDS, doubled)
        # A zone that is cut off continues with the replica that it reaches.
        if stale is not None and await self._follow_found(*stale):
            return True
        if self._replica is not None:
            _log.warning("lost all control replicas", last=self._replica)
            self._replica = None
        return False

    def _may_search(self) -> bool:
        """Return whether replicas other than a disconnected one may be asked now."""
        return self._clock() >= self._searched_at + self._search_pause

    def _request_time(self) -> "_RequestTime":
        return _RequestTime(self._clock(), self._freshness.now())

    def _candidates(self) -> list[Address]:
        """Return all replicas, the followed one first unless others may be nearer."""
        known = list(dict.fromkeys([*self._known_replicas, *self._seeds]))
        self._rng.shuffle(known)
        known.sort(key=self._distance)
        if self._replica is None:
            return known
        nearer: list[Address] = []
        if self._is_nearer_check_due():
            nearer = [
                replica
                for replica in known
                if replica not in self._zones_by_replica or self._is_nearer(replica)
            ]
        # One that doesn't answer must not keep an entry from its replica for long.
        return list(dict.fromkeys([*nearer[:1], self._replica, *known]))

    def _distance(self, replica: Address) -> int:
        """Return 0 for the own zone, 1 for the own region, and 2 for others."""
        zone = self._zones_by_replica.get(replica)
        if zone is None:
            return 2
        if zone == self._zone:
            return 0
        is_own_region = self._deployment.region_of(zone) == self._deployment.own_region
        return 1 if is_own_region else 2

    def _is_nearer(self, replica: Address) -> bool:
        """Return whether a replica is nearer than the followed one."""
        assert self._replica is not None
        return self._distance(replica) < self._distance(self._replica)

    def _is_nearer_check_due(self) -> bool:
        assert self._replica is not None
        if self._distance(self._replica) == 0:
            return False
        if self._clock() - self._nearer_checked_at < NEARER_REPLICA_CHECK_SECONDS:
            return False
        self._nearer_checked_at = self._clock()
        return True

    def _hold_seconds(self, replica: Address) -> Seconds:
        is_same_zone = self._zones_by_replica.get(replica) == self._zone
        hold = HOLD_SECONDS if is_same_zone else OTHER_ZONE_HOLD_SECONDS
        age = self._clock() - self._loads_received_at
        # A change may have cut the last poll short, before the loads were due.
        return hold - age if age < hold else hold

    def _make_poll(self, is_followed: bool, hold: Seconds) -> Poll:
        """
        Return a poll with this entry's state.

        Load pattern: VMs and upstreams change many times a second, and each change ends
        the polls of all entries. The loads of all engines come with a few of the replies.
        """
        own = self._own_loads()
        loads_due = self._loads_received_at + LOADS_SECONDS - self._clock()
        return Poll(
            record=self._record(),
            registry_id=self._registry_id if is_followed else "",
            known=self._revision if is_followed else 0,
            routing_revision=self._deployment.routing_revision,
            loads=own.loads,
            waiting=own.waiting,
            hold_seconds=hold,
            marks_known=self._marks_known if is_followed else 0,
            limits_known=self._limits_known if is_followed else 0,
            demands=own.demands,
            lacks_whole=is_followed and self._lacks_whole,
            is_first=not self._registry_id,
            loads_due_seconds=max(0.0, loads_due) if is_followed else 0.0,
            parts=self._part_news() if is_followed else PartNews(),
        )

    def _part_news(self) -> PartNews:
        sent = () if self._parts is None else self._parts.take_sent()
        return PartNews(self._parts_known, sent)

    async def _probe(self, replica: Address) -> PollReply | None:
        """Ask a replica for its zone and whether it is connected to the leader."""
        probe = self._make_poll(False, 0.0)._replace(is_probe=True)
        reply = await self._request(replica, probe, 0.0)
        if reply is not None:
            self._zones_by_replica[replica] = reply.zone
        return reply

    async def _request(
        self, replica: Address, poll: Poll, hold: Seconds
    ) -> PollReply | None:
        connect_deadline = self._clock() + CONNECT_TIMEOUT_SECONDS
        while True:
            reply = await self._transport.request(
                peer=replica,
                topic=POLL_TOPIC,
                message=poll,
                reply_type=PollReply,
                timeout_seconds=hold + REPLY_TIMEOUT_SECONDS,
            )
            if isinstance(reply, Success):
                return reply.unwrap()
            failure = reply.failure()
            is_connecting = failure.kind is TransportErrorKind.NOT_SENT
            if not is_connecting or self._clock() >= connect_deadline:
                _log.debug("poll failed", replica=replica, reason=failure.message)
                return None
            await asyncio.sleep(CONNECT_RETRY_SECONDS)

    def _follow(
        self, replica: Address, reply: PollReply, requested_at: _RequestTime
    ) -> None:
        if replica != self._replica:
            _log.info(
                "follows a control replica",
                replica=replica,
                zone=reply.zone,
                current=reply.current,
                whole=reply.whole,
                revision=reply.revision,
            )
        self._deployment.apply_reply(reply, requested_at.loop_seconds)
        if reply.has_loads:
            self._loads_received_at = self._clock()
        if reply.routing is None or (
            self._deployment.routing_revision >= reply.routing.revision
        ):
            self._freshness.note_reply(
                requested_at.uptime_seconds, reply.routing_age_seconds
            )
        for mark in reply.marks:
            self._marks.add(mark)
        self._marks_known = reply.marks_revision
        for limit in reply.limits:
            self._limits.add(limit)
        self._limits_known = reply.limits_revision
        if self._parts is not None:
            self._parts.note_sent_by_others(reply.parts.engines)
        self._parts_known = reply.parts.revision
        if reply.whole:
            self._lacks_whole = False
        elif reply.registry_id != self._registry_id:
            self._lacks_whole = True
        if reply.registry_id != self._registry_id:
            # A replica that has just started may lack the marks and limits.
            self._marks.queue_resend()
            self._limits.queue_resend()
        self._resend_streams(reply)
        self._replica = replica
        self._registry_id = reply.registry_id
        self._revision = reply.revision
        self._known_replicas = reply.control

    def _resend_streams(self, reply: PollReply) -> None:
        """
        Report again what a run of a replica may lack.

        Once it knows of several versions of a service, and again for each service that
        gets a second version later: before, its streams needed no record.
        """
        services = frozenset(versions.service for versions in reply.versions)
        if reply.registry_id != self._streams_resent_to:
            self._services_resent = frozenset()
        if services <= self._services_resent:
            return
        self._streams_resent_to = reply.registry_id
        self._services_resent |= services
        count = self._streams.queue_resend(
            lambda version: any(one.must_record(version) for one in reply.versions)
        )
        if count:
            _log.info("reports streams again", streams=count, zone=reply.zone)


def _is_newer(reply: PollReply, other: PollReply) -> bool:
    """Return whether ``reply`` has a later routing revision than ``other``."""
    return _routing_revision(reply) > _routing_revision(other)


def _routing_revision(reply: PollReply) -> int:
    if reply.probed_revision is not None:
        return reply.probed_revision
    return 0 if reply.routing is None else reply.routing.revision
