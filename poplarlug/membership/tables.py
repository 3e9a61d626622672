"""Anti-entropy: fetches what this entry lacks from others of its zone."""

import asyncio
from collections.abc import Callable
from random import Random

from returns.result import Success

from poplarlug.logs import ComponentLogger
from poplarlug.membership.failure_detector import FailureDetector
from poplarlug.membership.members import MemberTable
from poplarlug.membership.messages import Tables, TablesRequest
from poplarlug.membership.summaries import SummaryTable
from poplarlug.membership.upstreams import UpstreamTable
from poplarlug.transport import Transport
from poplarlug.types import Seconds, VmName

FETCH_SECONDS = 1.0
FETCH_PEERS = 3
REPAIR_SECONDS = 2.0

TABLES_TOPIC = "membership.tables"

_log = ComponentLogger(prefix="membership")


class TableExchange:
    """
    Ask other entries of the zone for their tables and answer them.

    Parameters
    ----------
    clock : callable
        Returns the loop's time in seconds.
    is_settled : callable
        Returns whether this entry trusts its own tables.
    """

    def __init__(
        self,
        *,
        members: MemberTable,
        upstreams: UpstreamTable,
        summaries: SummaryTable,
        transport: Transport,
        rng: Random,
        clock: Callable[[], Seconds],
        is_settled: Callable[[], bool],
    ) -> None:
        self._members = members
        self._upstreams = upstreams
        self._summaries = summaries
        self._transport = transport
        self._rng = rng
        self._clock = clock
        self._is_settled = is_settled
        self._last_repair = -REPAIR_SECONDS
        self._repairing: asyncio.Task[bool | None] | None = None
        self.detector: FailureDetector | None = None
        transport.serve(TABLES_TOPIC, TablesRequest, self._serve_tables)

    async def fetch_all(self) -> bool:
        """
        Fetch whole tables from other entries of the zone.

        Returns
        -------
        bool
            Whether an entry answered that trusts its tables, or all did.
        """
        peers = self._members.others()
        self._rng.shuffle(peers)
        answers: list[bool | None] = []
        while peers and True not in answers:
            asked, peers = peers[:FETCH_PEERS], peers[FETCH_PEERS:]
            fetched = [self._fetch(peer, TablesRequest()) for peer in asked]
            answers += await asyncio.gather(*fetched)
        return True in answers or None not in answers

    def repair_from(self, peer: VmName) -> None:
        """Fetch what ``peer`` holds and this entry lacks, not too often."""
        now = self._clock()
        if now - self._last_repair < REPAIR_SECONDS:
            return
        self._last_repair = now
        known = tuple((a.id, a.incarnation) for a in self._upstreams.all())
        self._repairing = asyncio.ensure_future(self._fetch(peer, TablesRequest(known)))

    def stop(self) -> None:
        if self._repairing is not None:
            self._repairing.cancel()

    async def _fetch(self, peer: VmName, message: TablesRequest) -> bool | None:
        asked = self._clock()
        reply = await self._transport.request(
            peer=peer,
            topic=TABLES_TOPIC,
            message=message,
            reply_type=Tables,
            timeout_seconds=FETCH_SECONDS,
        )
        if not isinstance(reply, Success):
            return None
        self._take(reply.unwrap(), self._clock() - asked)
        return reply.unwrap().settled

    def _take(self, tables: Tables, delay: Seconds) -> None:
        # The reply's ages were true when it left, at most ``delay`` ago.
        self._upstreams.take_tombstones(tables.tombstones)
        for record in tables.upstreams:
            self._upstreams.take(record.announcement, age=record.age + delay)
        for summary in tables.summaries:
            self._summaries.take(summary._replace(age=summary.age + delay))
        if self.detector is not None:
            self.detector.take(tables.members)

    async def _serve_tables(self, sender: VmName, message: TablesRequest) -> Tables:
        settled, members = self._is_settled(), self._members.all()
        if message.known is None:
            return Tables(
                settled,
                members,
                self._upstreams.records(),
                self._upstreams.tombstones(),
                tuple(self._summaries.fresh()),
            )
        known = dict(message.known)
        records = tuple(
            record
            for record in self._upstreams.records()
            if known.get(record.announcement.id) != record.announcement.incarnation
        )
        tombstones = tuple(t for t in self._upstreams.tombstones() if t.id in known)
        return Tables(settled, members, records, tombstones, ())
