"""Isolates and quarantines requests and prompt parts under which upstreams crashed."""

import asyncio
from collections.abc import Callable, Iterable, Sequence
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
from poplarlug.discovery.records import ServiceUpstream, UpstreamRun
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
from poplarlug.relay.ended_runs import EndedRuns
from poplarlug.types import Fingerprint, Seconds, UpstreamId

LOCK_WAIT_SECONDS = 1.0
"""Maximum wait for a suspect's lock; two plain requests or a short stream end in it."""

LISTED_RUNS = 6
"""Maximum number of crashed upstreams in one log line."""

PRESUMED_SECONDS = 3.0
"""A crash this soon after a success with a prompt part doesn't count against the part. A
part that becomes deadly is counted from then on."""

MAX_ANSWERED_PARTS = 4096
"""Maximum number of parts whose last success is remembered, about 0.5 MB."""

MAX_PARTS_PER_CRASH = 128
"""Maximum number of parts marked for one crash; further ones, which callers could list
without limit, are left out unless they have more marks."""

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
        self,
        suspects: Sequence[Fingerprint],
        upstream_id: UpstreamId,
        seconds: Seconds,
    ) -> "SuspectLock | None":
        """
        Acquire a lock, or return ``None`` if it isn't available in ``seconds``.

        Parameters
        ----------
        suspects : sequence of Fingerprint
            The request or the parts of its prompt, the most specific one first.
        """
        keys: frozenset[_LockKey] = frozenset({*suspects, upstream_id})
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait_for(lambda _: not self._locked_keys & keys)
        except TimeoutError:
            return None
        if self._locked_keys & keys:
            # Another waiter acquired one of the keys first.
            return None
        self._locked_keys |= keys
        return SuspectLock(locks=self, suspects=suspects, upstream_id=upstream_id)

    def release(self, key: "_LockKey") -> None:
        self._locked_keys.discard(key)
        self._changed.set(self._changed.value + 1)


class SuspectLock:
    """Lock of a suspect at an upstream; :meth:`release` must be called once."""

    def __init__(
        self,
        *,
        locks: SuspectLocks,
        suspects: Sequence[Fingerprint],
        upstream_id: UpstreamId,
    ) -> None:
        self._locks = locks
        self._charged, *self._others = suspects
        self._upstream_id = upstream_id

    def release(self, crash_check: "asyncio.Future[Any] | None") -> None:
        """
        Release the upstream for the next suspect.

        Parameters
        ----------
        crash_check : asyncio.Future or None
            The most specific suspect, which a crash is charged to, stays locked until
            this is done.
        """
        self._locks.release(self._upstream_id)
        for suspect in self._others:
            self._locks.release(suspect)
        if crash_check is None:
            self._locks.release(self._charged)
        else:
            crash_check.add_done_callback(lambda _: self._locks.release(self._charged))


class Suspects:
    """
    Count upstream crashes and quarantine the requests and prompt parts that cause them.

    Load pattern: one request, or a prompt part in requests of which no two are alike,
    crashes each upstream that runs it and arrives again at any entry, while up to a
    full batch of healthy requests runs alongside it; or many upstreams crash at once
    for another reason. The first crash has no effect on a request or part. After two
    crashes it is a suspect and runs isolated from other suspects, at a single entry, so
    that a further crash distinguishes it from those that only ran alongside the cause.
    A complete response clears a request everywhere, a success the parts of its prompt.

    A crash of an isolated request is charged to its most specific suspect: itself, else
    the last suspected part of its prompt, as healthy requests share the parts before
    that and clear them.

    Parameters
    ----------
    marks : CrashMarks
        Crash marks, shared with all VMs.
    ended_runs : EndedRuns
        Told of upstreams at whose address nothing listens.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        marks: CrashMarks,
        ended_runs: EndedRuns,
        rng: Random,
        clock: Callable[[], Seconds],
    ) -> None:
        self._marks = marks
        self._rng = rng
        self._clock = clock
        self._answered_at_by_part: dict[Fingerprint, Seconds] = {}
        self._scope = CrashScope(deployment=deployment, rng=rng)
        self._locks = SuspectLocks()
        self._quarantined: set[Fingerprint] = set()
        self._watch = CrashWatch(
            deployment=deployment,
            clock=clock,
            on_crash=self._note_crash,
            on_return=self._note_return,
            ended_runs=ended_runs,
        )
        self._deployment = deployment
        deployment.changed.subject.subscribe(lambda _: self._recheck_returns())

    def verdict(self, context: RequestContext) -> Verdict:
        """Return the verdict on a request, without hashing it if there are no marks."""
        verdicts = self._verdicts_by_fingerprint(context)
        if not verdicts:
            return Verdict.CLEAR
        context.trace.note(
            verdicts={format_fingerprint(f): v.value for f, v in verdicts.items()}
        )
        if Verdict.QUARANTINED in verdicts.values():
            return Verdict.QUARANTINED
        return Verdict.SUSPECT

    def broadest_suspect(self, context: RequestContext) -> Fingerprint:
        """
        Return the first suspected part of a prompt, or the request itself.

        All requests with that part run at the same entry, as this chooses it.
        """
        return [context.fingerprint, *self._verdicts_by_fingerprint(context)][-1]

    def _verdicts_by_fingerprint(
        self, context: RequestContext
    ) -> dict[Fingerprint, Verdict]:
        """Return what isn't clear of a request and its parts, most specific first."""
        if self._marks.is_empty:
            return {}
        verdicts: dict[Fingerprint, Verdict] = {}
        for fingerprint in context.fingerprints:
            marks = self._marks.active_for(fingerprint)
            if marks and fingerprint in self._answered_at_by_part:
                marks = self._withdraw_presumed(marks)
            verdict = compute_verdict(marks)
            if verdict is not Verdict.CLEAR:
                verdicts[fingerprint] = verdict
            if verdict is not Verdict.QUARANTINED:
                self._quarantined.discard(fingerprint)
        return verdicts

    def _withdraw_presumed(self, marks: list[CrashMark]) -> list[CrashMark]:
        """Withdraw the marks on a part of crashes soon after a success with it here."""
        now = self._clock()
        counted = []
        for mark in marks:
            if self._is_presumed_innocent(mark.fingerprint, now - mark.age_seconds):
                self._marks.add_and_queue(mark._replace(withdrawn=True))
            else:
                counted.append(mark)
        return counted

    def _is_presumed_innocent(self, part: Fingerprint, crashed_at: Seconds) -> bool:
        answered_at = self._answered_at_by_part.get(part)
        return answered_at is not None and crashed_at < answered_at + PRESUMED_SECONDS

    def refusal(self, context: RequestContext, now: Seconds) -> GatewayError:
        """Return the final error for a quarantined request, and log the evidence."""
        fingerprint = next(
            fingerprint
            for fingerprint, verdict in self._verdicts_by_fingerprint(context).items()
            if verdict is Verdict.QUARANTINED
        )
        part = next(
            (key.id for key in context.part_keys if key.fingerprint == fingerprint),
            None,
        )
        marks = self._marks.active_for(fingerprint)
        evidence: dict[str, Any] = {
            "part": part,
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
                "quarantined a request"
                if part is None
                else "quarantined a prompt part",
                fingerprint=format_fingerprint(fingerprint),
                route=context.request.route.name,
                request_id=context.request.id,
                **evidence,
            )
        return quarantined(len(marks), part)

    async def acquire_lock(
        self, context: RequestContext, upstream: ServiceUpstream, seconds: Seconds
    ) -> SuspectLock | None:
        """Acquire a suspect's lock, or return ``None`` on timeout."""
        suspects = list(self._verdicts_by_fingerprint(context)) or [context.fingerprint]
        lock = await self._locks.acquire(
            suspects, upstream.id, min(LOCK_WAIT_SECONDS, seconds)
        )
        if lock is not None:
            context.charged = suspects[0]
            _SUSPECT_SENDS.inc()
        return lock

    def note_unreachable(self, upstream: ServiceUpstream) -> None:
        """Check an upstream to which no connection could be made."""
        self._watch.note_unreachable(upstream)

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
            self._clear(context, outcome)
            return None
        if outcome is not None and (
            outcome.is_foreign or outcome.is_ended_here or not outcome.may_have_run
        ):
            return None
        fingerprint = context.fingerprint
        context.trace.note(
            fingerprint=format_fingerprint(fingerprint),
            parts=[part.id for part in context.part_keys[:LISTED_PARTS]],
        )
        is_silent = outcome is None or not outcome.connection_lost
        crashed = self._watch.note_interrupted_send(
            InterruptedSend(fingerprint, upstream, is_silent, context.part_keys)
        )
        if not apart:
            return crashed
        charged = fingerprint if context.charged is None else context.charged
        return asyncio.ensure_future(self._mark_if_crashed(charged, upstream, crashed))

    async def _mark_if_crashed(
        self,
        fingerprint: Fingerprint,
        upstream: ServiceUpstream,
        crashed: "asyncio.Future[bool]",
    ) -> None:
        """Mark an isolated suspect after a crash, as the cause if no others crashed."""
        if not await crashed:
            return
        known = self._watch.known_crash(upstream)
        mark = CrashMark(
            fingerprint,
            upstream.run if known is None else known.run,
            apart=True,
            ended=known is not None and known.has_ended,
        )
        self._marks.add_and_queue(mark)
        is_widespread = await self._scope.is_widespread(
            upstream,
            lambda: {mark.run for mark in self._marks.active_for(fingerprint)},
        )
        _log.info(
            "a suspect ran apart when its upstream crashed",
            fingerprint=format_fingerprint(fingerprint),
            upstream=upstream.id,
            others_crashed=is_widespread,
        )
        if not is_widespread:
            self._marks.add_and_queue(mark._replace(alone=True))

    def _clear(self, context: RequestContext, outcome: Outcome) -> None:
        # An error, such as a missed deadline, shows that the upstream lived, but not
        # that it began to answer.
        parts = [k.fingerprint for k in context.part_keys] if outcome.is_success else []
        self._note_answered(parts)
        if self._marks.is_empty:
            return
        for fingerprint in (context.fingerprint, *parts):
            crashes = self._marks.withdraw(fingerprint)
            if crashes:
                _log.info(
                    "cleared a suspect by a whole answer",
                    fingerprint=format_fingerprint(fingerprint),
                    request_id=context.request.id,
                    crashes=crashes,
                )

    def _note_answered(self, parts: Iterable[Fingerprint]) -> None:
        now = self._clock()
        for part in parts:
            # Reinserted, so that the first one in order is the longest ago.
            self._answered_at_by_part.pop(part, None)
            self._answered_at_by_part[part] = now
        while len(self._answered_at_by_part) > MAX_ANSWERED_PARTS:
            del self._answered_at_by_part[next(iter(self._answered_at_by_part))]

    def _note_crash(self, crash: Crash) -> None:
        now = self._clock()
        parts = [p for p in crash.parts if not self._is_presumed_innocent(p, now)]
        self._rng.shuffle(parts)
        parts.sort(key=lambda part: -len(self._marks.active_for(part)))
        if len(parts) > MAX_PARTS_PER_CRASH:
            _log.warning(
                "left out prompt parts because too many ran at a crashed upstream",
                upstream=crash.upstream.id,
                left_out=len(parts) - MAX_PARTS_PER_CRASH,
            )
        for fingerprint in (*parts[:MAX_PARTS_PER_CRASH], *crash.fingerprints):
            self._marks.add_and_queue(
                CrashMark(fingerprint, crash.run, ended=crash.has_ended)
            )

    def _note_return(self, run: UpstreamRun) -> None:
        _log.info("an upstream that seemed to crash answered again", upstream=run.id)
        self._marks.withdraw_run(run)

    def _recheck_returns(self) -> None:
        """Count crashes again whose run was replaced before its successor answered."""
        for run in self._marks.runs_in_doubt():
            held = self._deployment.upstream(run.id)
            if held is not None and held.born > run.born:
                self._marks.note_ended(run)


_LockKey: TypeAlias = Fingerprint | UpstreamId
