"""Token counting for resuming a broken stream at another upstream."""

import msgspec

from poplarlug.relay.held_bytes import MIN_COMPLETION_BYTES, HeldBytesReservation
from poplarlug.serving.answers import AnswerHead, AnswerSink
from poplarlug.serving.requests import GatewayRequest

EVENT_END = b"\n\n"
EVENT_START = b"data:"
LAST_EVENT = b"data: [DONE]\n\n"
EVENT_STREAM = "text/event-stream"

_END_OVERLAP_BYTES = 3
"""Length of the longest end of an event minus one."""


class NotResumedError(OSError):
    """An upstream didn't resume a stream at the requested token."""


class StreamProgress(AnswerSink):
    """
    Pass on complete events only, and count those that carry a token.

    The stream of a further attempt continues after the last complete event of the
    previous one; an incomplete event of the previous attempt is dropped.

    Parameters
    ----------
    target : AnswerSink
        Receives the single stream that all attempts together make.
    reservation : HeldBytesReservation
        For an incomplete event; one that exceeds it is passed on unchanged.
    """

    def __init__(
        self, *, target: AnswerSink, reservation: HeldBytesReservation
    ) -> None:
        super().__init__()
        self._target = target
        self._reservation = reservation
        self._pending = bytearray()
        self._is_event_stream = False
        self._is_unparsable = False
        self._first_token = 0
        self.tokens = 0

    @property
    def closed(self) -> bool:
        return self._target.closed

    @property
    def can_resume(self) -> bool:
        """Whether another attempt can continue the answer."""
        return not self.started or (self._is_event_stream and not self._is_unparsable)

    def request_of_next_attempt(self, request: GatewayRequest) -> GatewayRequest:
        """Return ``request`` asking for the tokens after those already passed on."""
        self._pending = bytearray()
        if self.tokens == 0:
            return request
        body = msgspec.json.decode(request.body)
        body["resume_from"] = int(body.get("resume_from", 0)) + self.tokens
        return request._replace(body=msgspec.json.encode(body))

    async def start(self, head: AnswerHead) -> None:
        """
        Start the answer, or continue it with a further attempt.

        Raises
        ------
        NotResumedError
            If a further attempt doesn't continue after the tokens passed on.
        """
        is_stream = head.status == 200 and head.content_type.startswith(EVENT_STREAM)
        if not self.started:
            self.started = True
            self._is_event_stream = is_stream
            self._first_token = head.resumed_from
            await self._target.start(head)
            return
        expected = self._first_token + self.tokens
        if not is_stream or (self.tokens and head.resumed_from != expected):
            raise NotResumedError(
                f"the upstream resumed from token {head.resumed_from}, "
                f"expected {expected}"
            )

    def write_nowait(self, data: bytes) -> bool:
        if not self._is_event_stream:
            return self._target.write_nowait(data)
        whole, rest = self._split(data)
        if whole and not self._target.write_nowait(whole):
            return False
        self._count(whole, rest)
        return True

    async def write(self, data: bytes) -> None:
        if not self._is_event_stream:
            await self._target.write(data)
            return
        whole, rest = self._split(data)
        if whole:
            await self._target.write(whole)
        self._count(whole, rest)

    async def finish(self) -> None:
        if self._pending:
            await self._target.write(bytes(self._pending))
            self._pending = bytearray()
        await self._target.finish()

    def _split(self, data: bytes) -> tuple[bytes, bytes]:
        if not self._pending and data.endswith(EVENT_END):
            return data, b""
        # What is pending contains no end, but may end with the start of one.
        overlap = bytes(self._pending[-_END_OVERLAP_BYTES:])
        found = overlap + data
        count = len(self._pending) + len(data)
        has_room = self._reservation.resize(count) or count <= MIN_COMPLETION_BYTES
        if b"\r\n\r\n" in found or not has_room:
            # Not events delimited by "\n\n": pass the data on unchanged.
            self._is_unparsable = True
            return bytes(self._pending) + data, b""
        end = found.rfind(EVENT_END)
        if end < 0:
            return b"", data
        start = end + len(EVENT_END) - len(overlap)
        return bytes(self._pending) + data[:start], data[start:]

    def _count(self, whole: bytes, rest: bytes) -> None:
        if whole:
            self._pending.clear()
        self._pending += rest
        self._reservation.resize(len(self._pending))
        self.tokens += whole.count(EVENT_END + EVENT_START)
        self.tokens += whole.startswith(EVENT_START)
        self.tokens -= whole.endswith(LAST_EVENT)
