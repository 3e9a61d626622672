"""Which requests are held back because upstreams crashed under them."""

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
    format_fingerprint,
    judge,
)
from poplarlug.discovery.deployment import Deployment
from poplarlug.discovery.records import ServiceUpstream
from poplarlug.errors import GatewayError, quarantined
from poplarlug.latest import Latest
from poplarlug.logs import ComponentLogger
from poplarlug.metrics import REGISTRY
from poplarlug.relay.course import Course, Outcome
from poplarlug.relay.crash_scope import CrashScope
from poplarlug.relay.crash_watch import BrokenSend, Crash, CrashWatch
from poplarlug.types import Fingerprint, Seconds, UpstreamId

TURN_SECONDS = 1.0
"""How long a suspect waits for its turn; two plain requests or a short stream end."""

LISTED_RUNS = 6
"""Crashed upstreams in one log line."""

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


class Turns:
    """Lets suspects run one at a time: at each upstream, and each of them once."""

    def __init__(self) -> None:
        self._taken: set[_TurnKey] = set()
        self._changed: Latest[int] = Latest(initial=0)

    async def take(
        self, fingerprint: Fingerprint, upstream_id: UpstreamId, seconds: Seconds
    ) -> "Turn | None":
        """Return a turn, or ``None`` when none comes within ``seconds``."""
        keys: frozenset[_TurnKey] = frozenset({fingerprint, upstream_id})
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait_for(lambda _: not self._taken & keys)
        except TimeoutError:
            return None
        if self._taken & keys:
            # Another one that waited for the same was faster.
            return None
        self._taken |= keys
        return Turn(turns=self, fingerprint=fingerprint, upstream_id=upstream_id)

    def give_back(self, key: "_TurnKey") -> None:
        self._taken.discard(key)
        self._changed.set(self._changed.value + 1)


class Turn:
    """A suspect's turn at an upstream; :meth:`end` has to be called once."""

    def __init__(
        self, *, turns: Turns, fingerprint: Fingerprint, upstream_id: UpstreamId
    ) -> None:
        self._turns = turns
        self._fingerprint = fingerprint
        self._upstream_id = upstream_id

    def end(self, settled: "asyncio.Future[Any] | None") -> None:
        """
        Let the next one run at the upstream.

        Parameters
        ----------
        settled : asyncio.Future or None
            Until it is done, the request itself gets no other turn.
        """
        self._turns.give_back(self._upstream_id)
        if settled is None:
            self._turns.give_back(self._fingerprint)
        else:
            settled.add_done_callback(
                lambda _: self._turns.give_back(self._fingerprint)
            )


class Suspects:
    """
    Count the crashes under each request and hold back those that cause them.

    Load pattern: one request crashes each upstream that runs it and comes again, at
    any entry, while up to a whole batch of healthy ones runs beside it; or many
    upstreams crash at once for another reason. A first crash changes nothing for a
    request. After two it is a suspect and runs apart from other suspects, at one
    entry, so that a further crash tells it from those that only ran beside the
    culprit. A whole answer clears it everywhere.

    Parameters
    ----------
    marks : CrashMarks
        Shared with all VMs.
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
        self._turns = Turns()
        self._quarantined: set[Fingerprint] = set()
        self._watch = CrashWatch(
            deployment=deployment,
            clock=clock,
            on_crash=self._note_crash,
            on_return=marks.withdraw_run,
        )

    def verdict(self, course: Course) -> Verdict:
        """Return the verdict on a request; it takes no time while nothing crashed."""
        if self._marks.is_empty:
            return Verdict.CLEAR
        fingerprint = course.fingerprint
        verdict = judge(self._marks.counted(fingerprint))
        if verdict is not Verdict.CLEAR:
            course.trace.note(
                fingerprint=format_fingerprint(fingerprint), verdict=verdict.value
            )
        if verdict is not Verdict.QUARANTINED:
            self._quarantined.discard(fingerprint)
        return verdict

    def refusal(self, course: Course, now: Seconds) -> GatewayError:
        """Return the final error of a request in quarantine, and log why."""
        fingerprint = course.fingerprint
        marks = self._marks.counted(fingerprint)
        evidence: dict[str, Any] = {
            "crashes": len(marks),
            "apart": sum(mark.apart for mark in marks),
            "alone": sum(mark.alone for mark in marks),
            "upstreams": [mark.run.id for mark in marks[:LISTED_RUNS]],
            "newest_seconds": round(min(mark.age_seconds for mark in marks), 1),
            "oldest_seconds": round(max(mark.age_seconds for mark in marks), 1),
        }
        course.trace.step("quarantined", now, **evidence)
        _REFUSED.inc()
        if fingerprint not in self._quarantined:
            if len(self._quarantined) >= MAX_MARKS:
                self._quarantined.clear()
            self._quarantined.add(fingerprint)
            _QUARANTINED.inc()
            _log.warning(
                "quarantined a request",
                fingerprint=format_fingerprint(fingerprint),
                route=course.request.route.name,
                request_id=course.request.id,
                **evidence,
            )
        return quarantined(len(marks))

    async def take_turn(
        self, course: Course, upstream: ServiceUpstream, seconds: Seconds
    ) -> Turn | None:
        """Return a suspect's turn, ``None`` when none comes in time."""
        turn = await self._turns.take(
            course.fingerprint, upstream.id, min(TURN_SECONDS, seconds)
        )
        if turn is not None:
            _SUSPECT_SENDS.inc()
        return turn

    def note(
        self,
        course: Course,
        upstream: ServiceUpstream,
        outcome: Outcome | None,
        *,
        apart: bool,
    ) -> "asyncio.Future[Any] | None":
        """
        Take in how a send to an upstream ended.

        Parameters
        ----------
        outcome : Outcome or None
            ``None`` when the caller left before.
        apart : bool
            Whether it was sent in a suspect's turn.

        Returns
        -------
        asyncio.Future or None
            Done once all is known that the send tells of the request; ``None`` where
            it tells nothing of a crash.
        """
        if outcome is not None and outcome.is_whole:
            self._watch.answered(upstream)
            self._clear(course)
            return None
        if outcome is not None and not outcome.may_have_run:
            return None
        fingerprint = course.fingerprint
        course.trace.note(fingerprint=format_fingerprint(fingerprint))
        is_silent = outcome is None or not outcome.broke
        judged = self._watch.broke(BrokenSend(fingerprint, upstream, is_silent))
        if not apart:
            return judged
        return asyncio.ensure_future(self._settle(fingerprint, upstream, judged))

    async def _settle(
        self,
        fingerprint: Fingerprint,
        upstream: ServiceUpstream,
        judged: "asyncio.Future[bool]",
    ) -> None:
        """Hold a crash against the request that ran apart, unless many crashed."""
        if not await judged:
            return
        mark = CrashMark(fingerprint, upstream.run, apart=True)
        self._marks.note(mark)
        aside = {mark.run for mark in self._marks.counted(fingerprint)}
        is_wide = await self._scope.is_wide(upstream, aside)
        _log.info(
            "a suspect ran apart when its upstream crashed",
            fingerprint=format_fingerprint(fingerprint),
            upstream=upstream.id,
            others_crashed=is_wide,
        )
        if not is_wide:
            self._marks.note(mark._replace(alone=True))

    def _clear(self, course: Course) -> None:
        if self._marks.is_empty:
            return
        crashes = self._marks.withdraw(course.fingerprint)
        if crashes:
            _log.info(
                "cleared a request by a whole answer",
                fingerprint=format_fingerprint(course.fingerprint),
                request_id=course.request.id,
                crashes=crashes,
            )

    def _note_crash(self, crash: Crash) -> None:
        for fingerprint in crash.fingerprints:
            self._marks.note(CrashMark(fingerprint, crash.upstream.run))


_TurnKey: TypeAlias = Fingerprint | UpstreamId
