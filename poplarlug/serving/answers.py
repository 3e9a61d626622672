"""Interface of sinks that receive an answer as it arrives."""

from abc import ABC, abstractmethod
from typing import NamedTuple


class AnswerHead(NamedTuple):
    """
    Status and headers of an answer.

    Parameters
    ----------
    content_length : int or None
        Length of the body in bytes, if known in advance.
    resumed_from : int
        Index of the first token in a stream that an engine resumed.
    headers : tuple
        All headers of an answer that is passed on unchanged; empty when the
        caller-facing server sets its own.
    """

    status: int
    content_type: str
    content_length: int | None = None
    served_by: str = ""
    zone: str = ""
    resumed_from: int = 0
    headers: tuple[tuple[str, str], ...] = ()


class CallerLostError(Exception):
    """
    The receiver of an answer is gone or doesn't read, which tells nothing of its sender.

    It is no ``OSError``, so that it can't be taken for an error of the sender's connection.
    """


class AnswerSink(ABC):
    """
    Receives one answer: :meth:`start`, any number of :meth:`write`, :meth:`finish`.

    Each of them may raise :class:`CallerLostError`.
    """

    def __init__(self) -> None:
        self.started = False

    @abstractmethod
    async def start(self, head: AnswerHead) -> None:
        """Start the answer and set ``started``."""

    @abstractmethod
    async def write(self, data: bytes) -> None:
        """Write a part of the body, waiting while the receiver is slow."""

    def write_nowait(self, data: bytes) -> bool:
        """Write ``data`` if that needs no wait; return whether it was accepted."""
        return False

    @property
    def closed(self) -> bool:
        """Whether the receiver of the answer is gone."""
        return False

    @abstractmethod
    async def finish(self) -> None:
        """End an answer that was written completely."""
