"""Interface of the replicated log and of the state that it feeds."""

from abc import ABC, abstractmethod
from enum import Enum
from typing import Any, NamedTuple

from returns.result import Result

from poplarlug.types import VmName


class ProposeErrorKind(Enum):
    """
    Why a proposal has no outcome.

    ``NOT_LEADER`` says that it was not taken in; ``UNKNOWN`` that it may be
    committed still.
    """

    NOT_LEADER = "not_leader"
    UNKNOWN = "unknown"


class ProposeError(NamedTuple):
    kind: ProposeErrorKind
    message: str
    leader: VmName | None = None


class StateMachine(ABC):
    """State that is a function of the committed commands in their order."""

    @abstractmethod
    def apply(self, command: bytes) -> Any:
        """Apply the next committed command and return its outcome."""

    @abstractmethod
    def snapshot(self) -> bytes:
        """Return the whole state."""

    @abstractmethod
    def restore(self, data: bytes) -> None:
        """Replace the whole state by one that :meth:`snapshot` gave."""


class ReplicatedLog(ABC):
    """A log of commands, kept by the control replicas together."""

    @property
    @abstractmethod
    def leader(self) -> VmName | None:
        """Name of the leader, ``None`` when none is known."""

    @abstractmethod
    async def propose(self, command: bytes) -> Result[Any, ProposeError]:
        """Return the outcome of ``command`` after it was committed and applied."""

    @abstractmethod
    async def run(self) -> None:
        """Keep the log until cancelled."""
