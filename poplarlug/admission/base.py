"""Interface of admission and the baseline that admits everything."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import NamedTuple, TypeAlias

from returns.result import Result, Success

from poplarlug.catalog import Rank
from poplarlug.types import AccountName, Seconds

PoolName: TypeAlias = str
"""What shares capacity: a model or a plain service."""


class Slots(NamedTuple):
    """
    Capacity of a pool as this entry sees it.

    Parameters
    ----------
    free, total : int
        Own requests that may start now, and that may be in progress at once.
    shared_free : int
        Places that the upstreams have left for all entries together.
    sharers : int
        Entries that share the upstreams.
    """

    free: int
    total: int
    shared_free: int
    entry_count: int = 1


class AdmissionRequest(NamedTuple):
    """
    What admission knows of a request.

    Parameters
    ----------
    slots : callable
        Returns the present capacity of the pool.
    cost : float
        Expected work in seconds of one slot; fairness shares it out.
    """

    pool: PoolName
    account: AccountName
    rank: Rank
    slots: Callable[[], Slots]
    cost: Seconds = 1.0


class Refusal(NamedTuple):
    """A request that isn't run, and when to ask again."""

    message: str
    retry_after_seconds: Seconds


class Permit(ABC):
    """The right to one slot, until :meth:`release`."""

    @abstractmethod
    def mark_placed(self) -> None:
        """Say that the request now counts in the load of an upstream."""

    @abstractmethod
    def release(self) -> None:
        """Give the slot back; further calls change nothing."""


class Admission(ABC):
    """Decides when requests start."""

    @abstractmethod
    def expected_wait(self, request: AdmissionRequest) -> Seconds:
        """Return how long ``request`` would wait for a slot."""

    @abstractmethod
    async def admit(self, request: AdmissionRequest) -> Result[Permit, Refusal]:
        """
        Wait for a slot.

        Returns
        -------
        Success(Permit) or Failure(Refusal)
            The refusal comes at once when no slot is expected in time.
        """


class _NoopPermit(Permit):
    def mark_placed(self) -> None:
        pass

    def release(self) -> None:
        pass


class OpenAdmission(Admission):
    """Baseline: every request starts at once."""

    def expected_wait(self, request: AdmissionRequest) -> Seconds:
        return 0.0

    async def admit(self, request: AdmissionRequest) -> Result[Permit, Refusal]:
        return Success(_NoopPermit())
