"""At-most-once execution of requests that must not be repeated."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random

import xxhash

from poplarlug.catalog import Account
from poplarlug.claims.owner import ClaimOwner
from poplarlug.claims.placement import home_zone
from poplarlug.claims.records import (
    ClaimAttempt,
    ClaimKey,
    ClaimRecord,
    ClaimRequest,
    ClaimState,
    StoredAnswer,
    Vote,
)
from poplarlug.claims.results import Owned, Refused
from poplarlug.errors import (
    GatewayError,
    answer_not_kept,
    claims_unreachable,
    in_progress,
    key_reused,
    no_home_zone,
    outcome_unknown,
)
from poplarlug.serving.answers import AnswerHead, AnswerSink
from poplarlug.serving.recording import RecordingSink
from poplarlug.serving.requests import GatewayRequest
from poplarlug.topology import Topology

JOIN_SECONDS = 10.0
MAX_RUN_SECONDS = 300.0
MAX_CLAIM_ATTEMPTS = 6
MAX_OWNER_TIMEOUTS = 2
"""Timeouts after which an owner counts as lost; a single message may get lost."""

FIRST_BACKOFF_SECONDS = 0.01
RETRY_AFTER_SECONDS = 1.0
RECOVERING_RETRY_AFTER_SECONDS = 5.0
FULL_RETRY_AFTER_SECONDS = 30.0

RunRequest = Callable[[GatewayRequest, AnswerSink], Awaitable[GatewayError | None]]


class AtMostOnce:
    """
    Claim a request's key, run the request and record its outcome.

    Parameters
    ----------
    rng : random.Random
        Source of the backoff jitter between claim attempts.
    """

    def __init__(self, *, owner: ClaimOwner, topology: Topology, rng: Random) -> None:
        self._owner = owner
        self._topology = topology
        self._rng = rng

    async def serve(
        self,
        request: GatewayRequest,
        account: Account,
        sink: AnswerSink,
        run: RunRequest,
    ) -> GatewayError | None:
        """
        Run ``request`` with ``run``, or replay the answer of its first run.

        Returns
        -------
        GatewayError or None
            ``None`` once the whole answer was delivered.
        """
        zone = home_zone(request.key, account, self._topology)
        if zone is None:
            return no_home_zone(account.name)
        key = ClaimKey(zone, account.name, request.key)
        fingerprint = fingerprint_of(request)
        backoff = FIRST_BACKOFF_SECONDS
        timeouts_by_attempt: Counter[ClaimAttempt] = Counter()
        for _ in range(MAX_CLAIM_ATTEMPTS):
            result = await self._owner.acquire(key, fingerprint)
            if isinstance(result, Owned):
                return await self._run_owned(result.request, request, sink, run)
            if isinstance(result, Refused):
                return _refusal(zone, result.reason, request.first_send)
            if result.record.fingerprint != fingerprint:
                return key_reused(request.key)
            joined = await self._join(result.record, timeouts_by_attempt)
            if isinstance(joined, GatewayError):
                return joined
            if joined is not None:
                await _replay(joined, sink)
                return None
            await asyncio.sleep(backoff * (0.5 + self._rng.random()))
            backoff *= 2
        return in_progress(RETRY_AFTER_SECONDS)

    async def _join(
        self, record: ClaimRecord, timeouts_by_attempt: Counter[ClaimAttempt]
    ) -> StoredAnswer | GatewayError | None:
        """Return the answer or error of the first run, or ``None`` to claim again."""
        state, answer = record.state, record.answer
        if state is ClaimState.CLAIMED:
            if timeouts_by_attempt[record.attempt] >= MAX_OWNER_TIMEOUTS:
                return _may_have_run()
            reply = await self._owner.join(record, JOIN_SECONDS)
            if reply is None:
                # The holders may know the attempt's outcome by now; ask them again.
                timeouts_by_attempt[record.attempt] += 1
                return None
            state, answer = reply
            if state is ClaimState.DONE and answer is None:
                # The owner no longer has the answer, but the holders do.
                return None
        if state is ClaimState.RELEASED:
            return None
        if state is ClaimState.CLAIMED:
            return in_progress(RETRY_AFTER_SECONDS)
        if state is ClaimState.DONE:
            return answer or answer_not_kept()
        return _may_have_run()

    async def _run_owned(
        self,
        claim: ClaimRequest,
        request: GatewayRequest,
        sink: AnswerSink,
        run: RunRequest,
    ) -> GatewayError | None:
        recorder = RecordingSink(target=sink)
        try:
            async with asyncio.timeout(MAX_RUN_SECONDS):
                error = await run(request, recorder)
        except TimeoutError:
            error = outcome_unknown(f"No whole answer came in {MAX_RUN_SECONDS} s.")
        except BaseException:
            self._owner.finish_in_background(claim, ClaimState.UNKNOWN)
            raise
        if error is None:
            await self._owner.finish(claim, ClaimState.DONE, recorder.answer)
            await recorder.deliver()
            return None
        if error.ran is False and not recorder.started:
            await self._owner.finish(claim, ClaimState.RELEASED)
        else:
            await self._owner.finish(claim, ClaimState.UNKNOWN)
        return error


def _may_have_run() -> GatewayError:
    return outcome_unknown(
        "An earlier request with this key may have run; it won't run again."
    )


def fingerprint_of(request: GatewayRequest) -> str:
    """Return a hash of the request parts that a resend must match."""
    parts = (request.method, request.service or "", request.path, request.content_type)
    hashed = xxhash.xxh3_128("\0".join(parts).encode())
    hashed.update(request.body)
    return hashed.hexdigest()


def _refusal(zone: str, reason: Vote | None, first_send: bool) -> GatewayError:
    message = f"The entries of zone {zone!r}, which hold this key, can't be reached."
    retry_after_seconds = RETRY_AFTER_SECONDS
    if reason is Vote.RECOVERING:
        message = f"Zone {zone!r} lost claims and can't tell yet whether the key ran."
        retry_after_seconds = RECOVERING_RETRY_AFTER_SECONDS
    elif reason is Vote.FULL:
        message = "Too many keys are held for this account; ask again later."
        retry_after_seconds = FULL_RETRY_AFTER_SECONDS
    return claims_unreachable(message, retry_after_seconds, first_send=first_send)


async def _replay(answer: StoredAnswer, sink: AnswerSink) -> None:
    await sink.start(
        AnswerHead(
            status=answer.status,
            content_type=answer.content_type,
            content_length=len(answer.body),
            served_by=answer.served_by,
            zone=answer.zone,
        )
    )
    await sink.write(answer.body)
    await sink.finish()
