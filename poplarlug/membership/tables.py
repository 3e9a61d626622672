"""Anti-entropy: fetches missing records from other entries of the zone."""

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

FETCH_TIMEOUT_SECONDS = 1.0
MAX_CONCURRENT_FETCHES = 3
MIN_REPAIR_INTERVAL_SECONDS = 2.0

TABLES_TOPIC = "membership.tables"

_log = ComponentLogger(prefix="membership")


class TableExchange:
    """
    Fetch the tables of other entries of the zone and answer their requests.

    Parameters
    ----------
    clock : callable
        Returns the event loop's time in seconds.
    is_settled : callable
        Returns whether this entry considers its own tables up to date.
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
        self._last_repair = -MIN_REPAIR_INTERVAL_SECONDS
        self._repairing: asyncio.Task[bool | None] | None = None
        self.detector: FailureDetector | None = None
        transport.serve(TABLES_TOPIC, TablesRequest, self._serve_tables)

    async def fetch_all(self) -> bool:
        """
        Fetch full tables from other entries of the zone.

        Returns
        -------
        bool
            Whether an entry with settled tables answered, or all entries did.
        """
        peers = self._members.others()
        self._rng.shuffle(peers)
        answers: list[bool | None] = []
        while peers and True not in answers:
            batch, peers = (
                peers[:MAX_CONCURRENT_FETCHES],
                peers[MAX_CONCURRENT_FETCHES:],
            )
            fetched = [self._fetch(peer, TablesRequest()) for peer in batch]
            answers += await asyncio.gather(*fetched)
        return True in answers or None not in answers

    def repair_from(self, peer: VmName) -> None:
        """Fetch missing records from ``peer``, rate-limited."""
        now = self._clock()
        if now - self._last_repair < MIN_REPAIR_INTERVAL_SECONDS:
            return
        self._last_repair = now
        known = tuple((a.id, a.incarnation) for a in self._upstreams.all())
        self._repairing = asyncio.ensure_future(self._fetch(peer, TablesRequest(known)))

    def stop(self) -> None:
        if self._repairing is not None:
            self._repairing.cancel()

    async def _fetch(self, peer: VmName, message: TablesRequest) -> bool | None:
        sent_at = self._clock()
        reply = await self._transport.request(
            peer=peer,
            topic=TABLES_TOPIC,
            message=message,
            reply_type=Tables,
            timeout_seconds=FETCH_TIMEOUT_SECONDS,
        )
        if not isinstance(reply, Success):
            return None
        self._apply(reply.unwrap(), self._clock() - sent_at)
        return reply.unwrap().settled

    def _apply(self, tables: Tables, delay: Seconds) -> None:
        # The ages were correct when the reply was sent, at most ``delay`` ago.
        self._upstreams.apply_tombstones(tables.tombstones)
        for record in tables.upstreams:
            self._upstreams.apply(record.announcement, age=record.age + delay)
        for summary in tables.summaries:
            self._summaries.apply(summary._replace(age=summary.age + delay))
        if self.detector is not None:
            self.detector.apply_updates(tables.members)

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
