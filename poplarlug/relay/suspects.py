"""Isolates and quarantines requests under which upstreams crashed."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any, TypeAlias

from prometheus_client import Counter

from poplarlug.discovery.crash_marks import (
    MAX_MARKS,
    CrashMark,
    CrashMarks,
    Verdict,
    compute_verdict,
    format_fingerprint,
)
from poplarlug.discovery.deployment import Deployment
from poplarlug.discovery.records import ServiceUpstream
from poplarlug.errors import GatewayError, quarantined
from poplarlug.latest import Latest
from poplarlug.logs import ComponentLogger
from poplarlug.metrics import REGISTRY
from poplarlug.relay.context import Outcome, RequestContext
from poplarlug.relay.crash_scope import CrashScope
from poplarlug.relay.crash_watch import (
    LISTED_PARTS,
    Crash,
    CrashWatch,
    InterruptedSend,
)
from poplarlug.types import Fingerprint, Seconds, UpstreamId

LOCK_WAIT_SECONDS = 1.0
"""Maximum wait for a suspect's lock; two plain requests or a short stream end in it."""

LISTED_RUNS = 6
"""Maximum number of crashed upstreams in one log line."""

_REFUSED = Counter(
    "poplarlug_relay_quarantine_refusals_total",
    "Requests refused because upstreams crashed under earlier sends of them.",
    registry=REGISTRY,
)
_QUARANTINED = Counter(
    "poplarlug_relay_quarantined_total",
    "Requests that came into quarantine in the view of this entry.",
    registry=REGISTRY,
)
_SUSPECT_SENDS = Counter(
    "poplarlug_relay_suspect_sends_total",
    "Sends of requests that ran apart from other suspects.",
    registry=REGISTRY,
)

_log = ComponentLogger(prefix="relay")


class SuspectLocks:
    """Locks that allow one suspect per upstream, and one run of a suspect at a time."""

    def __init__(self) -> None:
        self._locked_keys: set[_LockKey] = set()
        self._changed: Latest[int] = Latest(initial=0)

    async def acquire(
        self, fingerprint: Fingerprint, upstream_id: UpstreamId, seconds: Seconds
    ) -> "SuspectLock | None":
        """Acquire a lock, or return ``None`` if it isn't available in ``seconds``."""
        keys: frozenset[_LockKey] = frozenset({fingerprint, upstream_id})
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait_for(lambda _: not self._locked_keys & keys)
        except TimeoutError:
            return None
        if self._locked_keys & keys:
            # Another waiter acquired one of the keys first.
            return None
        self._locked_keys |= keys
        return SuspectLock(locks=self, fingerprint=fingerprint, upstream_id=upstream_id)

    def release(self, key: "_LockKey") -> None:
        self._locked_keys.discard(key)
        self._changed.set(self._changed.value + 1)


class SuspectLock:
    """Lock of a suspect at an upstream; :meth:`release` must be called once."""

    def __init__(
        self, *, locks: SuspectLocks, fingerprint: Fingerprint, upstream_id: UpstreamId
    ) -> None:
        self._locks = locks
        self._fingerprint = fingerprint
        self._upstream_id = upstream_id

    def release(self, crash_check: "asyncio.Future[Any] | None") -> None:
        """
        Release the upstream for the next suspect.

        Parameters
        ----------
        crash_check : asyncio.Future or None
            The request itself stays locked until this is done.
        """
        self._locks.release(self._upstream_id)
        if crash_check is None:
            self._locks.release(self._fingerprint)
        else:
            crash_check.add_done_callback(
                lambda _: self._locks.release(self._fingerprint)
            )


class Suspects:
    """
    Count upstream crashes per request and quarantine the requests that cause them.

    Load pattern: one request crashes each upstream that runs it and is retried at any
    entry, while up to a full batch of healthy requests runs alongside it; or many
    upstreams crash at once for another reason. The first crash has no effect on a
    request. After two crashes it is a suspect and runs isolated from other suspects,
    at a single entry, so that a further crash distinguishes it from requests that only
    ran alongside the cause. A complete response clears it everywhere.

    Parameters
    ----------
    marks : CrashMarks
        Crash marks, shared with all VMs.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        marks: CrashMarks,
        rng: Random,
        clock: Callable[[], Seconds],
    ) -> None:
        self._marks = marks
        self._scope = CrashScope(deployment=deployment, rng=rng)
        self._locks = SuspectLocks()
        self._quarantined: set[Fingerprint] = set()
        self._watch = CrashWatch(
            deployment=deployment,
            clock=clock,
            on_crash=self._note_crash,
            on_return=marks.withdraw_run,
        )

    def verdict(self, context: RequestContext) -> Verdict:
        """Return the verdict on a request, without hashing it if there are no marks."""
        if self._marks.is_empty:
            return Verdict.CLEAR
        fingerprint = context.fingerprint
        verdict = compute_verdict(self._marks.active_for(fingerprint))
        if verdict is not Verdict.CLEAR:
            context.trace.note(
                fingerprint=format_fingerprint(fingerprint), verdict=verdict.value
            )
        if verdict is not Verdict.QUARANTINED:
            self._quarantined.discard(fingerprint)
        return verdict

    def refusal(self, context: RequestContext, now: Seconds) -> GatewayError:
        """Return the final error for a quarantined request, and log the evidence."""
        fingerprint = context.fingerprint
        marks = self._marks.active_for(fingerprint)
        evidence: dict[str, Any] = {
            "crashes": len(marks),
            "apart": sum(mark.apart for mark in marks),
            "alone": sum(mark.alone for mark in marks),
            "upstreams": [mark.run.id for mark in marks[:LISTED_RUNS]],
            "newest_seconds": round(min(mark.age_seconds for mark in marks), 1),
            "oldest_seconds": round(max(mark.age_seconds for mark in marks), 1),
        }
        context.trace.step("quarantined", now, **evidence)
        _REFUSED.inc()
        if fingerprint not in self._quarantined:
            if len(self._quarantined) >= MAX_MARKS:
                self._quarantined.clear()
            self._quarantined.add(fingerprint)
            _QUARANTINED.inc()
            _log.warning(
                "quarantined a request",
                fingerprint=format_fingerprint(fingerprint),
                route=context.request.route.name,
                request_id=context.request.id,
                **evidence,
            )
        return quarantined(len(marks))

    async def acquire_lock(
        self, context: RequestContext, upstream: ServiceUpstream, seconds: Seconds
    ) -> SuspectLock | None:
        """Acquire a suspect's lock, or return ``None`` on timeout."""
        lock = await self._locks.acquire(
            context.fingerprint, upstream.id, min(LOCK_WAIT_SECONDS, seconds)
        )
        if lock is not None:
            _SUSPECT_SENDS.inc()
        return lock

    def note_outcome(
        self,
        context: RequestContext,
        upstream: ServiceUpstream,
        outcome: Outcome | None,
        *,
        apart: bool,
    ) -> "asyncio.Future[Any] | None":
        """
        Record the outcome of a send to an upstream.

        Parameters
        ----------
        outcome : Outcome or None
            ``None`` if the caller disconnected before the end.
        apart : bool
            Whether it was sent under a suspect's lock.

        Returns
        -------
        asyncio.Future or None
            Done once the crash check of the send is complete; ``None`` if the send
            gives no indication of a crash.
        """
        if outcome is not None and outcome.is_complete:
            self._watch.note_response(upstream)
            self._clear(context)
            return None
        if outcome is not None and not outcome.may_have_run:
            return None
        fingerprint = context.fingerprint
        parts = context.request.prompt.shared_parts
        context.trace.note(
            fingerprint=format_fingerprint(fingerprint),
            parts=[part.id for part in parts[:LISTED_PARTS]],
        )
        is_silent = outcome is None or not outcome.connection_lost
        crashed = self._watch.note_interrupted_send(
            InterruptedSend(fingerprint, upstream, is_silent, parts)
        )
        if not apart:
            return crashed
        return asyncio.ensure_future(
            self._mark_if_crashed(fingerprint, upstream, crashed)
        )

    async def _mark_if_crashed(
        self,
        fingerprint: Fingerprint,
        upstream: ServiceUpstream,
        crashed: "asyncio.Future[bool]",
    ) -> None:
        """Mark an isolated request after a crash, as the cause if no others crashed."""
        if not await crashed:
            return
        mark = CrashMark(fingerprint, upstream.run, apart=True)
        self._marks.add_and_queue(mark)
        excluded = {mark.run for mark in self._marks.active_for(fingerprint)}
        is_widespread = await self._scope.is_widespread(upstream, excluded)
        _log.info(
            "a suspect ran apart when its upstream crashed",
            fingerprint=format_fingerprint(fingerprint),
            upstream=upstream.id,
            others_crashed=is_widespread,
        )
        if not is_widespread:
            self._marks.add_and_queue(mark._replace(alone=True))

    def _clear(self, context: RequestContext) -> None:
        if self._marks.is_empty:
            return
        crashes = self._marks.withdraw(context.fingerprint)
        if crashes:
            _log.info(
                "cleared a request by a whole answer",
                fingerprint=format_fingerprint(context.fingerprint),
                request_id=context.request.id,
                crashes=crashes,
            )

    def _note_crash(self, crash: Crash) -> None:
        for fingerprint in crash.fingerprints:
            self._marks.add_and_queue(CrashMark(fingerprint, crash.upstream.run))


_LockKey: TypeAlias = Fingerprint | UpstreamId
