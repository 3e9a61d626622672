"""Finds out whether an upstream crashed under the requests whose sends broke there."""

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from prometheus_client import Counter

from poplarlug.discovery.crash_marks import format_fingerprint
from poplarlug.discovery.deployment import Deployment, RunFate
from poplarlug.discovery.records import ServiceUpstream, UpstreamRun
from poplarlug.logs import ComponentLogger
from poplarlug.metrics import REGISTRY
from poplarlug.types import Address, Fingerprint, Seconds

FIRST_PROBE_SECONDS = 0.03
"""A process that ended takes a moment until its port is closed."""

SECOND_PROBE_SECONDS = 0.1
"""Pause before a refused connection is tried again; a busy listener takes it then."""

PROBE_SECONDS = 0.3
"""A connection within the region stands long before this."""

RESTART_SECONDS = 3.0
"""An upstream that took a probe may be a new run; it announces itself in two beats."""

SILENT_SECONDS = 8.0
"""An upstream that ended silently counts as lost after five beats, some six seconds."""

MAX_WATCHED = 2048
"""Sends watched at a time; a region's engines run fewer for one entry."""

LISTED_FINGERPRINTS = 8
"""Fingerprints in one log line."""

_CRASHES = Counter(
    "poplarlug_relay_upstream_crashes_total",
    "Upstreams that ended under requests of this entry, by what showed it.",
    ["evidence"],
    registry=REGISTRY,
)

_log = ComponentLogger(prefix="relay")


class BrokenSend(NamedTuple):
    """
    A send that got no whole answer.

    Parameters
    ----------
    is_silent : bool
        Whether it ended without a sign of the upstream: nothing came in time, or its
        caller left before.
    """

    fingerprint: Fingerprint
    upstream: ServiceUpstream
    is_silent: bool


class Crash(NamedTuple):
    """An upstream's end, and the requests whose sends broke there."""

    upstream: ServiceUpstream
    evidence: str
    fingerprints: tuple[Fingerprint, ...]


class _Watched:
    def __init__(self, *, until: Seconds) -> None:
        self.until = until
        self.judged: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

    def judge(self, crashed: bool) -> None:
        if not self.judged.done():
            self.judged.set_result(crashed)


class _Watch:
    def __init__(self, *, upstream: ServiceUpstream) -> None:
        self.upstream = upstream
        self.sends_by_fingerprint: dict[Fingerprint, _Watched] = {}
        self.probing: asyncio.Task[None] | None = None


class CrashWatch:
    """
    Watch the upstreams of broken sends until it is known what became of them.

    An upstream crashed if nothing listens at its address any more, if a later run
    took its id or address, or if it gave no sign for its life; unless it had said
    before that it leaves. A lost answer, a reset connection or a cut link shows none
    of these. An upstream that is back in the same run had not crashed.

    Parameters
    ----------
    on_crash : callable
        Gets each crash.
    on_return : callable
        Gets the run of an upstream that turned out not to have crashed.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        clock: Callable[[], Seconds],
        on_crash: Callable[[Crash], None],
        on_return: Callable[[UpstreamRun], None],
    ) -> None:
        self._deployment = deployment
        self._clock = clock
        self._on_crash = on_crash
        self._on_return = on_return
        self._watches_by_run: dict[UpstreamRun, _Watch] = {}
        self._lost_by_run: dict[UpstreamRun, ServiceUpstream] = {}
        self._crashed_at_by_run: dict[UpstreamRun, Seconds] = {}
        deployment.changed.subject.subscribe(lambda _: self._look())

    def broke(self, send: BrokenSend) -> "asyncio.Future[bool]":
        """
        Watch the upstream of a broken send.

        Returns
        -------
        asyncio.Future
            Whether the upstream crashed, once that is known.
        """
        run = send.upstream.run
        watch = self._watches_by_run.get(run)
        if watch is None:
            watch = self._watches_by_run[run] = _Watch(upstream=send.upstream)
        now = self._clock()
        watched = watch.sends_by_fingerprint.get(send.fingerprint)
        limit = SILENT_SECONDS if send.is_silent else RESTART_SECONDS
        if watched is None:
            watched = _Watched(until=now + limit)
            watch.sends_by_fingerprint[send.fingerprint] = watched
        watched.until = max(watched.until, now + limit)
        if run in self._crashed_at_by_run:
            self._crashed(watch, "known")
        elif self._count() > MAX_WATCHED:
            _log.warning("watches too many broken sends", upstream=run.id)
            watch.sends_by_fingerprint.pop(send.fingerprint)
            watched.judge(False)
        else:
            self._judge(watch)
        if run in self._watches_by_run:
            loop = asyncio.get_running_loop()
            loop.call_later(limit, self._expire, run)
            if not send.is_silent and watch.probing is None:
                watch.probing = asyncio.ensure_future(self._probe(watch))
        return watched.judged

    def answered(self, upstream: ServiceUpstream) -> None:
        """Note a whole answer of an upstream, which then has not crashed."""
        if self._crashed_at_by_run.pop(upstream.run, None) is not None:
            self._lost_by_run.pop(upstream.run, None)
            self._on_return(upstream.run)

    def _count(self) -> int:
        return sum(
            len(watch.sends_by_fingerprint) for watch in self._watches_by_run.values()
        )

    def _look(self) -> None:
        """Judge what is watched by what is known of the deployment now."""
        for watch in list(self._watches_by_run.values()):
            self._judge(watch)
        for run, upstream in list(self._lost_by_run.items()):
            fate = self._deployment.fate(upstream)
            if fate is RunFate.SERVING:
                self.answered(upstream)
            elif fate is not RunFate.LOST:
                del self._lost_by_run[run]

    def _judge(self, watch: _Watch) -> None:
        fate = self._deployment.fate(watch.upstream)
        if fate is RunFate.LEFT:
            self._end(watch, crashed=False)
        elif fate in (RunFate.REPLACED, RunFate.LOST):
            self._crashed(watch, fate.value)
            if fate is RunFate.LOST:
                self._lost_by_run[watch.upstream.run] = watch.upstream

    def _crashed(self, watch: _Watch, evidence: str) -> None:
        upstream = watch.upstream
        now = self._clock()
        fingerprints = tuple(
            fingerprint
            for fingerprint, send in watch.sends_by_fingerprint.items()
            if send.until >= now
        )
        is_new = upstream.run not in self._crashed_at_by_run
        self._crashed_at_by_run.setdefault(upstream.run, now)
        self._forget_old()
        if is_new:
            _CRASHES.labels(evidence).inc()
            _log.warning(
                "an upstream crashed under requests",
                upstream=upstream.id,
                born=upstream.born,
                service=upstream.service,
                evidence=evidence,
                requests=len(fingerprints),
                fingerprints=[
                    format_fingerprint(f) for f in fingerprints[:LISTED_FINGERPRINTS]
                ],
            )
        if fingerprints:
            self._on_crash(Crash(upstream, evidence, fingerprints))
        self._end(watch, crashed=True)

    def _end(self, watch: _Watch, *, crashed: bool) -> None:
        self._watches_by_run.pop(watch.upstream.run, None)
        if watch.probing is not None:
            watch.probing.cancel()
        now = self._clock()
        for send in watch.sends_by_fingerprint.values():
            send.judge(crashed and send.until >= now)

    def _expire(self, run: UpstreamRun) -> None:
        watch = self._watches_by_run.get(run)
        if watch is None:
            return
        now = self._clock()
        for fingerprint, send in list(watch.sends_by_fingerprint.items()):
            if send.until <= now:
                del watch.sends_by_fingerprint[fingerprint]
                send.judge(False)
        if not watch.sends_by_fingerprint:
            self._end(watch, crashed=False)

    def _forget_old(self) -> None:
        oldest = self._clock() - SILENT_SECONDS
        for run, at in list(self._crashed_at_by_run.items()):
            if at < oldest and run not in self._lost_by_run:
                del self._crashed_at_by_run[run]

    async def _probe(self, watch: _Watch) -> None:
        await asyncio.sleep(FIRST_PROBE_SECONDS)
        listening = await probe(watch.upstream.address)
        if listening is Listening.REFUSED:
            await asyncio.sleep(SECOND_PROBE_SECONDS)
            listening = await probe(watch.upstream.address)
        watch.probing = None
        if listening is Listening.REFUSED and watch.sends_by_fingerprint:
            self._crashed(watch, listening.value)


class Listening(Enum):
    """What a new connection to an address shows."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    SILENT = "silent"


async def probe(address: Address) -> Listening:
    """Open a connection and close it."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(PROBE_SECONDS):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return Listening.REFUSED
    except (OSError, TimeoutError) as error:
        _log.debug("a probe got no answer", address=address, error=repr(error))
        return Listening.SILENT
    writer.close()
    return Listening.ACCEPTED
