"""Discovery service of a control replica, for entries and other replicas."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from random import Random

from returns.result import Failure, Success

from poplarlug.control.confirmed_reading import ConfirmedReading
from poplarlug.control.routing_state import RoutingState
from poplarlug.discovery.control_peers import ControlPeers
from poplarlug.discovery.crash_marks import CrashMarks
from poplarlug.discovery.messages import (
    GOSSIP_TOPIC,
    LIMITS_TOPIC,
    MARKS_TOPIC,
    POLL_TOPIC,
    TABLES_TOPIC,
    EntryLoads,
    Gossip,
    GossipReply,
    LimitsReceived,
    LimitsReport,
    MarksReceived,
    MarksReport,
    Poll,
    PollReply,
    RoutingUpdate,
    Tables,
    TablesRequest,
)
from poplarlug.discovery.named_limits import NamedLimits
from poplarlug.discovery.outbox import Outbox, departures
from poplarlug.discovery.part_log import PartLog
from poplarlug.discovery.records import RegionLoad, ServiceUpstream
from poplarlug.discovery.region_loads import RegionLoads
from poplarlug.discovery.registry import Records, Registry
from poplarlug.discovery.software_versions import SoftwareVersions
from poplarlug.discovery.stream_records import Kept, StreamRecords
from poplarlug.discovery.stream_service import StreamService
from poplarlug.latest import Latest
from poplarlug.logs import ComponentLogger
from poplarlug.transport import Transport
from poplarlug.types import Address, RegionName, Seconds, VmName, ZoneName

GOSSIP_SECONDS = 1.0
"""Interval of gossip messages; a third of the time to live of an entry's record."""

GOSSIP_LOADS_SECONDS = 0.25
"""Least interval between loads in gossip messages, which are sent oftener while there are
changes; entries report their loads that often."""

GOSSIP_TIMEOUT_SECONDS = 1.0
HEARD_WINDOW_SECONDS = 1.5
"""Records heard from within this time are listed in gossip. Longer than the interval
between an upstream's announcements or an entry's polls."""

MAX_HOLD_SECONDS = 2.0
"""Longest time that a poll may wait for changes."""

EXPIRY_CHECK_SECONDS = 0.5
OWN_ENTRY_WINDOW_SECONDS = 3.0
"""This replica reports the loads of the entries that polled it within this time."""

REPLICATION_TIMEOUT_SECONDS = 0.5
"""How long the acknowledgement of a departure waits for copies on disks."""

CONFIRM_TIMEOUT_SECONDS = 1.0
"""How long recalled records wait to be compared with those of the other replicas. A
replica that starts together with others reaches them sooner; one that is cut off then
continues with the records from its disk."""

EXCHANGE_RETRY_SECONDS = 0.1
"""Pause between attempts to reach a replica soon after the own start: recalled records
may wait for it, and entries for the loads that it knows."""

FIRST_REPLY_WAIT_SECONDS = 0.6
"""How long the first reply to an entry may wait for recalled records; shorter than the
entry waits for it, and longer than a majority that starts together takes."""

OWN_LOADS_CACHE_SECONDS = 0.25
"""How long the own region's loads are given to entries of other regions, which poll up to
hundreds at a time, and to other replicas; the sum takes milliseconds with thousands of
upstreams."""

VERSIONS_NOTE_SECONDS = 0.5
"""Interval between walks of all upstreams for their versions; short against
``RESUME_SECONDS``, from which the versions' ages count."""

MAX_MARKS_PER_REPLY = 128
"""Maximum number of crash marks in one reply, about 6 KB; an entry that lacks more
polls again at once."""

MARK_EXPIRY_CHECK_SECONDS = 60.0
"""Interval between removals of expired crash marks, whose time to live is an hour."""

_log = ComponentLogger(prefix="discovery")


class Registrar:
    """
    Serve polls from entries and exchange records with the other replicas.

    Parameters
    ----------
    routing : RoutingState
        The replicated routing state of this replica.
    is_current : callable
        Returns whether this replica is connected to the group's leader.
    versions : SoftwareVersions
        Software versions of the services, restored from the disk.
    streams : StreamRecords
        Which versions began streams, restored likewise.
    flush : callable
        Writes the registry to this replica's disk; returns whether that succeeded.
    reading : ConfirmedReading, optional
        Dates ``routing`` for entries that refuse keys by its age.
    """

    def __init__(
        self,
        *,
        zone: ZoneName,
        regions_by_zone: Mapping[ZoneName, RegionName],
        registry: Registry,
        marks: CrashMarks,
        versions: SoftwareVersions,
        streams: StreamRecords,
        peers: ControlPeers,
        routing: RoutingState,
        transport: Transport,
        is_current: Callable[[], bool],
        flush: Callable[[], Awaitable[bool]],
        rng: Random,
        clock: Callable[[], Seconds],
        reading: ConfirmedReading | None = None,
    ) -> None:
        self.registry = registry
        self.marks = marks
        self.limits = NamedLimits(clock=clock)
        self._versions = versions
        self._stream_records = streams
        self.id = f"{rng.getrandbits(48):012x}"
        self._zone = zone
        self._region = regions_by_zone[zone]
        self._peers = peers
        self._routing = routing
        self._reading = reading
        self._transport = transport
        self._is_current = is_current
        self._flush = flush
        self._clock = clock
        self._loads = RegionLoads(
            region=self._region, regions_by_zone=regions_by_zone, clock=clock
        )
        self._parts = PartLog(clock=clock)
        self._own_loads: tuple[RegionLoad, ...] = ()
        self._own_loads_at = float("-inf")
        self._versions_noted_at = float("-inf")
        self._versions_revision = 0
        self._last_poll_by_entry: dict[VmName, Seconds] = {}
        self._regions_by_peer: dict[Address, RegionName] = {}
        self._links_by_peer: dict[Address, asyncio.Task[None]] = {}
        self._outboxes_by_peer: dict[Address, Outbox] = {}
        self._stream_service = StreamService(
            records=streams,
            versions=versions,
            note_versions=self._note_versions,
            peers=peers,
            outboxes_by_peer=self._outboxes_by_peer,
            transport=transport,
            clock=clock,
        )
        self._started = clock()
        self._settled = False
        self._confirmed = asyncio.Event()
        self._tables_received_from: set[Address] = set()
        self._change_count: Latest[int] = Latest(initial=0)
        registry.revision.subject.subscribe(lambda _: self._signal_change())
        routing.revision.subject.subscribe(lambda _: self._signal_change())
        marks.revision.subject.subscribe(lambda _: self._signal_change())
        self.limits.revision.subject.subscribe(lambda _: self._signal_limit_change())
        transport.serve(POLL_TOPIC, Poll, self._serve_poll)
        transport.serve(GOSSIP_TOPIC, Gossip, self._serve_gossip)
        transport.serve(TABLES_TOPIC, TablesRequest, self._serve_tables)
        transport.serve(MARKS_TOPIC, MarksReport, self._serve_marks)
        transport.serve(LIMITS_TOPIC, LimitsReport, self._serve_limits)

    async def run(self) -> None:
        """Exchange records with the other replicas until cancelled."""
        expired_marks_at = self._clock()
        confirming = asyncio.ensure_future(self._confirm_after_timeout())
        restoring = asyncio.ensure_future(self._stream_service.run())
        try:
            while True:
                self.registry.expire()
                self._note_versions()
                if self._clock() - expired_marks_at >= MARK_EXPIRY_CHECK_SECONDS:
                    expired_marks_at = self._clock()
                    self.marks.expire()
                if not self.limits.is_empty:
                    present = self.registry.present().upstreams
                    recalled = self.registry.recalled().upstreams
                    self.limits.keep_only(one.run for one in (*present, *recalled))
                self._update_links()
                self._queue_changes()
                await asyncio.sleep(EXPIRY_CHECK_SECONDS)
        finally:
            for task in (confirming, restoring, *self._links_by_peer.values()):
                task.cancel()

    async def _confirm_after_timeout(self) -> None:
        """Confirm the recalled records if too few other replicas can be reached."""
        if self._peers.missing_for_majority(()):
            await asyncio.sleep(CONFIRM_TIMEOUT_SECONDS)
        self._confirm()

    def _confirm(self) -> None:
        """Report as present the recalled records that no replica had newer ones for."""
        if self._confirmed.is_set():
            return
        self._confirmed.set()
        confirmed = self.registry.confirm()
        _log.info(
            "confirmed records of former runs",
            records=confirmed,
            replicas=sorted(self._tables_received_from),
            seconds=round(self._clock() - self._started, 2),
        )

    async def receive_announcement(self, record: ServiceUpstream) -> bool:
        """
        Apply an upstream's announcement; return whether to acknowledge it.

        A departure is a deregistration or a heartbeat of a leaving upstream. For one,
        return once it is on the disks of a majority of the voters or of all voters with
        a link, or after ``REPLICATION_TIMEOUT_SECONDS``. A departure that is on no disk
        isn't acknowledged, so that the upstream repeats it.
        """
        self.registry.apply_report(record)
        outboxes = self._queue_changes()
        if record.phase == "serving":
            return True
        copies = await self._wait_for_copies(outboxes)
        if not copies:
            _log.error("a farewell is on no disk", upstream=record.id)
        return copies > 0

    async def _wait_for_copies(self, outboxes: list[Outbox]) -> int:
        """Return how many disks hold the records, once enough do or after a timeout."""
        wanted = 1 + self._peers.missing_for_majority(())
        tasks = [
            asyncio.ensure_future(self._flush()),
            *(asyncio.ensure_future(outbox.wait_delivered()) for outbox in outboxes),
        ]
        copies = 0
        try:
            async with asyncio.timeout(REPLICATION_TIMEOUT_SECONDS):
                for task in asyncio.as_completed(tasks):
                    copies += await task
                    if copies >= wanted:
                        break
        except TimeoutError:
            _log.warning("too few disks in time", copies=copies, wanted=wanted)
        finally:
            for pending in tasks:
                pending.cancel()
        return copies

    async def _flush_in_time(self) -> bool:
        """Write the current records; return whether they reached the disk in time."""
        try:
            async with asyncio.timeout(REPLICATION_TIMEOUT_SECONDS):
                return await self._flush()
        except TimeoutError:
            _log.warning("timed out writing departures to disk")
            return False

    def release(self, fingerprint: int) -> int:
        """
        Release a suspect or quarantined request; return the number of marks withdrawn.

        The release is sent to all replicas and entries.
        """
        crashes = self.marks.withdraw(fingerprint)
        self._queue_marks()
        return crashes

    def _queue_marks(self) -> None:
        changes = Records(marks=self.marks.take_pending())
        for outbox in self._outboxes_by_peer.values():
            outbox.add(changes)

    @property
    def is_settled(self) -> bool:
        """
        Whether this replica has learned of all present records since its start.

        Anything not in a settled registry is absent.
        """
        if not self._settled:
            age = self._clock() - self._started
            self._settled = age > self.registry.settle_seconds
        return self._settled

    def note_first_start(self) -> None:
        """Note that the deployment starts for the first time, so no record is lost."""
        self._stream_service.note_first_start()

    def _note_versions(self) -> None:
        """
        Record the versions of the upstreams that are there.

        Load pattern: hundreds of entries poll a few times a second and thousands of
        upstreams are known; between two walks of all only the changed ones are read.
        """
        revision = self.registry.revision.value
        if self._clock() >= self._versions_noted_at + VERSIONS_NOTE_SECONDS:
            self._versions_noted_at = self._clock()
            for known in (self.registry.present(), self.registry.recalled()):
                self._versions.note_present(known.upstreams)
        elif revision > self._versions_revision:
            changed = self.registry.changed_after(self._versions_revision).upstreams
            self._versions.note_present(one for one in changed if not one.is_absent)
        self._versions_revision = revision

    def _signal_change(self) -> None:
        self._change_count.set(self._change_count.value + 1)

    def _signal_limit_change(self) -> None:
        self._signal_change()
        for outbox in self._outboxes_by_peer.values():
            outbox.notify()

    def _queue_changes(self) -> list[Outbox]:
        """Queue changes for all replicas; return the outboxes of the group's voters."""
        changes = self.registry.take_changes()
        if changes.entries or changes.upstreams:
            for outbox in self._outboxes_by_peer.values():
                outbox.add(changes)
        voters = self._peers.voters
        return [box for peer, box in self._outboxes_by_peer.items() if peer in voters]

    def _update_links(self) -> None:
        others = self._peers.other_addresses()
        for peer in [peer for peer in self._links_by_peer if peer not in others]:
            self._links_by_peer.pop(peer).cancel()
            del self._outboxes_by_peer[peer]
        for peer in others:
            if peer not in self._links_by_peer:
                self._outboxes_by_peer[peer] = Outbox()
                link = asyncio.ensure_future(self._run_link(peer))
                self._links_by_peer[peer] = link

    async def _run_link(self, peer: Address) -> None:
        """
        Send one replica changes at once, and every interval the tags of heard records.

        Load pattern: hundreds of VMs start or are lost within seconds. Each change is
        sent at once, but what is known of all the others isn't sent with each.
        """
        outbox = self._outboxes_by_peer[peer]
        is_connected = False
        limits_sent = 0
        heard_due = loads_due = float("-inf")
        while True:
            if not self._settled and not await self._exchange_tables(peer):
                await asyncio.sleep(EXCHANGE_RETRY_SECONDS)
                continue
            records = outbox.take()
            limits_revision = self.limits.revision.value
            message = self._gossip(peer, records, limits_sent)
            now = self._clock()
            has_heard, has_loads = now >= heard_due, now >= loads_due
            if has_heard:
                heard = self.registry.directly_heard_tags(HEARD_WINDOW_SECONDS)
                message = message._replace(heard=heard)
            if has_loads:
                message = self._add_loads(message, peer)
            reply = await self._transport.request(
                peer=peer,
                topic=GOSSIP_TOPIC,
                message=message,
                reply_type=GossipReply,
                timeout_seconds=GOSSIP_TIMEOUT_SECONDS,
            )
            if is_connected != isinstance(reply, Success):
                is_connected = not is_connected
                state = "regained" if is_connected else "lost"
                _log.info(f"{state} a control replica", peer=peer)
            if isinstance(reply, Failure):
                outbox.requeue(records)
                await asyncio.sleep(GOSSIP_SECONDS)
                continue
            self._peers.mark_seen(peer)
            response = reply.unwrap()
            self._stream_service.note_peer(peer, is_intact=response.is_intact)
            if not response.is_durable:
                outbox.requeue(departures(records))
            if not response.has_streams:
                outbox.requeue(Records(streams=records.streams))
            outbox.confirm(has_durable_streams=response.has_durable_streams)
            limits_sent = limits_revision
            if has_heard:
                heard_due = now + GOSSIP_SECONDS
            if has_loads:
                loads_due = now + GOSSIP_LOADS_SECONDS
            if response.unknown:
                # The other replica has no records with these tags, so send them.
                outbox.add(self.registry.by_tag(response.unknown))
            await outbox.wait_for_changes(max(0.0, heard_due - self._clock()))

    def _gossip(self, peer: Address, records: Records, limits_sent: int) -> Gossip:
        return Gossip(
            region=self._region,
            entries=records.entries,
            upstreams=records.upstreams,
            control=self._peers.recently_seen(2 * GOSSIP_SECONDS),
            marks=records.marks,
            limits=self.limits.changed_after(limits_sent),
            streams=records.streams,
            parts=self._parts.take_for(peer) if self._is_in_region(peer) else (),
        )

    def _is_in_region(self, peer: Address) -> bool:
        return self._regions_by_peer.get(peer) == self._region

    def _add_loads(self, message: Gossip, peer: Address) -> Gossip:
        """Return a message with the own region's loads added."""
        own = self._own_entries() if self._is_in_region(peer) else ()
        return message._replace(
            regions=self._own_region_loads(), entry_loads=self._loads.reports_of(own)
        )

    def _region_loads_for(self, region: RegionName) -> tuple[RegionLoad, ...]:
        """Return the loads of the regions other than an entry's own."""
        others = self._loads.other_region_loads()
        if region == self._region:
            return others
        return (*others, *self._own_region_loads())

    def _own_region_loads(self) -> tuple[RegionLoad, ...]:
        """Return the own region's loads, summed anew a few times a second."""
        now = self._clock()
        if now >= self._own_loads_at + OWN_LOADS_CACHE_SECONDS:
            self._own_loads_at = now
            self._own_loads = self._loads.own_region_loads(
                self._usable_upstreams(), self.limits.rates_by_run
            )
        return self._own_loads

    def _usable_upstreams(self) -> list[ServiceUpstream]:
        evacuated = self._routing.image.evacuated_zones
        present = self.registry.present().upstreams
        return [upstream for upstream in present if upstream.zone not in evacuated]

    def _own_entries(self) -> list[VmName]:
        oldest = self._clock() - OWN_ENTRY_WINDOW_SECONDS
        return [name for name, at in self._last_poll_by_entry.items() if at >= oldest]

    async def _exchange_tables(self, peer: Address) -> bool:
        """Exchange all records with a replica; return whether that succeeded."""
        is_first = peer not in self._tables_received_from
        reply = await self._transport.request(
            peer=peer,
            topic=TABLES_TOPIC,
            message=TablesRequest(self._tables() if is_first else None),
            reply_type=Tables,
            timeout_seconds=GOSSIP_TIMEOUT_SECONDS,
        )
        if isinstance(reply, Failure):
            return False
        self._apply_tables(peer, reply.unwrap())
        return True

    def _apply_tables(self, peer: Address, tables: Tables) -> None:
        self._peers.mark_seen(peer)
        self.registry.apply_relayed(Records(tables.entries, tables.upstreams))
        self.registry.recall(
            Records(tables.recalled_entries, tables.recalled_upstreams)
        )
        self._versions_noted_at = float("-inf")
        self._peers.add_reported(tables.control)
        for mark in tables.marks:
            self.marks.add(mark)
        for limit in tables.limits:
            self.limits.add(limit)
        for span in tables.versions:
            self._versions.add(span)
        self._stream_records.add(tables.streams)
        self._stream_service.note_peer(peer, is_intact=tables.is_intact)
        if tables.settled and not self._settled:
            _log.info("received the tables of a settled replica", peer=peer)
            self._settled = True
        self._tables_received_from.add(peer)
        missing = self._peers.missing_for_majority(self._tables_received_from)
        if tables.settled or not missing:
            self._confirm()

    async def _serve_gossip(self, sender: VmName, message: Gossip) -> GossipReply:
        self._peers.mark_seen(sender)
        self._peers.add_reported(message.control)
        self._regions_by_peer[sender] = message.region
        self.registry.apply_relayed(Records(message.entries, message.upstreams))
        for mark in message.marks:
            self.marks.add(mark)
        for limit in message.limits:
            self.limits.add(limit)
        self._stream_records.add(message.streams)
        self._loads.record_regions(message.regions)
        own_entries = frozenset(self._own_entries())
        for loads in message.entry_loads:
            if loads.entry not in own_entries:
                self._loads.record_entry(loads)
        self._parts.record("", message.parts)
        unknown = self.registry.touch(message.heard)
        is_durable = True
        if departures(Records(upstreams=message.upstreams)).upstreams:
            # The replica that received the departure waits for this reply.
            is_durable = await self._flush_in_time()
        kept = Kept.ON_DISK
        if message.streams:
            kept = await self._stream_service.sync()
        return GossipReply(
            unknown,
            is_durable,
            has_streams=kept is not Kept.UNSAFELY,
            has_durable_streams=kept is Kept.ON_DISK,
            is_intact=self._stream_service.check_intact(),
        )

    async def _serve_tables(self, sender: VmName, message: TablesRequest) -> Tables:
        own = self._tables()
        if message.own is not None:
            self._apply_tables(sender, message.own)
        return own

    def _tables(self) -> Tables:
        # Includes absent records, as entries share budgets with lost entries.
        known = self.registry.changed_after(0)
        recalled = self.registry.recalled()
        return Tables(
            entries=known.entries,
            upstreams=known.upstreams,
            control=self._peers.recently_seen(2 * GOSSIP_SECONDS),
            settled=self.is_settled,
            recalled_entries=recalled.entries,
            recalled_upstreams=recalled.upstreams,
            marks=tuple(self.marks.persistent()),
            limits=self.limits.changed_after(0),
            versions=self._versions.spans(),
            streams=self._stream_records.versions.all(),
            is_intact=self._stream_service.check_intact(),
        )

    async def _serve_marks(self, sender: VmName, report: MarksReport) -> MarksReceived:
        for mark in report.marks:
            self.marks.add_and_queue(mark)
        self._queue_marks()
        return MarksReceived()

    async def _serve_limits(
        self, sender: VmName, report: LimitsReport
    ) -> LimitsReceived:
        for limit in report.limits:
            self.limits.add(limit)
        return LimitsReceived()

    async def _serve_poll(self, sender: VmName, poll: Poll) -> PollReply:
        if poll.is_probe:
            return self._answer_probe()
        name = poll.record.name
        loads_due = self._clock() + poll.loads_due_seconds
        arrived_at = None if self._reading is None else self._reading.now()
        self._last_poll_by_entry[name] = self._clock()
        self._loads.record_entry(
            EntryLoads(name, poll.loads, poll.waiting, poll.demands)
        )
        self._parts.record(name, poll.parts.engines)
        if self.registry.apply_report(poll.record):
            self._queue_changes()
        if poll.is_first:
            await self._wait_until_confirmed()
        if not self._has_changes(poll):
            await self._wait_for_changes(poll)
        reply = self._answer(poll, has_loads=self._clock() >= loads_due)
        if self._reading is None or arrived_at is None:
            return reply
        return reply._replace(routing_age_seconds=self._reading.age_at(arrived_at))

    def _answer_probe(self) -> PollReply:
        return PollReply(
            registry_id=self.id,
            revision=0,
            whole=False,
            current=self._is_current(),
            zone=self._zone,
            control=self._peers.recently_seen(2 * GOSSIP_SECONDS),
            probed_revision=self._routing.revision.value,
        )

    async def _wait_until_confirmed(self) -> None:
        """
        Wait until recalled records are reported, before an entry's first reply.

        Load pattern: all VMs restart after a power failure. Entries would send all
        requests that wait for routes to the few upstreams announced until then.
        """
        try:
            async with asyncio.timeout(FIRST_REPLY_WAIT_SECONDS):
                await self._confirmed.wait()
        except TimeoutError:
            _log.info("answers an entry without the records of former runs")

    def _has_changes(self, poll: Poll) -> bool:
        return (
            poll.registry_id != self.id
            or (poll.lacks_whole and self.is_settled)
            or poll.known < self.registry.revision.value
            or poll.routing_revision < self._routing.revision.value
            or poll.marks_known < self.marks.revision.value
            or poll.limits_known < self.limits.revision.value
        )

    async def _wait_for_changes(self, poll: Poll) -> None:
        hold = min(max(0.0, poll.hold_seconds), MAX_HOLD_SECONDS)
        try:
            async with asyncio.timeout(hold):
                await self._change_count.wait_for(lambda _: self._has_changes(poll))
        except TimeoutError:
            pass

    def _answer(self, poll: Poll, *, has_loads: bool) -> PollReply:
        is_first = poll.registry_id != self.id
        has_loads = has_loads or is_first
        others = self._loads.loads_of_others(poll.record.name) if has_loads else ()
        whole = (is_first or poll.lacks_whole) and self.is_settled
        records = self.registry.changed_after(0 if is_first or whole else poll.known)
        marks, marks_revision = self.marks.changed_after(
            0 if is_first else poll.marks_known, MAX_MARKS_PER_REPLY
        )
        self._note_versions()
        image = self._routing.image
        routing = None
        if poll.routing_revision < image.revision:
            routing = RoutingUpdate(image.revision, image.table, image.evacuated_zones)
        return PollReply(
            registry_id=self.id,
            revision=self.registry.revision.value,
            whole=whole,
            current=self._is_current(),
            zone=self._zone,
            entries=records.entries,
            upstreams=records.upstreams,
            routing=routing,
            loads=others,
            regions=self._region_loads_for(poll.record.region),
            control=self._peers.recently_seen(2 * GOSSIP_SECONDS),
            settled=self.is_settled,
            marks=tuple(marks),
            marks_revision=marks_revision,
            limits=self.limits.changed_after(0 if is_first else poll.limits_known),
            limits_revision=self.limits.revision.value,
            demands=self._loads.demands_of_others(poll.record.name),
            versions=self._versions.mixed(
                has_all_streams=self._stream_service.has_intact_majority
            ),
            has_loads=has_loads,
            parts=self._parts.news_for(
                poll.record.name, 0 if is_first else poll.parts.revision
            ),
        )
