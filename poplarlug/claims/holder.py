"""Holder of claims: votes on keys for this entry's zone."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterator

import msgspec
from returns.result import Failure, Success

from poplarlug.claims.journal import ClaimJournal
from poplarlug.claims.placement import holders_of
from poplarlug.claims.records import (
    ClaimKey,
    ClaimRecord,
    ClaimReply,
    ClaimRequest,
    ClaimState,
    ClaimUpdate,
    CopyPage,
    CopyRequest,
    UpdateReply,
    Vote,
)
from poplarlug.claims.table import ClaimTable
from poplarlug.logs import ComponentLogger
from poplarlug.topology import EntryVm, Topology
from poplarlug.transport import Transport
from poplarlug.types import Seconds, VmName

CLAIM_TOPIC = "claims.claim"
UPDATE_TOPIC = "claims.update"
COPY_TOPIC = "claims.copy"

ATTEMPT_SECONDS = 1.5
"""Time after an attempt's start during which its votes are counted."""

VOTE_EXPIRY_SECONDS = 2.5
"""How long a holder that lost its claims waits, so that no attempt still counts
a vote from before the loss."""

READINESS_WAIT_SECONDS = 8.0
"""How long a holder's recovery may keep its entry from being ready."""

COPY_RETRY_SECONDS = 0.5
COPY_IDLE_SECONDS = 2.0
PAGE_RECORDS = 50

_READY = "ready"
_RECOVERING = "recovering"
_EMPTY = "empty"
_VOUCHED = "vouched"

_log = ComponentLogger(prefix="claims")


class ClaimHolder:
    """
    Vote on claims, and refuse keys whose claims may have been lost.

    A holder that starts without its previous claims copies them from the other
    holders of each key before it votes on that key. See docs/design/claims.md
    for why it first waits :data:`VOTE_EXPIRY_SECONDS`.

    Parameters
    ----------
    incarnation : str
        Random identifier of this run of the process.
    journal : ClaimJournal or None
        Persists claims across restarts; ``None`` on a VM without a disk.
    trust_empty_zone : bool
        Assume that no claims exist when all entries of the zone report none; set
        for the first start of a zone.
    """

    def __init__(
        self,
        *,
        own: EntryVm,
        topology: Topology,
        transport: Transport,
        table: ClaimTable,
        clock: Callable[[], Seconds],
        incarnation: str,
        journal: ClaimJournal | None = None,
        trust_empty_zone: bool = False,
    ) -> None:
        self._own = own
        self._topology = topology
        self._transport = transport
        self._table = table
        self._clock = clock
        self._journal = journal
        self._trust_empty_zone = trust_empty_zone
        self._started = clock()
        self._peers = frozenset(
            vm.name for vm in topology.entries_of_zone(own.zone) if vm.name != own.name
        )
        self._copied_peers: set[VmName] = set()
        self._empty_incarnations_by_peer: dict[VmName, str] = {}
        self._vouched_incarnations: frozenset[str] = frozenset()
        self._incarnation = incarnation
        self._needs_recovery = journal is None or not journal.was_intact
        transport.serve(CLAIM_TOPIC, ClaimRequest, self._serve_claim)
        transport.serve(UPDATE_TOPIC, ClaimUpdate, self._serve_update)
        transport.serve_stream(COPY_TOPIC, CopyRequest, self._serve_copy)

    @property
    def ready(self) -> bool:
        """Whether this holder votes on all keys."""
        if not self._needs_recovery:
            return True
        if (
            self._clock() - self._started
            > self._table.life_seconds + VOTE_EXPIRY_SECONDS
        ):
            return True
        return self._old_votes_expired and self._copied_peers >= self._peers

    @property
    def allows_readiness(self) -> bool:
        """Whether recovery no longer keeps the entry from being ready."""
        return self.ready or self._clock() - self._started > READINESS_WAIT_SECONDS

    @property
    def _old_votes_expired(self) -> bool:
        return self._clock() - self._started > VOTE_EXPIRY_SECONDS

    async def claim(self, request: ClaimRequest) -> ClaimReply:
        """Vote on ``request``; a granted vote is first synced to the journal, if any."""
        if not self._is_ready_for(request.key):
            return ClaimReply(Vote.RECOVERING)
        reply = self._table.claim(request)
        if reply.vote is Vote.GRANTED:
            await self._persist(request.key)
        return reply

    async def update(self, update: ClaimUpdate) -> UpdateReply:
        """Record the outcome of an attempt."""
        existing = self._table.get(update.key)
        if self._table.update(update):
            if update.state is ClaimState.RELEASED and _is_claimed_by_attempt(
                existing, update
            ):
                _log.info(
                    "a claim was released",
                    key=update.key.key,
                    owner=update.attempt.owner,
                    attempt=update.attempt.number,
                )
            await self._persist(update.key)
        return UpdateReply(True)

    async def run(self) -> None:
        """Recover lost claims from the peers, then drop claims as they expire."""
        if self._needs_recovery:
            await self._recover()
        while True:
            self._table.expire()
            await asyncio.sleep(COPY_RETRY_SECONDS)

    async def _recover(self) -> None:
        await asyncio.sleep(VOTE_EXPIRY_SECONDS)
        while not self.ready:
            missing = sorted(self._peers - self._copied_peers)
            self._empty_incarnations_by_peer.clear()
            await asyncio.gather(*(self._copy_from(peer) for peer in missing))
            if (
                self._trust_empty_zone
                and self._empty_incarnations_by_peer.keys() >= self._peers
            ):
                self._vouched_incarnations = frozenset(
                    self._empty_incarnations_by_peer.values()
                )
                self._copied_peers |= self._peers
            if not self.ready:
                await asyncio.sleep(COPY_RETRY_SECONDS)
        self._table.sort_by_expiry()
        if self._journal is not None:
            await self._journal.mark_recovered(self._table)
        self._needs_recovery = False
        _log.info("holder is ready", copied=len(self._table))

    async def _copy_from(self, peer: VmName) -> None:
        opened = self._transport.open_stream(
            peer=peer,
            topic=COPY_TOPIC,
            message=CopyRequest(self._own.zone, self._incarnation),
        )
        if isinstance(opened, Failure):
            return
        stream = opened.unwrap()
        is_ready = False
        try:
            while True:
                item = await stream.next_chunk(timeout_seconds=COPY_IDLE_SECONDS)
                if not isinstance(item, Success):
                    return
                data = item.unwrap()
                if data is None:
                    if is_ready:
                        self._copied_peers.add(peer)
                    else:
                        _log.warning("a peer's copy of claims is empty", peer=peer)
                    return
                page = msgspec.msgpack.decode(data, type=CopyPage)
                if page.status != _READY:
                    self._record_peer_status(peer, page)
                    return
                is_ready = True
                for record, lifetime in zip(
                    page.records, page.remaining_seconds, strict=True
                ):
                    self._table.restore(record, lifetime)
        finally:
            stream.cancel()

    def _record_peer_status(self, peer: VmName, page: CopyPage) -> None:
        if page.status == _EMPTY:
            self._empty_incarnations_by_peer[peer] = page.incarnation
        elif page.status == _VOUCHED:
            # The peer confirms that this run was empty at the zone's first start, so
            # no claims were lost.
            self._copied_peers |= self._peers

    async def _serve_claim(self, sender: VmName, message: ClaimRequest) -> ClaimReply:
        return await self.claim(message)

    async def _serve_update(self, sender: VmName, message: ClaimUpdate) -> UpdateReply:
        return await self.update(message)

    async def _serve_copy(
        self, sender: VmName, message: CopyRequest
    ) -> AsyncIterator[bytes]:
        if not self.ready:
            status = _RECOVERING if self._table.has_claims() else _EMPTY
            yield msgspec.msgpack.encode(CopyPage(status, self._incarnation))
            return
        if message.incarnation in self._vouched_incarnations:
            yield msgspec.msgpack.encode(CopyPage(_VOUCHED, self._incarnation))
            return
        yield msgspec.msgpack.encode(CopyPage(_READY))
        shared = (
            item
            for item in self._table.records()
            if sender in holders_of(item[0].key, self._topology)
        )
        for page in _pages(shared):
            yield msgspec.msgpack.encode(page)

    def _is_ready_for(self, key: ClaimKey) -> bool:
        holders = holders_of(key, self._topology)
        if self._own.name not in holders:
            return False
        if self.ready:
            return True
        others = frozenset(holders) - {self._own.name}
        return self._old_votes_expired and self._copied_peers >= others

    async def _persist(self, key: ClaimKey) -> None:
        record = self._table.get(key)
        if self._journal is not None and record is not None:
            await self._journal.append(record, self._table)


def _is_claimed_by_attempt(existing: ClaimRecord | None, update: ClaimUpdate) -> bool:
    return (
        existing is not None
        and existing.state is ClaimState.CLAIMED
        and existing.attempt == update.attempt
    )


def _pages(items: Iterator[tuple[ClaimRecord, Seconds]]) -> Iterator[CopyPage]:
    records: list[ClaimRecord] = []
    lifetimes: list[Seconds] = []
    for record, lifetime in items:
        records.append(record)
        lifetimes.append(lifetime)
        if len(records) == PAGE_RECORDS:
            yield CopyPage(_READY, "", tuple(records), tuple(lifetimes))
            records, lifetimes = [], []
    if records:
        yield CopyPage(_READY, "", tuple(records), tuple(lifetimes))
