"""Admission interface and a baseline that admits every request."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import NamedTuple, TypeAlias

from returns.result import Result, Success

from poplarlug.catalog import Rank
from poplarlug.types import AccountName, Seconds

PoolName: TypeAlias = str
"""Name of a unit of shared capacity: a model or a plain service."""


class Slots(NamedTuple):
    """
    Capacity of a pool as estimated by this entry.

    Parameters
    ----------
    free, total : int
        How many more requests this entry may start now, and how many it may have
        in progress at once.
    shared_free : int
        Free slots of the upstreams, for all entries together.
    entry_count : int
        Number of entries that share the upstreams.
    """

    free: int
    total: int
    shared_free: int
    entry_count: int = 1


class AdmissionRequest(NamedTuple):
    """
    Properties of a request that admission reads.

    Parameters
    ----------
    slots : callable
        Returns the current capacity of the pool.
    cost : float
        Expected work in slot-seconds, the unit of fair queueing.
    """

    pool: PoolName
    account: AccountName
    rank: Rank
    slots: Callable[[], Slots]
    cost: Seconds = 1.0


class Refusal(NamedTuple):
    """Why a request was not admitted, and when to retry it."""

    message: str
    retry_after_seconds: Seconds


class Permit(ABC):
    """Ownership of one slot until :meth:`release`."""

    @abstractmethod
    def mark_placed(self) -> None:
        """Signal that the request is now counted in an upstream's load."""

    @abstractmethod
    def release(self) -> None:
        """Return the slot; idempotent."""


class Admission(ABC):
    """Decides when requests start."""

    @abstractmethod
    def expected_wait(self, request: AdmissionRequest) -> Seconds:
        """Return the expected wait of ``request`` for a slot."""

    @abstractmethod
    async def admit(self, request: AdmissionRequest) -> Result[Permit, Refusal]:
        """
        Wait for a slot.

        Returns
        -------
        Success(Permit) or Failure(Refusal)
            Refused immediately when no slot is expected in time.
        """


class _NoopPermit(Permit):
    def mark_placed(self) -> None:
        pass

    def release(self) -> None:
        pass


class OpenAdmission(Admission):
    """Baseline: start every request immediately."""

    def expected_wait(self, request: AdmissionRequest) -> Seconds:
        return 0.0

    async def admit(self, request: AdmissionRequest) -> Result[Permit, Refusal]:
        return Success(_NoopPermit())
