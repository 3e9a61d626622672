"""Token counting for resuming a broken stream at another upstream."""

import msgspec

from poplarlug.serving.answers import AnswerHead, AnswerSink
from poplarlug.serving.requests import GatewayRequest

EVENT_END = b"\n\n"
EVENT_START = b"data:"
LAST_EVENT = b"data: [DONE]\n\n"
EVENT_STREAM = "text/event-stream"
MAX_EVENT_BYTES = 1024 * 1024


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
    """

    def __init__(self, *, target: AnswerSink) -> None:
        super().__init__()
        self._target = target
        self._pending = b""
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
        self._pending = b""
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
            await self._target.write(self._pending)
            self._pending = b""
        await self._target.finish()

    def _split(self, data: bytes) -> tuple[bytes, bytes]:
        if not self._pending and data.endswith(EVENT_END):
            return data, b""
        data = self._pending + data
        if len(data) > MAX_EVENT_BYTES or b"\r\n\r\n" in data:
            # Not events delimited by "\n\n": pass the data on unchanged.
            self._is_unparsable = True
            return data, b""
        end = data.rfind(EVENT_END)
        whole_bytes = 0 if end < 0 else end + len(EVENT_END)
        return data[:whole_bytes], data[whole_bytes:]

    def _count(self, whole: bytes, rest: bytes) -> None:
        self._pending = rest
        self.tokens += whole.count(EVENT_END + EVENT_START)
        self.tokens += whole.startswith(EVENT_START)
        self.tokens -= whole.endswith(LAST_EVENT)
