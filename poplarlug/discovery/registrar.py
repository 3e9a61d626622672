"""The part of a control replica that entries and other replicas ask for news."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from random import Random

from returns.result import Failure, Success

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
    RoutingNews,
    Tables,
    TablesRequest,
)
from poplarlug.discovery.named_limits import NamedLimits
from poplarlug.discovery.outbox import Outbox, farewells
from poplarlug.discovery.records import ServiceUpstream
from poplarlug.discovery.region_loads import RegionLoads
from poplarlug.discovery.registry import Records, Registry
from poplarlug.latest import Latest
from poplarlug.logs import ComponentLogger
from poplarlug.transport import Transport
from poplarlug.types import Address, RegionName, Seconds, VmName, ZoneName

GOSSIP_SECONDS = 1.0
"""Period of the digests; a third of the life of an entry's record."""

GOSSIP_TIMEOUT_SECONDS = 1.0
HEARD_SECONDS = 1.5
"""Longer than an upstream's pause between announcements and an entry's polls."""

MAX_HOLD_SECONDS = 2.0
"""Longest that a poll may wait for news."""

EXPIRE_SECONDS = 0.5
ENTRIES_SPEAK_SECONDS = 3.0
"""An entry that polled within this time is this replica's own to report on."""

SPREAD_TIMEOUT_SECONDS = 0.5
"""How long a farewell waits for another replica before it is acknowledged."""

CONFIRM_SECONDS = 1.0
"""How long records of a former run wait for the other replicas; a replica that starts
together with others reaches them in less, one that is cut off goes on by its disk."""

CONFIRM_PAUSE_SECONDS = 0.1
"""Between two attempts to reach a replica while records wait for it."""

MAX_MARKS_A_REPLY = 128
"""Crash marks in one reply, some 6 KB; an entry that lacks more polls again at once."""

EXPIRE_MARKS_SECONDS = 60.0
"""How often old crash marks are dropped; their life is an hour."""

_log = ComponentLogger(prefix="discovery")


class Registrar:
    """
    Serve polls of entries and keep in step with the other replicas.

    Parameters
    ----------
    routing : RoutingState
        The replicated routing state of this replica.
    is_current : callable
        Returns whether this replica is in touch with the group's leader.
    flush : callable
        Writes the registry to this replica's disk; returns whether that went well.
    """

    def __init__(
        self,
        *,
        zone: ZoneName,
        regions_by_zone: Mapping[ZoneName, RegionName],
        registry: Registry,
        marks: CrashMarks,
        peers: ControlPeers,
        routing: RoutingState,
        transport: Transport,
        is_current: Callable[[], bool],
        flush: Callable[[], Awaitable[bool]],
        rng: Random,
        clock: Callable[[], Seconds],
    ) -> None:
        self.registry = registry
        self.marks = marks
        self.limits = NamedLimits(clock=clock)
        self.id = f"{rng.getrandbits(48):012x}"
        self._zone = zone
        self._region = regions_by_zone[zone]
        self._peers = peers
        self._routing = routing
        self._transport = transport
        self._is_current = is_current
        self._flush = flush
        self._clock = clock
        self._loads = RegionLoads(
            region=self._region, regions_by_zone=regions_by_zone, clock=clock
        )
        self._polled_by_entry: dict[VmName, Seconds] = {}
        self._regions_by_peer: dict[Address, RegionName] = {}
        self._links_by_peer: dict[Address, asyncio.Task[None]] = {}
        self._outboxes_by_peer: dict[Address, Outbox] = {}
        self._started = clock()
        self._settled = False
        self._has_confirmed = False
        self._read_from: set[Address] = set()
        self._news: Latest[int] = Latest(initial=0)
        registry.revision.subject.subscribe(lambda _: self._bump())
        routing.revision.subject.subscribe(lambda _: self._bump())
        marks.revision.subject.subscribe(lambda _: self._bump())
        self.limits.revision.subject.subscribe(lambda _: self._bump_limits())
        transport.serve(POLL_TOPIC, Poll, self._serve_poll)
        transport.serve(GOSSIP_TOPIC, Gossip, self._serve_gossip)
        transport.serve(TABLES_TOPIC, TablesRequest, self._serve_tables)
        transport.serve(MARKS_TOPIC, MarksReport, self._serve_marks)
        transport.serve(LIMITS_TOPIC, LimitsReport, self._serve_limits)

    async def run(self) -> None:
        """Keep in step with the other replicas until cancelled."""
        expired_marks_at = self._clock()
        confirming = asyncio.ensure_future(self._confirm_in_time())
        try:
            while True:
                self.registry.expire()
                if self._clock() - expired_marks_at >= EXPIRE_MARKS_SECONDS:
                    expired_marks_at = self._clock()
                    self.marks.expire()
                if not self.limits.is_empty:
                    present = self.registry.present().upstreams
                    recalled = self.registry.recalled().upstreams
                    self.limits.keep_only(one.run for one in (*present, *recalled))
                self._follow_peers()
                self._spread_changes()
                await asyncio.sleep(EXPIRE_SECONDS)
        finally:
            for task in (confirming, *self._links_by_peer.values()):
                task.cancel()

    async def _confirm_in_time(self) -> None:
        """Confirm what the disk held when too few of the others can be asked."""
        if self._peers.missing_for_majority(()):
            await asyncio.sleep(CONFIRM_SECONDS)
        self._confirm()

    def _confirm(self) -> None:
        """Tell entries the records of former runs that no replica knew better."""
        if self._has_confirmed:
            return
        self._has_confirmed = True
        confirmed = self.registry.confirm()
        _log.info(
            "confirmed records of former runs",
            records=confirmed,
            replicas=sorted(self._read_from),
            seconds=round(self._clock() - self._started, 2),
        )

    async def hear_upstream(self, record: ServiceUpstream) -> bool:
        """
        Take in an upstream's announcement; return whether to acknowledge it.

        A farewell returns once it is on the disks of a majority of the voters, or of
        all that there are links to, or after ``SPREAD_TIMEOUT_SECONDS``. One that no
        disk holds has to be said again.
        """
        self.registry.hear(record)
        outboxes = self._spread_changes()
        if record.phase == "serving":
            return True
        copies = await self._wait_for_copies(outboxes)
        if not copies:
            _log.error("a farewell is on no disk", upstream=record.id)
        return copies > 0

    async def _wait_for_copies(self, outboxes: list[Outbox]) -> int:
        """Return how many disks hold what is known now, once enough do or in time."""
        wanted = 1 + self._peers.missing_for_majority(())
        tasks = [
            asyncio.ensure_future(self._flush()),
            *(asyncio.ensure_future(outbox.wait_empty()) for outbox in outboxes),
        ]
        copies = 0
        try:
            async with asyncio.timeout(SPREAD_TIMEOUT_SECONDS):
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

    async def _flush_soon(self) -> bool:
        """Return whether this replica's disk took what is known now in time."""
        try:
            async with asyncio.timeout(SPREAD_TIMEOUT_SECONDS):
                return await self._flush()
        except TimeoutError:
            _log.warning("the disk takes no farewells in time")
            return False

    def release(self, fingerprint: int) -> int:
        """
        Let a request run again that is held back; return the crashes forgotten.

        All replicas and entries are told.
        """
        crashes = self.marks.withdraw(fingerprint)
        self._spread_marks()
        return crashes

    def _spread_marks(self) -> None:
        news = Records(marks=self.marks.take_news())
        for outbox in self._outboxes_by_peer.values():
            outbox.add(news)

    @property
    def is_settled(self) -> bool:
        """Whether what the registry lacks is not there."""
        if not self._settled:
            age = self._clock() - self._started
            self._settled = age > self.registry.settle_seconds
        return self._settled

    def _bump(self) -> None:
        self._news.set(self._news.value + 1)

    def _bump_limits(self) -> None:
        self._bump()
        for outbox in self._outboxes_by_peer.values():
            outbox.wake()

    def _spread_changes(self) -> list[Outbox]:
        """Tell all replicas what is new; return the way to the group's voters."""
        changes = self.registry.take_changes()
        if changes.entries or changes.upstreams:
            for outbox in self._outboxes_by_peer.values():
                outbox.add(changes)
        voters = self._peers.voters
        return [box for peer, box in self._outboxes_by_peer.items() if peer in voters]

    def _follow_peers(self) -> None:
        others = self._peers.others()
        for peer in [peer for peer in self._links_by_peer if peer not in others]:
            self._links_by_peer.pop(peer).cancel()
            del self._outboxes_by_peer[peer]
        for peer in others:
            if peer not in self._links_by_peer:
                self._outboxes_by_peer[peer] = Outbox()
                link = asyncio.ensure_future(self._keep_link(peer))
                self._links_by_peer[peer] = link

    async def _keep_link(self, peer: Address) -> None:
        """Tell one replica what is new, at once, and what was heard, periodically."""
        outbox = self._outboxes_by_peer[peer]
        in_touch = False
        limits_told = 0
        while True:
            if not self._settled and not await self._exchange_tables(peer):
                pause = GOSSIP_SECONDS if self._has_confirmed else CONFIRM_PAUSE_SECONDS
                await asyncio.sleep(pause)
                continue
            records = outbox.take()
            limits_revision = self.limits.revision.value
            message = self._gossip(peer, records, limits_told)
            reply = await self._transport.request(
                peer=peer,
                topic=GOSSIP_TOPIC,
                message=message,
                reply_type=GossipReply,
                timeout_seconds=GOSSIP_TIMEOUT_SECONDS,
            )
            if in_touch != isinstance(reply, Success):
                in_touch = not in_touch
                state = "regained" if in_touch else "lost"
                _log.info(f"{state} a control replica", peer=peer)
            if isinstance(reply, Failure):
                outbox.put_back(records)
                await asyncio.sleep(GOSSIP_SECONDS)
                continue
            self._peers.saw(peer)
            told = reply.unwrap()
            if not told.is_durable:
                outbox.put_back(farewells(records))
            outbox.confirm()
            limits_told = limits_revision
            if told.unknown:
                # Their senders were heard here, and the other one lacks them.
                outbox.add(self.registry.by_tag(told.unknown))
            await outbox.wait_for_news(GOSSIP_SECONDS)

    def _gossip(self, peer: Address, records: Records, limits_told: int) -> Gossip:
        is_near = self._regions_by_peer.get(peer) == self._region
        own = self._own_entries()
        return Gossip(
            region=self._region,
            entries=records.entries,
            upstreams=records.upstreams,
            heard=self.registry.heard_within(HEARD_SECONDS),
            regions=self._loads.own_region(
                self._usable_upstreams(), self.limits.rates_by_run
            ),
            entry_loads=self._loads.of_entries(own) if is_near else (),
            control=self._peers.present(2 * GOSSIP_SECONDS),
            marks=records.marks,
            limits=self.limits.changed_after(limits_told),
        )

    def _usable_upstreams(self) -> list[ServiceUpstream]:
        evacuated = self._routing.image.evacuated_zones
        present = self.registry.present().upstreams
        return [upstream for upstream in present if upstream.zone not in evacuated]

    def _own_entries(self) -> list[VmName]:
        oldest = self._clock() - ENTRIES_SPEAK_SECONDS
        return [name for name, at in self._polled_by_entry.items() if at >= oldest]

    async def _exchange_tables(self, peer: Address) -> bool:
        """Tell a replica all records and take in its own; return whether that went."""
        is_first = peer not in self._read_from
        reply = await self._transport.request(
            peer=peer,
            topic=TABLES_TOPIC,
            message=TablesRequest(self._tables() if is_first else None),
            reply_type=Tables,
            timeout_seconds=GOSSIP_TIMEOUT_SECONDS,
        )
        if isinstance(reply, Failure):
            return False
        self._take_tables(peer, reply.unwrap())
        return True

    def _take_tables(self, peer: Address, tables: Tables) -> None:
        self._peers.saw(peer)
        self.registry.take(Records(tables.entries, tables.upstreams))
        self.registry.recall(
            Records(tables.recalled_entries, tables.recalled_upstreams)
        )
        self._peers.learn(tables.control)
        for mark in tables.marks:
            self.marks.add(mark)
        for limit in tables.limits:
            self.limits.add(limit)
        if tables.settled and not self._settled:
            _log.info("took another replica's tables", peer=peer)
            self._settled = True
        self._read_from.add(peer)
        missing = self._peers.missing_for_majority(self._read_from)
        if tables.settled or not missing:
            self._confirm()

    async def _serve_gossip(self, sender: VmName, message: Gossip) -> GossipReply:
        self._peers.saw(sender)
        self._peers.learn(message.control)
        self._regions_by_peer[sender] = message.region
        self.registry.take(Records(message.entries, message.upstreams))
        for mark in message.marks:
            self.marks.add(mark)
        for limit in message.limits:
            self.limits.add(limit)
        self._loads.note_regions(message.regions)
        for loads in message.entry_loads:
            if loads.entry not in self._own_entries():
                self._loads.note_entry(loads)
        unknown = self.registry.touch(message.heard)
        is_durable = True
        if farewells(Records(upstreams=message.upstreams)).upstreams:
            # The replica that took a farewell waits for this one's answer.
            is_durable = await self._flush_soon()
        return GossipReply(unknown, is_durable)

    async def _serve_tables(self, sender: VmName, message: TablesRequest) -> Tables:
        own = self._tables()
        if message.own is not None:
            self._take_tables(sender, message.own)
        return own

    def _tables(self) -> Tables:
        # Those that are over count too: entries share budgets with lost ones.
        held = self.registry.changed_after(0)
        recalled = self.registry.recalled()
        return Tables(
            entries=held.entries,
            upstreams=held.upstreams,
            control=self._peers.present(2 * GOSSIP_SECONDS),
            settled=self.is_settled,
            recalled_entries=recalled.entries,
            recalled_upstreams=recalled.upstreams,
            marks=tuple(self.marks.lasting()),
            limits=self.limits.changed_after(0),
        )

    async def _serve_marks(self, sender: VmName, report: MarksReport) -> MarksReceived:
        for mark in report.marks:
            self.marks.note(mark)
        self._spread_marks()
        return MarksReceived()

    async def _serve_limits(
        self, sender: VmName, report: LimitsReport
    ) -> LimitsReceived:
        for limit in report.limits:
            self.limits.add(limit)
        return LimitsReceived()

    async def _serve_poll(self, sender: VmName, poll: Poll) -> PollReply:
        name = poll.record.name
        self._polled_by_entry[name] = self._clock()
        self._loads.note_entry(EntryLoads(name, poll.loads, poll.waiting, poll.demands))
        if self.registry.hear(poll.record):
            self._spread_changes()
        if not self._has_news(poll):
            await self._wait_for_news(poll)
        return self._answer(poll)

    def _has_news(self, poll: Poll) -> bool:
        return (
            poll.registry_id != self.id
            or (poll.lacks_whole and self.is_settled)
            or poll.known < self.registry.revision.value
            or poll.routing_revision < self._routing.revision.value
            or poll.marks_known < self.marks.revision.value
            or poll.limits_known < self.limits.revision.value
        )

    async def _wait_for_news(self, poll: Poll) -> None:
        hold = min(max(0.0, poll.hold_seconds), MAX_HOLD_SECONDS)
        try:
            async with asyncio.timeout(hold):
                await self._news.wait_for(lambda _: self._has_news(poll))
        except TimeoutError:
            pass

    def _answer(self, poll: Poll) -> PollReply:
        is_first = poll.registry_id != self.id
        whole = (is_first or poll.lacks_whole) and self.is_settled
        records = self.registry.changed_after(0 if is_first or whole else poll.known)
        marks, marks_revision = self.marks.changed_after(
            0 if is_first else poll.marks_known, MAX_MARKS_A_REPLY
        )
        image = self._routing.image
        routing = None
        if poll.routing_revision < image.revision:
            routing = RoutingNews(image.revision, image.table, image.evacuated_zones)
        return PollReply(
            registry_id=self.id,
            revision=self.registry.revision.value,
            whole=whole,
            current=self._is_current(),
            zone=self._zone,
            entries=records.entries,
            upstreams=records.upstreams,
            routing=routing,
            loads=self._loads.of_others(poll.record.name),
            regions=self._loads.other_regions(),
            control=self._peers.present(2 * GOSSIP_SECONDS),
            settled=self.is_settled,
            marks=tuple(marks),
            marks_revision=marks_revision,
            limits=self.limits.changed_after(0 if is_first else poll.limits_known),
            limits_revision=self.limits.revision.value,
            demands=self._loads.demands_of_others(poll.record.name),
        )
