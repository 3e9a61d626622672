"""Owner of claims: acquires keys, reports outcomes and serves joins."""

import asyncio
from collections import Counter, OrderedDict
from collections.abc import Callable
from random import Random
from typing import TypeVar

from returns.result import Success

from poplarlug.claims.holder import (
    ATTEMPT_SECONDS,
    CLAIM_TOPIC,
    UPDATE_TOPIC,
    ClaimHolder,
)
from poplarlug.claims.placement import holders_of, majority_of
from poplarlug.claims.records import (
    ClaimAttempt,
    ClaimKey,
    ClaimRecord,
    ClaimReply,
    ClaimRequest,
    ClaimState,
    ClaimUpdate,
    JoinReply,
    JoinRequest,
    StoredAnswer,
    UpdateReply,
    Vote,
)
from poplarlug.claims.results import (
    Owned,
    Refused,
    Taken,
    has_ended,
    result_without_majority,
)
from poplarlug.logs import ComponentLogger
from poplarlug.topology import Topology
from poplarlug.transport import Transport
from poplarlug.types import Seconds, VmName

JOIN_TOPIC = "claims.join"

HOLDER_TIMEOUT_SECONDS = 0.5
RESEND_SECONDS = 0.02
UPDATE_WAIT_SECONDS = 0.25
UPDATE_TIMEOUT_SECONDS = 30.0
JOIN_POLL_SECONDS = 2.0
JOIN_GRACE_SECONDS = 1.0
MAX_OUTCOMES = 4096
MAX_JOINS = 256
MAX_UPDATES = 4096

R = TypeVar("R")

_log = ComponentLogger(prefix="claims")


class ClaimOwner:
    """
    Acquire keys from their holders and report request outcomes to them.

    Parameters
    ----------
    incarnation : str
        Random identifier of this run of the process.
    holder : ClaimHolder
        This entry's own holder.
    clock : callable
        Returns the loop's time in seconds.
    """

    def __init__(
        self,
        *,
        incarnation: str,
        topology: Topology,
        transport: Transport,
        holder: ClaimHolder,
        clock: Callable[[], Seconds],
        rng: Random,
    ) -> None:
        self._incarnation = incarnation
        self._topology = topology
        self._transport = transport
        self._holder = holder
        self._clock = clock
        self._rng = rng
        self._last_number = 0
        self._running: dict[ClaimAttempt, asyncio.Future[JoinReply]] = {}
        self._outcomes: OrderedDict[ClaimAttempt, ClaimUpdate] = OrderedDict()
        self._joins = 0
        self._updates: set[asyncio.Task[None]] = set()
        self._reports: set[asyncio.Task[None]] = set()
        transport.serve(JOIN_TOPIC, JoinRequest, self._serve_join)

    async def acquire(self, key: ClaimKey, fingerprint: str) -> Owned | Taken | Refused:
        """
        Make one attempt to own ``key``.

        Only votes received within :data:`ATTEMPT_SECONDS` count, so that a holder
        that lost its claims knows when its earlier votes have expired. An attempt
        without a majority is released and never used again.
        """
        attempt = self._new_attempt()
        request = ClaimRequest(key, attempt, fingerprint)
        # Callers of join() await this future until the request ends.
        self._running[attempt] = asyncio.get_running_loop().create_future()
        owned = False
        try:
            result = await self._collect(request)
            owned = isinstance(result, Owned)
            return result
        finally:
            if not owned:
                self._start_update(request, ClaimState.RELEASED, None)

    async def finish(
        self,
        request: ClaimRequest,
        state: ClaimState,
        answer: StoredAnswer | None = None,
    ) -> None:
        """
        Report the outcome of an attempt to the holders.

        Returns once a majority has it, or after :data:`UPDATE_WAIT_SECONDS`;
        retries to the remaining holders continue in the background.
        """
        task = self._start_update(request, state, answer)
        if task is not None:
            await asyncio.wait({task}, timeout=UPDATE_WAIT_SECONDS)

    def finish_in_background(self, request: ClaimRequest, state: ClaimState) -> None:
        """Report an outcome like :meth:`finish`, without waiting."""
        self._start_update(request, state, None)

    async def wait_until_reported(self, seconds: Seconds) -> None:
        """Wait until a majority of holders has each outcome, at most ``seconds``."""
        reports = set(self._reports)
        if reports:
            _, pending = await asyncio.wait(reports, timeout=seconds)
            if pending:
                _log.warning("outcomes are not reported", outcomes=len(pending))

    async def join(self, record: ClaimRecord, seconds: Seconds) -> JoinReply | None:
        """
        Wait up to ``seconds`` for the end of the attempt that holds the key.

        ``CLAIMED`` means that it is still running, ``UNKNOWN`` that its outcome is
        unknown or its owner has no record of it, and ``None`` that its owner
        can't be reached.
        """
        deadline = self._clock() + seconds
        attempt = record.attempt
        while True:
            wait = min(JOIN_POLL_SECONDS, max(0.0, deadline - self._clock()))
            request = JoinRequest(record.key, attempt, wait)
            if attempt.owner == self._transport.name:
                reply: JoinReply | None = await self._attempt_state(request)
            else:
                reply = await self._join_at_owner(request)
            if reply is None:
                return None
            if reply.state is not ClaimState.CLAIMED or self._clock() >= deadline:
                return reply

    async def _collect(self, request: ClaimRequest) -> Owned | Taken | Refused:
        holders = holders_of(request.key, self._topology)
        deadline = self._clock() + ATTEMPT_SECONDS
        votes: Counter[Vote] = Counter()
        records: list[ClaimRecord] = []
        tasks = [
            asyncio.ensure_future(self._request_vote(holder, request, deadline))
            for holder in holders
        ]
        pending = set(tasks)
        try:
            while pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                for task in (task for task in tasks if task in done):
                    reply = task.result()
                    if reply is None or self._clock() > deadline:
                        continue
                    votes[reply.vote] += 1
                    if reply.record is not None:
                        records.append(reply.record)
                if votes[Vote.GRANTED] >= majority_of(holders):
                    return Owned(request)
                if votes[Vote.HELD] >= majority_of(holders) or has_ended(records):
                    break
        finally:
            for task in tasks:
                task.cancel()
        return result_without_majority(votes, records)

    async def _request_vote(
        self, holder: VmName, request: ClaimRequest, deadline: Seconds
    ) -> ClaimReply | None:
        if holder == self._transport.name:
            return await self._holder.claim(request)
        return await self._request_until(
            holder, CLAIM_TOPIC, request, ClaimReply, deadline
        )

    async def _request_until(
        self,
        holder: VmName,
        topic: str,
        message: ClaimRequest | ClaimUpdate,
        reply_type: type[R],
        deadline: Seconds,
    ) -> R | None:
        resend_seconds = RESEND_SECONDS
        while True:
            left = deadline - self._clock()
            if left <= 0:
                return None
            reply = await self._transport.request(
                peer=holder,
                topic=topic,
                message=message,
                reply_type=reply_type,
                timeout_seconds=min(left, HOLDER_TIMEOUT_SECONDS),
            )
            if isinstance(reply, Success):
                return reply.unwrap()
            await asyncio.sleep(resend_seconds * (0.5 + self._rng.random()))
            resend_seconds = min(resend_seconds * 2, 1.0)

    async def _join_at_owner(self, request: JoinRequest) -> JoinReply | None:
        reply = await self._transport.request(
            peer=request.attempt.owner,
            topic=JOIN_TOPIC,
            message=request,
            reply_type=JoinReply,
            timeout_seconds=request.wait_seconds + JOIN_GRACE_SECONDS,
        )
        if isinstance(reply, Success):
            return reply.unwrap()
        _log.warning(
            "the owner of a claim is silent",
            key=request.key.key,
            owner=request.attempt.owner,
            attempt=request.attempt.number,
            error=reply.failure().message,
        )
        await asyncio.sleep(RESEND_SECONDS)
        return None

    def _start_update(
        self, request: ClaimRequest, state: ClaimState, answer: StoredAnswer | None
    ) -> asyncio.Task[None] | None:
        update = ClaimUpdate(
            request.key, request.attempt, request.fingerprint, state, answer
        )
        self._outcomes[request.attempt] = update._replace(answer=None)
        while len(self._outcomes) > MAX_OUTCOMES:
            self._outcomes.popitem(last=False)
        waiting = self._running.pop(request.attempt, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(JoinReply(state, answer))
        return self._send_update(update)

    def _send_update(self, update: ClaimUpdate) -> asyncio.Task[None] | None:
        if len(self._updates) >= MAX_UPDATES:
            _log.warning("too many pending updates; holders are updated on a join")
            return None
        majority: asyncio.Event = asyncio.Event()
        sending = asyncio.ensure_future(self._update_holders(update, majority))
        self._updates.add(sending)
        sending.add_done_callback(self._updates.discard)
        report = asyncio.ensure_future(_wait(majority))
        self._reports.add(report)
        report.add_done_callback(self._reports.discard)
        return report

    async def _update_holders(
        self, update: ClaimUpdate, majority: asyncio.Event
    ) -> None:
        holders = holders_of(update.key, self._topology)
        deadline = self._clock() + UPDATE_TIMEOUT_SECONDS
        updated = 0

        async def update_holder(holder: VmName) -> None:
            nonlocal updated
            reply: UpdateReply | None
            if holder == self._transport.name:
                reply = await self._holder.update(update)
            else:
                reply = await self._request_until(
                    holder, UPDATE_TOPIC, update, UpdateReply, deadline
                )
            updated += reply is not None
            if updated >= majority_of(holders):
                majority.set()

        try:
            await asyncio.gather(*(update_holder(holder) for holder in holders))
        finally:
            majority.set()

    async def _serve_join(self, sender: VmName, message: JoinRequest) -> JoinReply:
        return await self._attempt_state(message)

    async def _attempt_state(self, request: JoinRequest) -> JoinReply:
        running = self._running.get(request.attempt)
        if running is None:
            outcome = self._outcomes.get(request.attempt)
            if outcome is None:
                return JoinReply(ClaimState.UNKNOWN)
            if outcome.state is ClaimState.RELEASED:
                # The asker saw the claim at a holder that missed the release.
                self._send_update(outcome)
            return JoinReply(outcome.state)
        if self._joins >= MAX_JOINS:
            return JoinReply(ClaimState.CLAIMED)
        self._joins += 1
        try:
            async with asyncio.timeout(request.wait_seconds):
                return await asyncio.shield(running)
        except TimeoutError:
            return JoinReply(ClaimState.CLAIMED)
        finally:
            self._joins -= 1

    def _new_attempt(self) -> ClaimAttempt:
        self._last_number += 1
        return ClaimAttempt(self._transport.name, self._incarnation, self._last_number)


async def _wait(event: asyncio.Event) -> None:
    await event.wait()
