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

MEAN_GAP_SECONDS = 1.0
"""Mean time between the starts of two faults; faults may overlap."""

MIN_FAULT_SECONDS = 0.3
MAX_FAULT_SECONDS = 4.0

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
    kind: FaultKind | StorageFaultKind
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
