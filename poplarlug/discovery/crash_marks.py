"""Crash marks: which requests and prompt parts ran at an upstream when it crashed."""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from enum import Enum
from typing import NamedTuple

from poplarlug.discovery.records import UpstreamRun
from poplarlug.latest import Latest
from poplarlug.logs import ComponentLogger
from poplarlug.types import Fingerprint, Seconds

MARK_TTL_SECONDS = 3600.0
"""How long a crash counts against a request; callers that keep retrying a request send
it again sooner than that."""

MAX_MARKS = 4096
"""Maximum number of stored marks; at about 700 bytes each they take 2.9 MB."""

EVICTION_DIVISOR = 16
"""When the store is full, one in this many marks is evicted at once, so that a flood
of marks rarely triggers an eviction."""

MAX_PENDING_MARKS = 512
"""Maximum number of changes waiting to be sent; further ones are dropped."""

CRASHES_TO_SUSPECT = 2
"""One crash marks all requests that ran at the upstream, up to a whole engine batch.
Two crashes without a complete answer in between are rare for a request that caused
neither."""

CRASHES_TO_QUARANTINE = 3
"""Minimum number of crashes for a quarantine. From this number on, the users'
requirements limit how often a request may be sent again."""

ALONE_CRASHES_TO_QUARANTINE = 2
"""How many of these crashes must happen while the request runs apart from other
suspects and no other upstream crashes. In the others, the request may have been running
there by coincidence."""

APART_CRASHES_TO_QUARANTINE = 4
"""Alternatively, how many must happen while it runs apart, whether or not other
upstreams crash: several culprits may crash upstreams at the same time, and at most three
retries are allowed after the third crash."""

PART_FLAG = 1 << 63
"""Set in the fingerprints of prompt parts, not in those of requests."""

REQUEST_PREFIX = "r-"
PART_PREFIX = "p-"
FINGERPRINT_DIGITS = 16

_log = ComponentLogger(prefix="marks")


class CrashMark(NamedTuple):
    """
    One crash of an upstream, counted against a request or prompt part that ran there.

    Merging marks is independent of their order, as flags are set but never unset.

    Parameters
    ----------
    fingerprint : Fingerprint
        Hash of the request, or of the prompt part.
    run : UpstreamRun
        The run of the upstream that crashed.
    apart : bool
        Whether the request was isolated from other suspects.
    alone : bool
        Whether it was, and no other upstream crashed at that time.
    withdrawn : bool
        Whether the mark no longer counts: the request has had a complete answer since,
        or an operator released it.
    age_seconds : float
        Time since the crash was noticed.
    ended : bool
        Whether the run certainly ended: nothing listened at its address any more, or a
        later run was heard of. Silence proves nothing.
    returned : bool
        Whether the upstream answered again, which shows that the run didn't crash unless
        it certainly ended; then a later run has answered.
    """

    fingerprint: Fingerprint
    run: UpstreamRun
    apart: bool = False
    alone: bool = False
    withdrawn: bool = False
    age_seconds: Seconds = 0.0
    ended: bool = False
    returned: bool = False

    @property
    def counts(self) -> bool:
        """Whether the crash counts against the request, unless it is too long ago."""
        return not self.withdrawn and (self.ended or not self.returned)

    @property
    def key(self) -> str:
        return f"c:{self.fingerprint:x}/{self.run.id}/{self.run.born}"


class _MarkKey(NamedTuple):
    fingerprint: Fingerprint
    run: UpstreamRun


class _StoredMark(NamedTuple):
    mark: CrashMark
    noticed_at: Seconds
    revision: int


class Verdict(Enum):
    """
    How a request may be sent next, given the crashes counted against it.

    A ``SUSPECT`` request runs apart from other suspects, one send at a time and without
    retries. A ``QUARANTINED`` request isn't sent at all.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


def compute_verdict(marks: Sequence[CrashMark]) -> Verdict:
    """Return the verdict on a request from its active marks."""
    is_culprit = (
        sum(mark.alone for mark in marks) >= ALONE_CRASHES_TO_QUARANTINE
        or sum(mark.apart for mark in marks) >= APART_CRASHES_TO_QUARANTINE
    )
    if len(marks) >= CRASHES_TO_QUARANTINE and is_culprit:
        return Verdict.QUARANTINED
    if len(marks) >= CRASHES_TO_SUSPECT:
        return Verdict.SUSPECT
    return Verdict.CLEAR


class CrashMarks:
    """
    Crash marks by request, with a queue of changes for the other VMs.

    A mark is active if it counts and has not expired. A request has at most one
    mark per run, so that a crash seen by two VMs counts once. When the store is full,
    requests with the fewest active marks are evicted first, and among them the oldest.

    Attributes
    ----------
    revision : Latest of int
        Increases with each change.
    has_pending : asyncio.Event
        Set while changes wait to be sent; see :meth:`take_pending`.
    """

    def __init__(self, *, clock: Callable[[], Seconds]) -> None:
        self._clock = clock
        self._stored_by_fingerprint: dict[
            Fingerprint, dict[UpstreamRun, _StoredMark]
        ] = {}
        self._count = 0
        self._pending: dict[_MarkKey, None] = {}
        self._dropped = 0
        self.revision: Latest[int] = Latest(initial=0)
        self.has_pending = asyncio.Event()

    @property
    def is_empty(self) -> bool:
        return not self._stored_by_fingerprint

    def add(self, mark: CrashMark) -> bool:
        """Merge a mark into the store; return whether that changed anything."""
        now = self._clock()
        if mark.age_seconds >= MARK_TTL_SECONDS:
            return False
        stored = self._stored_by_fingerprint.get(mark.fingerprint, {}).get(mark.run)
        noticed_at = now - max(0.0, mark.age_seconds)
        if stored is not None:
            mark = mark._replace(
                apart=mark.apart or stored.mark.apart,
                alone=mark.alone or stored.mark.alone,
                withdrawn=mark.withdrawn or stored.mark.withdrawn,
                ended=mark.ended or stored.mark.ended,
                returned=mark.returned or stored.mark.returned,
            )
            noticed_at = min(noticed_at, stored.noticed_at)
            if mark._replace(age_seconds=0.0) == stored.mark:
                return False
        elif self._count >= MAX_MARKS:
            self._evict()
        revision = self.revision.value + 1
        by_run = self._stored_by_fingerprint.setdefault(mark.fingerprint, {})
        by_run[mark.run] = _StoredMark(
            mark._replace(age_seconds=0.0), noticed_at, revision
        )
        self._count += stored is None
        self.revision.set(revision)
        return True

    def add_and_queue(self, mark: CrashMark) -> bool:
        """Add a mark and queue it for the other VMs; return whether it was new."""
        if not self.add(mark):
            return False
        self._queue([mark])
        return True

    def active_for(self, fingerprint: Fingerprint) -> list[CrashMark]:
        """Return the active marks of a request, with their ages."""
        now = self._clock()
        return [
            stored.mark._replace(age_seconds=now - stored.noticed_at)
            for stored in self._stored_by_fingerprint.get(fingerprint, {}).values()
            if stored.mark.counts and now - stored.noticed_at < MARK_TTL_SECONDS
        ]

    def active_by_fingerprint(
        self, min_marks: int
    ) -> dict[Fingerprint, list[CrashMark]]:
        """Return the requests with at least ``min_marks`` active marks."""
        found = {f: self.active_for(f) for f in list(self._stored_by_fingerprint)}
        return {f: marks for f, marks in found.items() if len(marks) >= min_marks}

    def withdraw(self, fingerprint: Fingerprint) -> int:
        """Withdraw the active marks of a request; return their number."""
        marks = self.active_for(fingerprint)
        for mark in marks:
            self.add_and_queue(mark._replace(withdrawn=True))
        return len(marks)

    def withdraw_run(self, run: UpstreamRun) -> None:
        """Withdraw the marks of a run that answered again, unless it has ended."""
        for mark in self._marks_of(run):
            self.add_and_queue(mark._replace(returned=True))

    def note_ended(self, run: UpstreamRun) -> None:
        """Note that a run certainly ended, whatever was taken for its return."""
        for mark in self._marks_of(run):
            self.add_and_queue(mark._replace(ended=True))

    def runs_in_doubt(self) -> set[UpstreamRun]:
        """Return the runs that seem to have returned, or whose successors have."""
        return {
            run
            for by_run in self._stored_by_fingerprint.values()
            for run, stored in by_run.items()
            if stored.mark.returned and not stored.mark.ended
        }

    def _marks_of(self, run: UpstreamRun) -> list[CrashMark]:
        by_runs = list(self._stored_by_fingerprint.values())
        return [by_run[run].mark for by_run in by_runs if run in by_run]

    def changed_after(self, revision: int, limit: int) -> tuple[list[CrashMark], int]:
        """
        Return the marks that changed after a revision, oldest change first.

        Returns
        -------
        tuple
            At most ``limit`` marks, and the revision reached with them.
        """
        changed = sorted(
            (
                stored
                for by_run in self._stored_by_fingerprint.values()
                for stored in by_run.values()
                if stored.revision > revision
            ),
            key=lambda stored: stored.revision,
        )
        now = self._clock()
        marks = [_with_age(stored, now) for stored in changed[:limit]]
        if len(changed) > limit:
            return marks, changed[limit - 1].revision
        return marks, self.revision.value

    def persistent(self) -> list[CrashMark]:
        """
        Return the marks of suspects, which are stored on disk and sent again.

        Single marks are left out: they are common, and losing one costs only one more
        crash.
        """
        by_fingerprint = self.active_by_fingerprint(CRASHES_TO_SUSPECT)
        return [mark for marks in by_fingerprint.values() for mark in marks]

    def queue_resend(self) -> None:
        """Queue the persistent marks to be sent again."""
        self._queue(self.persistent())

    def take_pending(self, limit: int = MAX_PENDING_MARKS) -> tuple[CrashMark, ...]:
        """Remove up to ``limit`` changes from the queue; return them with ages."""
        keys = list(self._pending)[:limit]
        now = self._clock()
        taken = []
        for key in keys:
            del self._pending[key]
            stored = self._stored_by_fingerprint.get(key.fingerprint, {}).get(key.run)
            if stored is not None:
                taken.append(_with_age(stored, now))
        if not self._pending:
            self.has_pending.clear()
        if self._dropped:
            _log.warning(
                "dropped crash marks because too many waited to be sent",
                dropped=self._dropped,
            )
            self._dropped = 0
        return tuple(taken)

    def requeue(self, marks: Iterable[CrashMark]) -> None:
        """Queue marks again that could not be sent."""
        self._queue(marks)

    def expire(self) -> None:
        """Remove marks older than ``MARK_TTL_SECONDS``."""
        oldest = self._clock() - MARK_TTL_SECONDS
        for fingerprint, by_run in list(self._stored_by_fingerprint.items()):
            for run, stored in list(by_run.items()):
                if stored.noticed_at <= oldest:
                    self._remove(fingerprint, run)

    def _queue(self, marks: Iterable[CrashMark]) -> None:
        for mark in marks:
            key = _MarkKey(mark.fingerprint, mark.run)
            if key in self._pending or len(self._pending) < MAX_PENDING_MARKS:
                self._pending[key] = None
            else:
                self._dropped += 1
        if self._pending:
            self.has_pending.set()

    def _evict(self) -> None:
        self.expire()
        rank_by_fingerprint = {
            fingerprint: (
                sum(stored.mark.counts for stored in by_run.values()),
                max(stored.noticed_at for stored in by_run.values()),
            )
            for fingerprint, by_run in self._stored_by_fingerprint.items()
        }
        target_count = MAX_MARKS - MAX_MARKS // EVICTION_DIVISOR
        for fingerprint in sorted(
            rank_by_fingerprint, key=lambda f: rank_by_fingerprint[f]
        ):
            if self._count <= target_count:
                break
            for run in list(self._stored_by_fingerprint[fingerprint]):
                self._remove(fingerprint, run)

    def _remove(self, fingerprint: Fingerprint, run: UpstreamRun) -> None:
        by_run = self._stored_by_fingerprint[fingerprint]
        del by_run[run]
        self._count -= 1
        if not by_run:
            del self._stored_by_fingerprint[fingerprint]


def _with_age(stored: _StoredMark, now: Seconds) -> CrashMark:
    return stored.mark._replace(age_seconds=round(now - stored.noticed_at, 1))


def format_fingerprint(fingerprint: Fingerprint) -> str:
    """Return a fingerprint for logs and operators, as text that is never a number."""
    prefix = PART_PREFIX if fingerprint & PART_FLAG else REQUEST_PREFIX
    return f"{prefix}{fingerprint:016x}"


def parse_fingerprint(text: str) -> Fingerprint | None:
    """Parse the text of :func:`format_fingerprint`; return ``None`` if invalid."""
    prefix, digits = text[: len(REQUEST_PREFIX)], text[len(REQUEST_PREFIX) :]
    if prefix not in (REQUEST_PREFIX, PART_PREFIX) or len(digits) != FINGERPRINT_DIGITS:
        return None
    try:
        return int(digits, 16)
    except ValueError:
        return None
