"""Keeps an entry's view of the deployment up by polling one control replica."""

import asyncio
from collections.abc import Callable, Iterable
from random import Random
from typing import Any, NamedTuple

from returns.result import Failure, Success

from poplarlug.discovery.crash_marks import CrashMarks
from poplarlug.discovery.deployment import Deployment
from poplarlug.discovery.messages import (
    LIMITS_TOPIC,
    MARKS_TOPIC,
    POLL_TOPIC,
    LimitsReceived,
    LimitsReport,
    MarksReceived,
    MarksReport,
    Poll,
    PollReply,
    ServiceDemand,
    WaitingCount,
)
from poplarlug.discovery.named_limits import NamedLimits
from poplarlug.discovery.records import EntryRecord, UpstreamLoad
from poplarlug.logs import ComponentLogger
from poplarlug.transport import Transport, TransportErrorKind
from poplarlug.types import Address, Seconds, ZoneName

HOLD_SECONDS = 0.25
"""Longest wait of a poll in the own zone; it bounds the age of the others' loads."""

FAR_HOLD_SECONDS = 1.0
"""The same towards another zone, where bytes cost."""

REPLY_SECONDS = 1.0
"""Beyond the hold: a reply that takes longer means that the replica is lost."""

RETRY_SECONDS = 0.1
LINK_SECONDS = 0.4
"""How long a link to a replica may take to stand; some round trips between regions."""

CURRENT_SECONDS = 0.3
"""How long an entry that follows nobody waits for a replica in touch with the leader
after another one answered; the farthest answer takes about that longer."""

LINK_PAUSE_SECONDS = 0.05
LOOK_NEARER_SECONDS = 5.0
"""How often a replica of the own zone is looked for while another one is used."""

MIN_PERIOD_SECONDS = 0.05
"""Shortest time between two polls, so that a burst of news costs one."""

_log = ComponentLogger(prefix="discovery")


class OwnLoads(NamedTuple):
    """What this entry has running and waiting, and what it is asked for."""

    loads: tuple[UpstreamLoad, ...] = ()
    waiting: tuple[WaitingCount, ...] = ()
    demands: tuple[ServiceDemand, ...] = ()


class Subscriber:
    """
    Poll a control replica for news, and report the entry's own state and loads.

    A replica of the own zone is preferred. Another one is taken when it gives no
    answer, or is out of touch with the leader of its group.

    Parameters
    ----------
    zone : ZoneName
        The own zone.
    record : callable
        Returns this entry's record of the moment.
    own_loads : callable
        Returns what this entry has running and waiting.
    marks : CrashMarks
        This entry's, kept in step with those of all others.
    limits : NamedLimits
        The same for limits that upstreams named.
    """

    def __init__(
        self,
        *,
        zone: ZoneName,
        deployment: Deployment,
        marks: CrashMarks,
        limits: NamedLimits,
        transport: Transport,
        seeds: Iterable[Address],
        record: Callable[[], EntryRecord],
        own_loads: Callable[[], OwnLoads],
        rng: Random,
        clock: Callable[[], Seconds],
    ) -> None:
        self._zone = zone
        self._deployment = deployment
        self._marks = marks
        self._marks_known = 0
        self._limits = limits
        self._limits_known = 0
        self._transport = transport
        self._seeds = tuple(seeds)
        self._known: tuple[Address, ...] = ()
        self._record = record
        self._own_loads = own_loads
        self._rng = rng
        self._clock = clock
        self._replica: Address | None = None
        self._registry_id = ""
        self._revision = 0
        self._lacks_whole = True
        self._zones_by_replica: dict[Address, ZoneName] = {}
        self._looked_nearer_at = float("-inf")
        self._poke = asyncio.Event()

    def replace_seeds(self, seeds: Iterable[Address]) -> None:
        """Take new seeds from changed settings."""
        self._seeds = tuple(seeds)

    def report_now(self) -> None:
        """Send a poll beside the one that waits, because the own state changed."""
        self._poke.set()

    async def run(self) -> None:
        """Poll until cancelled."""
        reporting = [
            asyncio.ensure_future(self._report_changes()),
            asyncio.ensure_future(self._report_marks()),
            asyncio.ensure_future(self._report_limits()),
        ]
        try:
            while True:
                started = self._clock()
                if not await self._poll_any():
                    await asyncio.sleep(RETRY_SECONDS * (1 + self._rng.random()))
                rest = MIN_PERIOD_SECONDS - (self._clock() - started)
                if rest > 0:
                    await asyncio.sleep(rest)
        finally:
            for task in reporting:
                task.cancel()

    async def _report_marks(self) -> None:
        """Tell the followed replica what this entry marked, until cancelled."""
        while True:
            replica = await self._wait_for_news(self._marks.has_news)
            news = self._marks.take_news()
            report = MarksReport(news)
            if not await self._tell(replica, MARKS_TOPIC, report, MarksReceived):
                self._marks.put_back(news)
                await asyncio.sleep(RETRY_SECONDS)

    async def _report_limits(self) -> None:
        """Tell the followed replica what upstreams named here, until cancelled."""
        while True:
            replica = await self._wait_for_news(self._limits.has_news)
            news = self._limits.take_news()
            report = LimitsReport(news)
            if not await self._tell(replica, LIMITS_TOPIC, report, LimitsReceived):
                self._limits.put_back(news)
                await asyncio.sleep(RETRY_SECONDS)

    async def _wait_for_news(self, has_news: asyncio.Event) -> Address:
        """Return the followed replica once there is one and news for it."""
        while True:
            await has_news.wait()
            if self._replica is not None:
                return self._replica
            await asyncio.sleep(RETRY_SECONDS)

    async def _tell(
        self, replica: Address, topic: str, report: object, reply_type: type[Any]
    ) -> bool:
        """Return whether a replica took a report."""
        reply = await self._transport.request(
            peer=replica,
            topic=topic,
            message=report,
            reply_type=reply_type,
            timeout_seconds=REPLY_SECONDS,
        )
        if isinstance(reply, Failure):
            reason = reply.failure().message
            _log.warning("can't report", topic=topic, replica=replica, reason=reason)
            return False
        return True

    async def _report_changes(self) -> None:
        while True:
            await self._poke.wait()
            self._poke.clear()
            if self._replica is not None:
                await self._request(self._replica, self._make_poll(False, 0.0), 0.0)

    async def _poll_any(self) -> bool:
        if self._replica is None:
            return await self._poll_all()
        return await self._poll_in_turn()

    async def _poll_all(self) -> bool:
        """
        Poll all replicas at once, as nothing is served before the first answer.

        Load pattern: all VMs come back after a loss of power, and callers wait.
        """
        asked = self._clock()
        polls = {
            asyncio.ensure_future(
                self._request(replica, self._make_poll(False, 0.0), 0.0)
            ): replica
            for replica in self._candidates()
        }
        stale: tuple[Address, PollReply] | None = None
        waits: Seconds | None = None
        pending = set(polls)
        try:
            while pending:
                done, pending = await asyncio.wait(
                    pending, timeout=waits, return_when=asyncio.FIRST_COMPLETED
                )
                if not done:
                    break
                for poll in done:
                    reply = poll.result()
                    if reply is None:
                        continue
                    self._zones_by_replica[polls[poll]] = reply.zone
                    if reply.current:
                        self._follow(polls[poll], reply, asked)
                        return True
                    if stale is None or _is_newer(reply, stale[1]):
                        stale = polls[poll], reply
                    waits = CURRENT_SECONDS
        finally:
            for poll in pending:
                poll.cancel()
        if stale is None:
            return False
        self._follow(*stale, asked)
        return True

    async def _poll_in_turn(self) -> bool:
        """Poll replicas in turn until one is in touch with its leader."""
        stale: tuple[Address, PollReply, Seconds] | None = None
        for replica in self._candidates():
            is_followed = replica == self._replica
            hold = self._hold_seconds(replica) if is_followed else 0.0
            poll = self._make_poll(is_followed, hold)
            asked = self._clock()
            reply = await self._request(replica, poll, hold)
            if reply is None:
                continue
            self._zones_by_replica[replica] = reply.zone
            if reply.current:
                self._follow(replica, reply, asked)
                return True
            stale = stale or (replica, reply, asked)
        if stale is not None:
            # A zone that is cut off goes on with the replica that it reaches.
            self._follow(*stale)
            return True
        if self._replica is not None:
            _log.warning("lost all control replicas", last=self._replica)
            self._replica = None
        return False

    def _candidates(self) -> list[Address]:
        known = list(dict.fromkeys([*self._known, *self._seeds]))
        self._rng.shuffle(known)
        known.sort(
            key=lambda replica: self._zones_by_replica.get(replica) != self._zone
        )
        if self._replica is None or self._looks_nearer():
            return known
        return [self._replica, *(one for one in known if one != self._replica)]

    def _looks_nearer(self) -> bool:
        assert self._replica is not None
        if self._zones_by_replica.get(self._replica) == self._zone:
            return False
        if self._clock() - self._looked_nearer_at < LOOK_NEARER_SECONDS:
            return False
        self._looked_nearer_at = self._clock()
        return True

    def _hold_seconds(self, replica: Address) -> Seconds:
        is_near = self._zones_by_replica.get(replica) == self._zone
        return HOLD_SECONDS if is_near else FAR_HOLD_SECONDS

    def _make_poll(self, is_followed: bool, hold: Seconds) -> Poll:
        own = self._own_loads()
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
        )

    async def _request(
        self, replica: Address, poll: Poll, hold: Seconds
    ) -> PollReply | None:
        link_deadline = self._clock() + LINK_SECONDS
        while True:
            reply = await self._transport.request(
                peer=replica,
                topic=POLL_TOPIC,
                message=poll,
                reply_type=PollReply,
                timeout_seconds=hold + REPLY_SECONDS,
            )
            if isinstance(reply, Success):
                return reply.unwrap()
            failure = reply.failure()
            is_connecting = failure.kind is TransportErrorKind.NOT_SENT
            if not is_connecting or self._clock() >= link_deadline:
                _log.debug("poll failed", replica=replica, reason=failure.message)
                return None
            await asyncio.sleep(LINK_PAUSE_SECONDS)

    def _follow(self, replica: Address, reply: PollReply, asked: Seconds) -> None:
        if replica != self._replica:
            _log.info(
                "follows a control replica",
                replica=replica,
                zone=reply.zone,
                current=reply.current,
                whole=reply.whole,
                revision=reply.revision,
            )
        self._deployment.take(reply, asked)
        for mark in reply.marks:
            self._marks.add(mark)
        self._marks_known = reply.marks_revision
        for limit in reply.limits:
            self._limits.add(limit)
        self._limits_known = reply.limits_revision
        if reply.whole:
            self._lacks_whole = False
        elif reply.registry_id != self._registry_id:
            self._lacks_whole = True
        if reply.registry_id != self._registry_id:
            # A replica that has just started may know nothing of them.
            self._marks.tell_again()
            self._limits.tell_again()
        self._replica = replica
        self._registry_id = reply.registry_id
        self._revision = reply.revision
        self._known = reply.control


def _is_newer(reply: PollReply, other: PollReply) -> bool:
    """Return whether a replica knows a later state of the routes than another."""
    known = [0 if r.routing is None else r.routing.revision for r in (reply, other)]
    return known[0] > known[1]
