"""Faults at random times, drawn from a seed."""

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
"""A control replica comes back without its data, or with a record half written."""

MEAN_GAP_SECONDS = 1.0
"""Mean time between the starts of two faults; they overlap."""

MIN_FAULT_SECONDS = 0.3
MAX_FAULT_SECONDS = 4.0

LIMITED_UPSTREAMS = 2

_PROCESS_KINDS: tuple[FaultKind, ...] = ("kill", "stop", "pause", "hang_up")


class Fault(NamedTuple):
    """
    One fault.

    Parameters
    ----------
    at : float
        Seconds from the start of the load.
    seconds : float
        How long it lasts, where it lasts.
    target : int
        Number of the process, or of the upstream, among those that it fits.
    """

    at: Seconds
    kind: FaultKind | StorageFaultKind
    seconds: Seconds
    target: int

    @property
    def is_of_process(self) -> bool:
        """Whether a process is hit, or an upstream and the way to it."""
        return self.kind in _PROCESS_KINDS

    @property
    def is_of_storage(self) -> bool:
        """Whether a control replica's data folder is hit."""
        return self.kind in get_args(StorageFaultKind)


def draw_schedule(rng: Random, *, seconds: Seconds) -> tuple[Fault, ...]:
    """Return the faults of one run in the order of their times."""
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

    One disk may be lost at a time, until another replica has its content again.
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


class Limitation(NamedTuple):
    """
    A time in which an upstream names a limit.

    Parameters
    ----------
    at, seconds : float
        Its start from that of the load, and how long it lasts.
    rate : float
        Requests a second that it names.
    target : int
        Number of the upstream.
    """

    at: Seconds
    seconds: Seconds
    rate: float
    target: int


LIMITED_SECONDS = (7.0, 12.0)
"""Limits bind after five seconds, in windows of four."""

LIMIT_RATES = (0.5, 1.0, 2.5)


def draw_limitations(rng: Random, *, seconds: Seconds) -> tuple[Limitation, ...]:
    """Return when upstreams name limits in one run, one of them at a time each."""
    return tuple(
        Limitation(
            at=round(rng.uniform(0.0, seconds / 2), 3),
            seconds=round(rng.uniform(*LIMITED_SECONDS), 3),
            rate=rng.choice(LIMIT_RATES),
            target=target,
        )
        for target in rng.sample(range(LIMITED_UPSTREAMS + 1), LIMITED_UPSTREAMS)
    )
