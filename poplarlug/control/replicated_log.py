"""Interfaces of the replicated log and its state machine."""

from abc import ABC, abstractmethod
from enum import Enum
from typing import Any, NamedTuple

from returns.result import Result

from poplarlug.types import VmName


class ProposeErrorKind(Enum):
    """
    Why a proposal has no outcome.

    ``NOT_LEADER`` means that it was not appended; ``UNKNOWN`` that it may still be
    committed.
    """

    NOT_LEADER = "not_leader"
    UNKNOWN = "unknown"


class ProposeError(NamedTuple):
    kind: ProposeErrorKind
    message: str
    leader: VmName | None = None


class LogEntry(NamedTuple):
    """
    A committed command and its position in the log.

    Parameters
    ----------
    term : int
        Term of the leader that appended the command.
    log_index : int
        Position in the log, starting at 1.
    """

    term: int
    log_index: int
    command: bytes


class StateMachine(ABC):
    """State determined by the committed commands in log order."""

    @abstractmethod
    def apply(self, entry: LogEntry) -> Any:
        """Apply the next committed command and return its outcome."""

    @abstractmethod
    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""

    @abstractmethod
    def restore(self, data: bytes) -> None:
        """Replace the whole state with one returned by :meth:`snapshot`."""


class ReplicatedLog(ABC):
    """A log of commands, replicated between the control replicas."""

    @property
    @abstractmethod
    def leader(self) -> VmName | None:
        """Name of the leader, ``None`` if none is known."""

    @property
    @abstractmethod
    def is_leader(self) -> bool:
        """Whether this replica currently leads, within its lease."""

    @property
    @abstractmethod
    def is_current(self) -> bool:
        """Whether all entries committed before the current term are applied here."""

    @abstractmethod
    async def propose(self, command: bytes) -> Result[Any, ProposeError]:
        """Return the outcome of ``command`` once it is committed and applied."""

    @abstractmethod
    async def run(self) -> None:
        """Run the replica of the log until cancelled."""
