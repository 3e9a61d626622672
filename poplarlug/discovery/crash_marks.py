"""Which requests ran at upstreams when these crashed, as all VMs tell each other."""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from enum import Enum
from typing import NamedTuple

from poplarlug.discovery.records import UpstreamRun
from poplarlug.latest import Latest
from poplarlug.logs import ComponentLogger
from poplarlug.types import Fingerprint, Seconds

MARK_LIFE_SECONDS = 3600.0
"""A crash counts against a request for so long; callers that insist come sooner."""

MAX_MARKS = 4096
"""Marks held; at some 700 bytes each they take 2.9 MB."""

EVICTED_SHARE = 16
"""One in so many marks makes room at a time, so that a flood costs little."""

MAX_NEWS = 512
"""Own changes that wait to be told; beyond it the newest are dropped."""

CRASHES_TO_SUSPECT = 2
"""One crash marks all that ran there, up to a whole batch of an engine. Two without a
whole answer between them are rare for a request that caused neither."""

CRASHES_TO_QUARANTINE = 3
"""From this many on, the users' rule bounds how often a request is sent again."""

ALONE_TO_QUARANTINE = 2
"""Of these crashes so many have to come while the request runs apart from other
suspects and no other upstreams crash: it may have run beside the others by chance."""

APART_TO_QUARANTINE = 3
"""Or so many while it runs apart, whatever else crashes: more retries after the third
crash are not allowed, and several culprits may crash upstreams at the same time."""

FINGERPRINT_PREFIX = "r-"
FINGERPRINT_DIGITS = 16

_log = ComponentLogger(prefix="marks")


class CrashMark(NamedTuple):
    """
    One crash of an upstream against one request that ran there.

    Marks are merged, whatever their order: no flag is ever unset.

    Parameters
    ----------
    fingerprint : Fingerprint
        Hash of the request.
    run : UpstreamRun
        What crashed.
    apart : bool
        Whether the request ran apart from other suspects.
    alone : bool
        Whether it did, and its upstream crashed while others stayed up.
    withdrawn : bool
        Whether it doesn't count any more: the upstream is back in the same run, the
        request got a whole answer since, or an operator released it.
    age_seconds : float
        Time since the crash was noticed.
    """

    fingerprint: Fingerprint
    run: UpstreamRun
    apart: bool = False
    alone: bool = False
    withdrawn: bool = False
    age_seconds: Seconds = 0.0

    @property
    def key(self) -> str:
        return f"c:{self.fingerprint:x}/{self.run.id}/{self.run.born}"


class _Place(NamedTuple):
    fingerprint: Fingerprint
    run: UpstreamRun


class _Held(NamedTuple):
    mark: CrashMark
    noted: Seconds
    revision: int


class Verdict(Enum):
    """
    What the crashes under a request mean for its next send.

    A ``SUSPECT`` runs apart from other suspects, once at a time and without repeats.
    A ``QUARANTINED`` one isn't sent at all.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


def judge(marks: Sequence[CrashMark]) -> Verdict:
    """Return the verdict on a request by the marks that count against it."""
    is_culprit = (
        sum(mark.alone for mark in marks) >= ALONE_TO_QUARANTINE
        or sum(mark.apart for mark in marks) >= APART_TO_QUARANTINE
    )
    if len(marks) >= CRASHES_TO_QUARANTINE and is_culprit:
        return Verdict.QUARANTINED
    if len(marks) >= CRASHES_TO_SUSPECT:
        return Verdict.SUSPECT
    return Verdict.CLEAR


class CrashMarks:
    """
    Crash marks by request, with what is to be told to others.

    The marks against a request are those of distinct runs, so that two VMs that saw
    the same crash count it once. When room is short, requests with the fewest marks
    that count are forgotten first, the oldest of them before others.

    Attributes
    ----------
    revision : Latest of int
        Grows with each change.
    has_news : asyncio.Event
        Set while own changes wait to be told; see :meth:`take_news`.
    """

    def __init__(self, *, clock: Callable[[], Seconds]) -> None:
        self._clock = clock
        self._held_by_fingerprint: dict[Fingerprint, dict[UpstreamRun, _Held]] = {}
        self._count = 0
        self._news: dict[_Place, None] = {}
        self._dropped = 0
        self.revision: Latest[int] = Latest(initial=0)
        self.has_news = asyncio.Event()

    @property
    def is_empty(self) -> bool:
        return not self._held_by_fingerprint

    def add(self, mark: CrashMark) -> bool:
        """Take in a mark; return whether it was news."""
        now = self._clock()
        if mark.age_seconds >= MARK_LIFE_SECONDS:
            return False
        held = self._held_by_fingerprint.get(mark.fingerprint, {}).get(mark.run)
        noted = now - max(0.0, mark.age_seconds)
        if held is not None:
            mark = mark._replace(
                apart=mark.apart or held.mark.apart,
                alone=mark.alone or held.mark.alone,
                withdrawn=mark.withdrawn or held.mark.withdrawn,
            )
            noted = min(noted, held.noted)
            if mark._replace(age_seconds=0.0) == held.mark:
                return False
        elif self._count >= MAX_MARKS:
            self._make_room()
        revision = self.revision.value + 1
        by_run = self._held_by_fingerprint.setdefault(mark.fingerprint, {})
        by_run[mark.run] = _Held(mark._replace(age_seconds=0.0), noted, revision)
        self._count += held is None
        self.revision.set(revision)
        return True

    def note(self, mark: CrashMark) -> bool:
        """Take in a mark of this VM's own, which the others are to be told."""
        if not self.add(mark):
            return False
        self._tell([mark])
        return True

    def counted(self, fingerprint: Fingerprint) -> list[CrashMark]:
        """Return the marks that count against a request, with their ages."""
        now = self._clock()
        return [
            held.mark._replace(age_seconds=now - held.noted)
            for held in self._held_by_fingerprint.get(fingerprint, {}).values()
            if not held.mark.withdrawn and now - held.noted < MARK_LIFE_SECONDS
        ]

    def counted_by_fingerprint(self, least: int) -> dict[Fingerprint, list[CrashMark]]:
        """Return the requests with so many marks that count."""
        found = {f: self.counted(f) for f in list(self._held_by_fingerprint)}
        return {f: marks for f, marks in found.items() if len(marks) >= least}

    def withdraw(self, fingerprint: Fingerprint) -> int:
        """Withdraw all marks against a request; return how many counted."""
        marks = self.counted(fingerprint)
        for mark in marks:
            self.note(mark._replace(withdrawn=True))
        return len(marks)

    def withdraw_run(self, run: UpstreamRun) -> None:
        """Withdraw the marks of an upstream's run that had not crashed."""
        for by_run in list(self._held_by_fingerprint.values()):
            held = by_run.get(run)
            if held is not None:
                self.note(held.mark._replace(withdrawn=True))

    def changed_after(self, revision: int, limit: int) -> tuple[list[CrashMark], int]:
        """
        Return what changed after a revision, oldest change first.

        Returns
        -------
        tuple
            At most ``limit`` marks, and the revision that they lead to.
        """
        changed = sorted(
            (
                held
                for by_run in self._held_by_fingerprint.values()
                for held in by_run.values()
                if held.revision > revision
            ),
            key=lambda held: held.revision,
        )
        now = self._clock()
        marks = [_aged(held, now) for held in changed[:limit]]
        if len(changed) > limit:
            return marks, changed[limit - 1].revision
        return marks, self.revision.value

    def lasting(self) -> list[CrashMark]:
        """
        Return the marks of suspects, which are kept on disk and told again.

        A single mark is common, and costs one more crash if it is lost.
        """
        by_fingerprint = self.counted_by_fingerprint(CRASHES_TO_SUSPECT)
        return [mark for marks in by_fingerprint.values() for mark in marks]

    def tell_again(self) -> None:
        """Tell others the lasting marks."""
        self._tell(self.lasting())

    def take_news(self, limit: int = MAX_NEWS) -> tuple[CrashMark, ...]:
        """Return own changes that were not told yet, with their ages."""
        places = list(self._news)[:limit]
        now = self._clock()
        news = []
        for place in places:
            del self._news[place]
            held = self._held_by_fingerprint.get(place.fingerprint, {}).get(place.run)
            if held is not None:
                news.append(_aged(held, now))
        if not self._news:
            self.has_news.clear()
        if self._dropped:
            _log.warning("too many marks waited to be told", dropped=self._dropped)
            self._dropped = 0
        return tuple(news)

    def put_back(self, marks: Iterable[CrashMark]) -> None:
        """Keep what could not be told."""
        self._tell(marks)

    def expire(self) -> None:
        """Forget marks whose life is over."""
        oldest = self._clock() - MARK_LIFE_SECONDS
        for fingerprint, by_run in list(self._held_by_fingerprint.items()):
            for run, held in list(by_run.items()):
                if held.noted <= oldest:
                    self._drop(fingerprint, run)

    def _tell(self, marks: Iterable[CrashMark]) -> None:
        for mark in marks:
            place = _Place(mark.fingerprint, mark.run)
            if place in self._news or len(self._news) < MAX_NEWS:
                self._news[place] = None
            else:
                self._dropped += 1
        if self._news:
            self.has_news.set()

    def _make_room(self) -> None:
        self.expire()
        rank_by_fingerprint = {
            fingerprint: (
                sum(not held.mark.withdrawn for held in by_run.values()),
                max(held.noted for held in by_run.values()),
            )
            for fingerprint, by_run in self._held_by_fingerprint.items()
        }
        wanted = MAX_MARKS - MAX_MARKS // EVICTED_SHARE
        for fingerprint in sorted(
            rank_by_fingerprint, key=lambda f: rank_by_fingerprint[f]
        ):
            if self._count <= wanted:
                break
            for run in list(self._held_by_fingerprint[fingerprint]):
                self._drop(fingerprint, run)

    def _drop(self, fingerprint: Fingerprint, run: UpstreamRun) -> None:
        by_run = self._held_by_fingerprint[fingerprint]
        del by_run[run]
        self._count -= 1
        if not by_run:
            del self._held_by_fingerprint[fingerprint]


def _aged(held: _Held, now: Seconds) -> CrashMark:
    return held.mark._replace(age_seconds=round(now - held.noted, 1))


def format_fingerprint(fingerprint: Fingerprint) -> str:
    """Return how logs and operators name a request; it never reads as a number."""
    return f"{FINGERPRINT_PREFIX}{fingerprint:016x}"


def parse_fingerprint(text: str) -> Fingerprint | None:
    """Return what :func:`format_fingerprint` named, ``None`` for another text."""
    digits = text.removeprefix(FINGERPRINT_PREFIX)
    if digits == text or len(digits) != FINGERPRINT_DIGITS:
        return None
    try:
        return int(digits, 16)
    except ValueError:
        return None
