"""Detects whether an upstream crashed while requests were running on it."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple

from prometheus_client import Counter as MetricCounter

from poplarlug.discovery.crash_marks import format_fingerprint
from poplarlug.discovery.deployment import Deployment, RunStatus
from poplarlug.discovery.records import ServiceUpstream, UpstreamRun
from poplarlug.logs import ComponentLogger
from poplarlug.metrics import REGISTRY
from poplarlug.relay.ended_runs import EndedRuns
from poplarlug.relay.fingerprint import PartKey
from poplarlug.relay.probing import (
    FIRST_PROBE_SECONDS,
    SECOND_PROBE_SECONDS,
    ProbeResult,
    probe,
)
from poplarlug.types import Fingerprint, Seconds

RESTART_SECONDS = 3.0
"""An upstream that accepts a probe may be a new run, announced in two heartbeats."""

SILENT_SECONDS = 8.0
"""A silently terminated upstream counts as lost after five heartbeats, about 6 s."""

MAX_WATCHED = 2048
"""Maximum sends watched at a time; engines of a region run fewer for one entry."""

LISTED_FINGERPRINTS = 8
"""Maximum number of fingerprints in one log line."""

LISTED_PARTS = 16
"""Maximum number of prompt parts in one log line."""

END_EVIDENCE = frozenset({ProbeResult.REFUSED.value, RunStatus.REPLACED.value})
"""What proves the end of a run; one that is only lost may answer again."""

_CRASHES = MetricCounter(
    "poplarlug_relay_upstream_crashes_total",
    "Upstreams that ended under requests of this entry, by what showed it.",
    ["evidence"],
    registry=REGISTRY,
)

_log = ComponentLogger(prefix="relay")


class InterruptedSend(NamedTuple):
    """
    A send without a complete response.

    Parameters
    ----------
    is_silent : bool
        Whether it ended without any signal from the upstream: it timed out, or the
        caller disconnected first.
    parts : tuple of PartKey
        The parts of the prompt that other requests may share.
    """

    fingerprint: Fingerprint
    upstream: ServiceUpstream
    is_silent: bool
    parts: tuple[PartKey, ...] = ()


class Crash(NamedTuple):
    """
    Crash of an upstream and the requests whose sends it interrupted.

    Parameters
    ----------
    run : UpstreamRun
        The run that crashed. One that was never heard of, after the announced run had
        ended, is numbered from the announced one.
    has_ended : bool
        Whether the run certainly ended, so that whatever answers there later is another
        one.
    parts : frozenset of Fingerprint
        The shared parts of their prompts.
    """

    upstream: ServiceUpstream
    run: UpstreamRun
    evidence: str
    has_ended: bool
    fingerprints: tuple[Fingerprint, ...]
    parts: frozenset[Fingerprint] = frozenset()


class KnownCrash(NamedTuple):
    """The last crash that this entry noticed of an announced run or its successors."""

    run: UpstreamRun
    noticed_at: Seconds
    has_ended: bool
    has_successor: bool = False


class _WatchedSend:
    def __init__(self, *, until: Seconds, parts: tuple[PartKey, ...]) -> None:
        self.until = until
        self.parts = parts
        self.crashed: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

    def resolve(self, crashed: bool) -> None:
        if not self.crashed.done():
            self.crashed.set_result(crashed)


class _Watch:
    def __init__(self, *, upstream: ServiceUpstream) -> None:
        self.upstream = upstream
        self.sends_by_fingerprint: dict[Fingerprint, _WatchedSend] = {}
        self.probing: asyncio.Task[None] | None = None


class CrashWatch:
    """
    Watch the upstreams of interrupted sends until their state is known.

    An upstream crashed if nothing listens at its address any more, if a later run
    took over its id or address, or if its announcements expired, unless it announced
    its departure before. A lost response, a reset connection or a network partition
    alone doesn't prove a crash. An upstream that returns with the same run has not
    crashed, unless the run certainly ended; then it is a later run, though control may
    not have heard of it yet.

    Parameters
    ----------
    on_crash : callable
        Called with each crash.
    on_return : callable
        Called with the run of an upstream that turned out not to have crashed.
    ended_runs : EndedRuns
        Told of upstreams at whose address nothing listens.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        clock: Callable[[], Seconds],
        on_crash: Callable[[Crash], None],
        on_return: Callable[[UpstreamRun], None],
        ended_runs: EndedRuns,
    ) -> None:
        self._deployment = deployment
        self._clock = clock
        self._on_crash = on_crash
        self._on_return = on_return
        self._ended_runs = ended_runs
        self._unreachable: dict[UpstreamRun, asyncio.Task[None]] = {}
        self._watches_by_run: dict[UpstreamRun, _Watch] = {}
        self._lost_by_run: dict[UpstreamRun, ServiceUpstream] = {}
        self._crashes_by_run: dict[UpstreamRun, KnownCrash] = {}
        deployment.changed.subject.subscribe(lambda _: self._check_all())

    def note_interrupted_send(self, send: InterruptedSend) -> "asyncio.Future[bool]":
        """
        Watch the upstream of an interrupted send.

        Returns
        -------
        asyncio.Future
            Resolves to whether the upstream crashed.
        """
        run = send.upstream.run
        watch = self._watches_by_run.get(run)
        if watch is None:
            watch = self._watches_by_run[run] = _Watch(upstream=send.upstream)
        now = self._clock()
        watched = watch.sends_by_fingerprint.get(send.fingerprint)
        limit = SILENT_SECONDS if send.is_silent else RESTART_SECONDS
        if watched is None:
            watched = _WatchedSend(until=now + limit, parts=send.parts)
            watch.sends_by_fingerprint[send.fingerprint] = watched
        watched.until = max(watched.until, now + limit)
        known = self._crashes_by_run.get(run)
        if known is not None and not known.has_successor:
            self._report_crash(watch, "known")
        elif self._count() > MAX_WATCHED:
            _log.warning(
                "too many interrupted sends to watch; assuming no crash",
                upstream=run.id,
            )
            watch.sends_by_fingerprint.pop(send.fingerprint)
            watched.resolve(False)
        else:
            self._check_run_status(watch)
        if run in self._watches_by_run:
            loop = asyncio.get_running_loop()
            loop.call_later(limit, self._expire, run)
            if not send.is_silent and watch.probing is None:
                watch.probing = asyncio.ensure_future(self._probe(watch))
        return watched.crashed

    def note_unreachable(self, upstream: ServiceUpstream) -> None:
        """Check whether an upstream to which no connection could be made has ended."""
        run = upstream.run
        if run in self._unreachable or len(self._unreachable) >= MAX_WATCHED:
            return
        task = asyncio.ensure_future(self._probe_unreachable(upstream))
        self._unreachable[run] = task
        task.add_done_callback(lambda _: self._unreachable.pop(run, None))

    async def _probe_unreachable(self, upstream: ServiceUpstream) -> None:
        if await probe(upstream.address) is ProbeResult.REFUSED:
            self._ended_runs.note(upstream)

    def note_response(self, upstream: ServiceUpstream) -> None:
        """
        Record a complete response.

        It shows that a silent upstream has not crashed, or that a run that has ended has
        a successor.
        """
        known = self._crashes_by_run.get(upstream.run)
        if known is None:
            return
        if known.has_ended:
            self._crashes_by_run[upstream.run] = known._replace(has_successor=True)
            return
        del self._crashes_by_run[upstream.run]
        self._lost_by_run.pop(upstream.run, None)
        self._on_return(upstream.run)

    def known_crash(self, upstream: ServiceUpstream) -> KnownCrash | None:
        """Return the last crash that was noticed of an upstream's announced run."""
        return self._crashes_by_run.get(upstream.run)

    def _count(self) -> int:
        return sum(
            len(watch.sends_by_fingerprint) for watch in self._watches_by_run.values()
        )

    def _check_all(self) -> None:
        """Check all watched upstreams against the current state of the deployment."""
        for watch in list(self._watches_by_run.values()):
            self._check_run_status(watch)
        for run, upstream in list(self._lost_by_run.items()):
            status = self._deployment.run_status(upstream)
            if status is RunStatus.SERVING:
                self.note_response(upstream)
            elif status is not RunStatus.LOST:
                del self._lost_by_run[run]

    def _check_run_status(self, watch: _Watch) -> None:
        status = self._deployment.run_status(watch.upstream)
        known = self._crashes_by_run.get(watch.upstream.run)
        is_heard = (
            known is not None and known.has_successor and status is RunStatus.REPLACED
        )
        if status is RunStatus.LEFT or is_heard:
            # The sends are watched that the successor got before it was heard of.
            self._stop_watch(watch, crashed=False)
        elif status in (RunStatus.REPLACED, RunStatus.LOST):
            self._report_crash(watch, status.value)
            if status is RunStatus.LOST:
                self._lost_by_run[watch.upstream.run] = watch.upstream

    def _report_crash(self, watch: _Watch, evidence: str) -> None:
        upstream = watch.upstream
        now = self._clock()
        fingerprints = tuple(
            fingerprint
            for fingerprint, send in watch.sends_by_fingerprint.items()
            if send.until >= now
        )
        is_new, known = self._note_crash(upstream, evidence, now)
        self._drop_expired()
        if is_new:
            _CRASHES.labels(evidence).inc()
            _log.warning(
                "an upstream crashed under requests",
                upstream=upstream.id,
                born=upstream.born,
                service=upstream.service,
                evidence=evidence,
                is_announced=known.run == upstream.run,
                requests=len(fingerprints),
                fingerprints=[
                    format_fingerprint(f) for f in fingerprints[:LISTED_FINGERPRINTS]
                ],
                parts=_count_parts(watch.sends_by_fingerprint.values()),
            )
        if fingerprints:
            parts = frozenset(
                part.fingerprint
                for fingerprint in fingerprints
                for part in watch.sends_by_fingerprint[fingerprint].parts
            )
            self._on_crash(
                Crash(
                    upstream, known.run, evidence, known.has_ended, fingerprints, parts
                )
            )
        self._stop_watch(watch, crashed=True)

    def _note_crash(
        self, upstream: ServiceUpstream, evidence: str, now: Seconds
    ) -> tuple[bool, KnownCrash]:
        """Return whether a crash is another one than the last, and what is known."""
        known = self._crashes_by_run.get(upstream.run)
        has_ended = evidence in END_EVIDENCE
        if known is None:
            is_new, known = True, KnownCrash(upstream.run, now, has_ended)
        elif known.has_successor:
            run = known.run._replace(born=known.run.born + 1)
            is_new, known = True, KnownCrash(run, now, has_ended)
        else:
            is_new = False
            known = known._replace(has_ended=known.has_ended or has_ended)
        self._crashes_by_run[upstream.run] = known
        return is_new, known

    def _stop_watch(self, watch: _Watch, *, crashed: bool) -> None:
        self._watches_by_run.pop(watch.upstream.run, None)
        if watch.probing is not None:
            watch.probing.cancel()
        now = self._clock()
        for send in watch.sends_by_fingerprint.values():
            send.resolve(crashed and send.until >= now)

    def _expire(self, run: UpstreamRun) -> None:
        watch = self._watches_by_run.get(run)
        if watch is None:
            return
        now = self._clock()
        for fingerprint, send in list(watch.sends_by_fingerprint.items()):
            if send.until <= now:
                del watch.sends_by_fingerprint[fingerprint]
                send.resolve(False)
        if not watch.sends_by_fingerprint:
            self._stop_watch(watch, crashed=False)

    def _drop_expired(self) -> None:
        oldest = self._clock() - SILENT_SECONDS
        for run, known in list(self._crashes_by_run.items()):
            if known.noticed_at < oldest and run not in self._lost_by_run:
                del self._crashes_by_run[run]

    async def _probe(self, watch: _Watch) -> None:
        await asyncio.sleep(FIRST_PROBE_SECONDS)
        result = await probe(watch.upstream.address)
        if result is ProbeResult.REFUSED:
            # Whoever listens there later may be another run.
            self._ended_runs.note(watch.upstream)
            await asyncio.sleep(SECOND_PROBE_SECONDS)
            result = await probe(watch.upstream.address)
        watch.probing = None
        if result is ProbeResult.REFUSED and watch.sends_by_fingerprint:
            self._report_crash(watch, result.value)


def _count_parts(sends: Iterable[_WatchedSend]) -> dict[str, int]:
    """Return how many of the sends hold each prompt part, for a log line."""
    counts = Counter(part.id for send in sends for part in send.parts)
    return dict(counts.most_common(LISTED_PARTS))
