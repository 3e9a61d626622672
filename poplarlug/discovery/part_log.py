"""Recent reports of the prompt parts that a region's entries sent to engines."""

from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

from poplarlug.discovery.prompt_parts import (
    MAX_PARTS_PER_REPORT,
    PART_BYTES,
    EngineParts,
    PartNews,
)
from poplarlug.discovery.record_checks import MAX_BORN, MAX_LOAD, is_name
from poplarlug.discovery.records import UpstreamRun
from poplarlug.logs import ComponentLogger
from poplarlug.settings import short_repr
from poplarlug.types import Address, Seconds, VmName

MAX_LOG_SECONDS = 10.0
"""How long a replica can pass on a report. Entries poll a few times a second; one that
was cut off for longer has much to learn again anyway."""

MAX_LOG_REPORTS = 16_384
"""Maximum number of reports of one engine and entry that a replica keeps; about 3 MB
with a few parts each."""

_log = ComponentLogger(prefix="discovery")


class _Report(NamedTuple):
    revision: int
    received_at: Seconds
    entry: VmName
    run: UpstreamRun
    engine: EngineParts


class _Merged:
    """Sum of the reports of one engine."""

    def __init__(self) -> None:
        self.read_tokens = 0
        self.parts: list[bytes] = []


class PartLog:
    """
    Recent reports of a region's entries at one control replica, by revision.

    Load pattern: hundreds of entries, each of which sends few of the requests that share
    a beginning. Reuse within some ten seconds matters, so a report that is lost, or too
    old when its reader comes, costs a wrong guess and nothing else.
    """

    def __init__(self, *, clock: Callable[[], Seconds]) -> None:
        self._clock = clock
        self._reports: deque[_Report] = deque(maxlen=MAX_LOG_REPORTS)
        self._revision = 0
        self._revisions_by_peer: dict[Address, int] = {}

    def record(self, entry: VmName, engines: Iterable[EngineParts]) -> None:
        """Add the report of an entry; the empty name stands for those of a replica."""
        now = self._clock()
        while self._reports and self._reports[0].received_at < now - MAX_LOG_SECONDS:
            self._reports.popleft()
        for engine in engines:
            if _is_valid(engine):
                self._revision += 1
                self._reports.append(
                    _Report(self._revision, now, entry, engine.run, engine)
                )

    def news_for(self, entry: VmName, known: int) -> PartNews:
        """Return what the other entries sent since the revision ``known``."""
        others = (one for one in self._after(known) if one.entry != entry)
        return PartNews(self._revision, _merge(others))

    def take_for(self, peer: Address) -> tuple[EngineParts, ...]:
        """Return what own entries sent since the last call for another replica."""
        known = self._revisions_by_peer.get(peer, 0)
        self._revisions_by_peer[peer] = self._revision
        # Another replica's reports reach its peers from itself.
        return _merge(one for one in self._after(known) if one.entry)

    def _after(self, known: int) -> list[_Report]:
        found: list[_Report] = []
        for report in reversed(self._reports):
            if report.revision <= known:
                break
            found.append(report)
        return found


def _merge(newest_first: Iterable[_Report]) -> tuple[EngineParts, ...]:
    """Return one report for each engine; if there are too many parts, the newest."""
    merged_by_run: dict[UpstreamRun, _Merged] = {}
    size = 0
    for report in newest_first:
        engine = report.engine
        merged = merged_by_run.get(report.run)
        if merged is None:
            merged = merged_by_run[report.run] = _Merged()
        merged.read_tokens += engine.read_tokens
        if engine.parts and size < PART_BYTES * MAX_PARTS_PER_REPORT:
            size += len(engine.parts)
            merged.parts.append(engine.parts)
    return tuple(
        EngineParts(
            run.id, run.born, min(one.read_tokens, MAX_LOAD), b"".join(one.parts)
        )
        for run, one in merged_by_run.items()
    )


def _is_valid(engine: EngineParts) -> bool:
    """Return whether a report makes sense; log it if it doesn't."""
    size = len(engine.parts)
    if (
        is_name(engine.id)
        and 0 <= engine.born < MAX_BORN
        and 0 <= engine.read_tokens <= MAX_LOAD
        and size % PART_BYTES == 0
        and size <= PART_BYTES * MAX_PARTS_PER_REPORT
    ):
        return True
    _log.warning(
        "ignored a report of prompt parts",
        upstream=short_repr(engine.id),
        born=engine.born,
        read_tokens=engine.read_tokens,
        bytes=size,
    )
    return False
