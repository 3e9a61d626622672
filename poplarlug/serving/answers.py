"""Where an answer goes while it arrives."""

from abc import ABC, abstractmethod
from typing import NamedTuple


class AnswerHead(NamedTuple):
    """
    What precedes an answer's body.

    Parameters
    ----------
    content_length : int or None
        Length of the body in bytes when it is known beforehand.
    resumed_from : int
        First token of a stream that an engine was asked to resume.
    headers : tuple
        All headers of an answer that is passed on as it is; empty where the
        caller's face makes its own.
    """

    status: int
    content_type: str
    content_length: int | None = None
    served_by: str = ""
    zone: str = ""
    resumed_from: int = 0
    headers: tuple[tuple[str, str], ...] = ()


class AnswerSink(ABC):
    """Takes one answer: :meth:`start`, then any :meth:`write`, :meth:`finish`."""

    def __init__(self) -> None:
        self.started = False

    @abstractmethod
    async def start(self, head: AnswerHead) -> None:
        """Begin the answer; sets ``started``."""

    @abstractmethod
    async def write(self, data: bytes) -> None:
        """Pass on a part of the body."""

    def write_nowait(self, data: bytes) -> bool:
        """Pass on ``data`` if that needs no wait; ``False`` when it was not taken."""
        return False

    @property
    def closed(self) -> bool:
        """Whether nobody is left to take the answer."""
        return False

    @abstractmethod
    async def finish(self) -> None:
        """End the whole answer."""
