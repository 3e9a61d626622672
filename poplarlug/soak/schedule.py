"""Random fault schedules drawn from a seed."""

from random import Random
from typing import Literal, NamedTuple, TypeAlias, get_args

from poplarlug.types import Seconds

FaultKind: TypeAlias = Literal[
    "kill",
    "stop",
    "pause",
    "hang_up",
    "reset",
    "silence",
    "delay",
    "lose_back",
    "upstream_error",
    "upstream_cut",
    "upstream_reset",
    "leave",
]

StorageFaultKind: TypeAlias = Literal["lose_disk", "tear_log"]
"""A control replica restarts without its data, or with a truncated log record."""

UpstreamEndKind: TypeAlias = Literal["end"]
"""An upstream ends as a killed process does, and comes back under a new id."""

SlownessKind: TypeAlias = Literal["slow"]
"""An upstream works long on each part of the answers that it sends in parts."""

MEAN_GAP_SECONDS = 1.0
"""Mean time between the starts of two faults; faults may overlap."""

MIN_FAULT_SECONDS = 0.3
MAX_FAULT_SECONDS = 4.0

SERIES_GAP_SECONDS = 1.5
"""Mean time between the starts of two series; they may overlap."""

SERIES_FAULTS = (3, 6)
SERIES_STEP_SECONDS = 0.6
"""Bounds of the number of faults in a series, and the most time between two of them."""

END_SECONDS = (1.0, 3.0)
"""Bounds of the time until an upstream is back; a start of a process takes as long."""

SLOW_PART_SECONDS = (0.24, 1.6)
"""With one of these times a part a stream, or a plain answer, outlasts an entry's drain
and ends within the time that its caller allows."""

SLOW_SECONDS = (3.0, 8.0)
SLOW_GAP_SECONDS = 1.0
"""Bounds of a period of slowness, and the mean time between the starts of two."""

STOP_SERIES_GAP_SECONDS = 4.0
"""Mean time between the starts of two series of planned stops; they may overlap."""

MAX_SERIES_STOPS = 6
STOP_STEP_SECONDS = 1.5
"""The most time between two planned stops of a series."""

LIMITED_UPSTREAMS = 2

_PROCESS_KINDS: tuple[FaultKind, ...] = ("kill", "stop", "pause", "hang_up")


class Fault(NamedTuple):
    """
    One scheduled fault.

    Parameters
    ----------
    at : float
        Seconds from the start of the fault injection.
    seconds : float
        Duration, for kinds of faults that have one.
    target : int
        Index of the affected process or upstream, modulo the number of candidates.
    """

    at: Seconds
    kind: FaultKind | StorageFaultKind | UpstreamEndKind | SlownessKind
    seconds: Seconds
    target: int

    @property
    def affects_process(self) -> bool:
        """Whether it affects a process, not an upstream or the link to it."""
        return self.kind in _PROCESS_KINDS

    @property
    def affects_storage(self) -> bool:
        """Whether it affects the data directory of a control replica."""
        return self.kind in get_args(StorageFaultKind)


def draw_schedule(rng: Random, *, seconds: Seconds) -> tuple[Fault, ...]:
    """Return the faults of one run in order of time."""
    faults = []
    at = rng.expovariate(1 / MEAN_GAP_SECONDS)
    while at < seconds:
        faults.append(
            Fault(
                at=round(at, 3),
                kind=rng.choice(get_args(FaultKind)),
                seconds=round(rng.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS), 3),
                target=rng.randrange(1000),
            )
        )
        at += rng.expovariate(1 / MEAN_GAP_SECONDS)
    return tuple(faults)


def draw_series(rng: Random, *, seconds: Seconds) -> tuple[Fault, ...]:
    """
    Return series of faults in quick succession, at one target or at all in turn.

    Ends of upstreams alternate with signals to processes.
    """
    faults: list[Fault] = []
    is_upstream = True
    at = rng.expovariate(1 / SERIES_GAP_SECONDS)
    while at < seconds:
        target, step = rng.randrange(1000), rng.choice((0, 1))
        moment = at
        for number in range(rng.randint(*SERIES_FAULTS)):
            bounds = END_SECONDS
            kind: FaultKind | UpstreamEndKind = "end"
            if not is_upstream:
                bounds = (MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
                kind = rng.choice(_PROCESS_KINDS)
            length = round(rng.uniform(*bounds), 3)
            faults.append(Fault(round(moment, 3), kind, length, target + number * step))
            moment += rng.uniform(0.0, SERIES_STEP_SECONDS)
        is_upstream = not is_upstream
        at += rng.expovariate(1 / SERIES_GAP_SECONDS)
    return tuple(faults)


def draw_storage_faults(rng: Random, *, seconds: Seconds) -> tuple[Fault, ...]:
    """
    Return the storage faults of one run: one lost disk and two torn logs.

    Only one disk is lost, because at most one may be lost at a time until the data
    has been replicated again.
    """
    kinds: tuple[StorageFaultKind, ...] = ("lose_disk", "tear_log", "tear_log")
    return tuple(
        Fault(
            at=round(rng.uniform(0.0, seconds), 3),
            kind=kind,
            seconds=round(rng.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS), 3),
            target=rng.randrange(1000),
        )
        for kind in kinds
    )


def draw_slowness(rng: Random, *, seconds: Seconds) -> tuple[Fault, ...]:
    """Return the periods in which an upstream is slow; they may overlap."""
    faults = []
    at = 0.0
    while at < seconds:
        length = round(rng.uniform(*SLOW_SECONDS), 3)
        faults.append(Fault(round(at, 3), "slow", length, rng.randrange(1000)))
        at += rng.expovariate(1 / SLOW_GAP_SECONDS)
    return tuple(faults)


def draw_stops(rng: Random, *, seconds: Seconds, entries: int) -> tuple[Fault, ...]:
    """Return series of planned stops of entries in turn, at least two in a series."""
    faults = []
    at = rng.expovariate(1 / STOP_SERIES_GAP_SECONDS)
    while at < seconds:
        target, moment = rng.randrange(entries), at
        for number in range(rng.randint(2, min(entries, MAX_SERIES_STOPS))):
            length = round(rng.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS), 3)
            stopped = (target + number) % entries
            faults.append(Fault(round(moment, 3), "stop", length, stopped))
            moment += rng.uniform(0.0, STOP_STEP_SECONDS)
        at += rng.expovariate(1 / STOP_SERIES_GAP_SECONDS)
    return tuple(faults)


class ScheduledLimit(NamedTuple):
    """
    Period in which an upstream announces a rate limit.

    Parameters
    ----------
    at, seconds : float
        Start in seconds from the start of the fault injection, and duration.
    rate : float
        Announced limit in requests per second.
    target : int
        Index of the upstream, modulo the number of upstreams.
    """

    at: Seconds
    seconds: Seconds
    rate: float
    target: int


LIMITED_SECONDS = (7.0, 12.0)
"""Bounds of a period; limits are checked from 5 s on, in windows of 4 s."""

LIMIT_RATES = (0.5, 1.0, 2.5)


def draw_limits(rng: Random, *, seconds: Seconds) -> tuple[ScheduledLimit, ...]:
    """Return the rate limit periods of one run, at most one per upstream."""
    return tuple(
        ScheduledLimit(
            at=round(rng.uniform(0.0, seconds / 2), 3),
            seconds=round(rng.uniform(*LIMITED_SECONDS), 3),
            rate=rng.choice(LIMIT_RATES),
            target=target,
        )
        for target in rng.sample(range(LIMITED_UPSTREAMS + 1), LIMITED_UPSTREAMS)
    )
