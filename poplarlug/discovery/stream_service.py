"""Recording and looking up of streams at a control replica."""

import asyncio
from collections.abc import Callable, Mapping

from prometheus_client import Counter
from returns.result import Success

from poplarlug.discovery.control_peers import ControlPeers
from poplarlug.discovery.messages import (
    STREAM_COPY_TOPIC,
    STREAM_LOOKUP_TOPIC,
    STREAM_TABLE_TOPIC,
    STREAMS_TOPIC,
    StreamCopy,
    StreamFound,
    StreamLookup,
    StreamsReceived,
    StreamsReport,
    StreamTable,
    StreamTableRequest,
)
from poplarlug.discovery.outbox import Outbox
from poplarlug.discovery.software_versions import RESUME_SECONDS, SoftwareVersions
from poplarlug.discovery.stream_quorum import StreamQuorum
from poplarlug.discovery.stream_records import Kept, StreamRecords
from poplarlug.logs import ComponentLogger
from poplarlug.metrics import REGISTRY
from poplarlug.transport import Transport
from poplarlug.types import Address, Seconds, VmName

REPLICATION_TIMEOUT_SECONDS = 0.5
"""How long the acknowledgement of a stream waits for copies."""

DURABLE_WAIT_SECONDS = 0.3
"""How long it waits for copies on disks, if enough replicas have one in memory."""

COPY_TIMEOUT_SECONDS = 0.3
"""How long a replica waits for another one's record of a stream, while a caller waits."""

TABLE_TIMEOUT_SECONDS = 1.0
RESTORE_INTERVAL_SECONDS = 0.5
"""Interval of attempts to read the records that this replica lacks."""

_LOOKUPS = Counter(
    "poplarlug_discovery_stream_lookups_total",
    "Lookups of streams at this replica, by what the replicas' records told.",
    ["outcome"],
    registry=REGISTRY,
)

_log = ComponentLogger(prefix="discovery")


class StreamService:
    """
    Serve entries that record streams or look them up, and other replicas.

    Parameters
    ----------
    records : StreamRecords
        The records of this replica, restored from its disk.
    versions : SoftwareVersions
        Software versions of the services.
    note_versions : callable
        Brings ``versions`` up to date with the upstreams that are there.
    outboxes_by_peer : mapping
        Queues of what other replicas are sent, changed by the owner.
    """

    def __init__(
        self,
        *,
        records: StreamRecords,
        versions: SoftwareVersions,
        note_versions: Callable[[], None],
        peers: ControlPeers,
        outboxes_by_peer: Mapping[Address, Outbox],
        transport: Transport,
        clock: Callable[[], Seconds],
    ) -> None:
        self._records = records
        self._streams = records.versions
        self._versions = versions
        self._note_versions = note_versions
        self._peers = peers
        self._outboxes_by_peer = outboxes_by_peer
        self._transport = transport
        self._clock = clock
        self._quorum = StreamQuorum(peers=peers)
        self._heard_all_from = clock() + RESUME_SECONDS
        self._intact_by_peer: dict[Address, bool] = {}
        self._sources: set[Address] = set()
        transport.serve(STREAMS_TOPIC, StreamsReport, self._serve_report)
        transport.serve(STREAM_LOOKUP_TOPIC, StreamLookup, self._serve_lookup)
        transport.serve(STREAM_COPY_TOPIC, StreamLookup, self._serve_copy)
        transport.serve(STREAM_TABLE_TOPIC, StreamTableRequest, self._serve_table)

    async def run(self) -> None:
        """Restore the records that this replica lacks, until cancelled."""
        while True:
            if not self.check_intact() and self._peers.is_voter:
                await self._restore()
            await asyncio.sleep(RESTORE_INTERVAL_SECONDS)

    def check_intact(self) -> bool:
        """
        Return whether this replica has every record that it acknowledged.

        One that doesn't vote counts as lacking some from then on.
        """
        if self._peers.has_group and not self._peers.is_voter:
            # Others acknowledge records without it until it votes again.
            self._streams.mark_lacking()
            self._sources.clear()
        return self._streams.is_intact

    @property
    def has_intact_majority(self) -> bool:
        """Whether most voters were intact when they were heard from last."""
        intact = [peer for peer, is_intact in self._intact_by_peer.items() if is_intact]
        return self._quorum.proves_absence(intact, with_own=self.check_intact())

    def note_first_start(self) -> None:
        """Note that no stream began before this replica's start."""
        self._streams.mark_intact()
        self._heard_all_from = self._clock()

    def note_peer(self, peer: Address, *, is_intact: bool) -> None:
        """Note what another replica says of its own records."""
        self._intact_by_peer[peer] = is_intact

    async def sync(self) -> Kept:
        """Write records of streams; return where they are in time."""
        try:
            async with asyncio.timeout(REPLICATION_TIMEOUT_SECONDS):
                return await self._records.sync()
        except TimeoutError:
            _log.warning("timed out writing streams to disk")
            return Kept.UNSAFELY

    async def _restore(self) -> None:
        """
        Read the records of other intact replicas.

        Those that were read once needn't be read again: what they acknowledge later is
        at a majority that this replica either is in or isn't needed for.
        """
        unread = self._peers.voters & self._outboxes_by_peer.keys() - self._sources
        replies = await asyncio.gather(*(self._read_table(peer) for peer in unread))
        for peer, table in zip(unread, replies, strict=True):
            if table is None:
                continue
            self.note_peer(peer, is_intact=table.is_intact)
            if table.is_intact:
                self._records.add(table.streams)
                for span in table.versions:
                    self._versions.add(span)
                self._sources.add(peer)
        if self._quorum.restores(self._sources):
            self._streams.mark_intact()
            _log.info(
                "has restored the records of streams",
                streams=self._streams.count,
                sources=sorted(self._sources),
            )
            self._sources.clear()

    async def _read_table(self, peer: Address) -> StreamTable | None:
        reply = await self._transport.request(
            peer=peer,
            topic=STREAM_TABLE_TOPIC,
            message=StreamTableRequest(),
            reply_type=StreamTable,
            timeout_seconds=TABLE_TIMEOUT_SECONDS,
        )
        if isinstance(reply, Success):
            return reply.unwrap()
        _log.debug(
            "no records of streams from a replica",
            peer=peer,
            reason=reply.failure().message,
        )
        return None

    async def _serve_table(
        self, sender: VmName, request: StreamTableRequest
    ) -> StreamTable:
        if not self.check_intact():
            return StreamTable(False)
        self._note_versions()
        return StreamTable(True, self._streams.all(), self._versions.spans())

    async def _serve_report(
        self, sender: VmName, report: StreamsReport
    ) -> StreamsReceived:
        self._records.add(report.starts)
        peers_by_copy = {
            outbox.add_streams(report.starts): peer
            for peer, outbox in self._outboxes_by_peer.items()
        }
        pending = set(peers_by_copy)
        holders: set[Address] = set()
        durable_holders: set[Address] = set()
        began = self._clock()
        own = await self.sync()
        while not self._quorum.is_recorded(
            durable_holders, with_own=own is Kept.ON_DISK
        ):
            is_held = self._quorum.is_recorded(
                holders, with_own=own is not Kept.UNSAFELY
            )
            limit = DURABLE_WAIT_SECONDS if is_held else REPLICATION_TIMEOUT_SECONDS
            left = began + limit - self._clock()
            if not pending or left <= 0.0:
                return StreamsReceived(is_recorded=is_held)
            done, pending = await asyncio.wait(
                pending, timeout=left, return_when=asyncio.FIRST_COMPLETED
            )
            holders |= {peers_by_copy[copy] for copy in done}
            durable_holders |= {peers_by_copy[copy] for copy in done if copy.result()}
        return StreamsReceived()

    async def _serve_copy(self, sender: VmName, lookup: StreamLookup) -> StreamCopy:
        return self._own_copy(lookup)

    async def _serve_lookup(self, sender: VmName, lookup: StreamLookup) -> StreamFound:
        """Answer from the records of the replicas."""
        own = self._own_copy(lookup)
        copies_by_peer: dict[Address, StreamCopy] = {}
        found = self._quorum.decide(own, copies_by_peer, is_last=False)
        asking = [
            asyncio.ensure_future(self._ask_copy(peer, lookup, copies_by_peer))
            for peer in self._outboxes_by_peer
            if peer in self._peers.voters and found is None
        ]
        try:
            for asked in asyncio.as_completed(asking):
                await asked
                found = self._quorum.decide(own, copies_by_peer, is_last=False)
                if found is not None:
                    break
        finally:
            for task in asking:
                task.cancel()
        if found is None:
            found = self._quorum.decide(own, copies_by_peer, is_last=True)
        assert found is not None
        outcome = _outcome(found)
        _LOOKUPS.labels(outcome).inc()
        if outcome != "record":
            # Entries ask for awaited records again and again.
            log = _log.debug if found.is_awaited else _log.info
            log(
                "found no record of a stream",
                key=lookup.key,
                outcome=outcome,
                is_intact=own.is_intact,
                is_intact_by_peer={
                    peer: copy.is_intact for peer, copy in copies_by_peer.items()
                },
            )
        return found

    async def _ask_copy(
        self,
        peer: Address,
        lookup: StreamLookup,
        copies_by_peer: dict[Address, StreamCopy],
    ) -> None:
        reply = await self._transport.request(
            peer=peer,
            topic=STREAM_COPY_TOPIC,
            message=lookup,
            reply_type=StreamCopy,
            timeout_seconds=COPY_TIMEOUT_SECONDS,
        )
        if isinstance(reply, Success):
            copies_by_peer[peer] = reply.unwrap()
            self.note_peer(peer, is_intact=copies_by_peer[peer].is_intact)
        else:
            _log.debug(
                "no record from a replica", peer=peer, reason=reply.failure().message
            )

    def _own_copy(self, lookup: StreamLookup) -> StreamCopy:
        """Return what this replica's own records tell of a stream."""
        self._note_versions()
        return StreamCopy(
            version=self._streams.get(lookup.key),
            is_intact=self.check_intact(),
            versions=self._versions.versions_of(
                lookup.service, has_all_streams=self.has_intact_majority
            ),
            has_heard_all=self._clock() >= self._heard_all_from,
        )


def _outcome(found: StreamFound) -> str:
    if found.version is not None:
        return "record"
    if found.is_complete:
        return "absent"
    return "awaited" if found.is_awaited else "lost"
