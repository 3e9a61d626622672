"""Sink that buffers an answer until its outcome is recorded."""

from poplarlug.claims.records import StoredAnswer
from poplarlug.serving.answers import AnswerHead, AnswerSink

MAX_STORED_ANSWER_BYTES = 64 * 1024


class RecordingSink(AnswerSink):
    """
    Buffer an answer of up to :data:`MAX_STORED_ANSWER_BYTES` until delivery.

    A larger answer is streamed to the target and can't be replayed.

    Parameters
    ----------
    target : AnswerSink
        Receives the answer.
    """

    def __init__(self, *, target: AnswerSink) -> None:
        super().__init__()
        self._target = target
        self._head: AnswerHead | None = None
        self._parts: list[bytes] = []
        self._size = 0
        self._is_passthrough = False

    @property
    def answer(self) -> StoredAnswer | None:
        """The complete answer, or ``None`` when it is too large to store."""
        if self._head is None or self._is_passthrough:
            return None
        head = self._head
        body = b"".join(self._parts)
        return StoredAnswer(
            head.status, head.content_type, body, head.served_by, head.zone
        )

    async def start(self, head: AnswerHead) -> None:
        self.started = True
        self._head = head

    async def write(self, data: bytes) -> None:
        if self._is_passthrough:
            await self._target.write(data)
            return
        self._parts.append(data)
        self._size += len(data)
        if self._size > MAX_STORED_ANSWER_BYTES:
            await self._start_passthrough()

    async def finish(self) -> None:
        """Do nothing; :meth:`deliver` finishes the target."""

    async def deliver(self) -> None:
        """Write the buffered answer to the target and finish it."""
        if self._head is not None and not self._is_passthrough:
            await self._start_passthrough()
        await self._target.finish()

    async def _start_passthrough(self) -> None:
        assert self._head is not None
        self._is_passthrough = True
        await self._target.start(self._head)
        for part in self._parts:
            await self._target.write(part)
        self._parts.clear()
