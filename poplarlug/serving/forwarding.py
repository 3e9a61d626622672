"""Forwarding of requests between entries of different zones."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import msgspec
from returns.result import Failure
from structlog.contextvars import bind_contextvars

from poplarlug.errors import GatewayError, not_run, outcome_unknown, truncated_answer
from poplarlug.logs import ComponentLogger
from poplarlug.serving.answers import AnswerHead, AnswerSink
from poplarlug.serving.requests import GatewayRequest
from poplarlug.serving.trace import current_trace
from poplarlug.transport import Transport
from poplarlug.types import VmName

FORWARD_TOPIC = "serving.forward"
QUEUED_CHUNKS = 64

_log = ComponentLogger(prefix="serving")

_HEAD = b"H"
_BODY = b"B"
_ERROR = b"E"

RequestHandler = Callable[[GatewayRequest, AnswerSink], Awaitable[GatewayError | None]]


class Forwarder:
    """Forward requests to other entries and serve requests forwarded by them."""

    def __init__(self, *, transport: Transport) -> None:
        self._transport = transport
        self._handler: RequestHandler | None = None

    def set_handler(self, handler: RequestHandler) -> None:
        """Serve requests forwarded by other entries with ``handler``."""
        self._handler = handler
        self._transport.serve_stream(FORWARD_TOPIC, GatewayRequest, self._serve_peer)

    async def forward(
        self, request: GatewayRequest, entry: VmName, sink: AnswerSink
    ) -> GatewayError | None:
        """Forward ``request`` to ``entry`` and write the answer to ``sink``."""
        current_trace().forwarded = True
        opened = self._transport.open_stream(
            peer=entry,
            topic=FORWARD_TOPIC,
            message=request._replace(hops=request.hops + 1),
        )
        if isinstance(opened, Failure):
            return not_run(opened.failure().message, 1.0)
        stream = opened.unwrap()
        answer = _ReceivedAnswer(sink=sink)
        try:
            while True:
                item = await stream.next_chunk()
                if isinstance(item, Failure):
                    # The outcome is unknown: the peer may have sent the request on.
                    _log.warning(
                        "lost the stream of a forwarded request",
                        entry=entry,
                        started=sink.started,
                        reason=item.failure().message,
                    )
                    if not sink.started:
                        return outcome_unknown(item.failure().message)
                    return truncated_answer(item.failure().message)
                chunk = item.unwrap()
                if chunk is None:
                    return answer.check_end(request.method)
                error = await answer.take(chunk)
                if error is not None:
                    return error
        finally:
            stream.cancel()

    async def _serve_peer(
        self, sender: VmName, request: GatewayRequest
    ) -> AsyncIterator[bytes]:
        assert self._handler is not None
        sink = _QueueSink()
        serving = asyncio.ensure_future(self._serve_into(request, sink))
        try:
            while True:
                part = await sink.parts.get()
                if part is None:
                    return
                yield part
        finally:
            serving.cancel()

    async def _serve_into(self, request: GatewayRequest, sink: "_QueueSink") -> None:
        assert self._handler is not None
        bind_contextvars(request_id=request.id)
        try:
            error = await self._handler(request, sink)
        except Exception as failure:
            _log.error("unhandled exception in a forwarded request", exc_info=True)
            error = outcome_unknown(f"the serving entry failed: {failure!r}")
        if error is not None:
            await sink.parts.put(_ERROR + msgspec.msgpack.encode(error))
        await sink.parts.put(None)


class _QueueSink(AnswerSink):
    """Queues an answer's parts for the stream to the peer."""

    def __init__(self) -> None:
        super().__init__()
        self.parts: asyncio.Queue[bytes | None] = asyncio.Queue(QUEUED_CHUNKS)

    async def start(self, head: AnswerHead) -> None:
        self.started = True
        await self.parts.put(_HEAD + msgspec.msgpack.encode(head))

    async def write(self, data: bytes) -> None:
        await self.parts.put(_BODY + data)

    async def finish(self) -> None:
        pass


class _ReceivedAnswer:
    """Writes the parts of an answer to a sink, and checks that they make a whole one."""

    def __init__(self, *, sink: AnswerSink) -> None:
        self._sink = sink
        self._head: AnswerHead | None = None
        self._body_bytes = 0

    async def take(self, part: bytes) -> GatewayError | None:
        """Write a part; return the error that the peer sent in place of one."""
        tag, data = part[:1], part[1:]
        if tag == _BODY:
            self._body_bytes += len(data)
            await self._sink.write(data)
        elif tag == _HEAD:
            self._head = msgspec.msgpack.decode(data, type=AnswerHead)
            await self._sink.start(self._head)
        else:
            return msgspec.msgpack.decode(data, type=GatewayError)
        return None

    def check_end(self, method: str) -> GatewayError | None:
        """Return an error if the stream has ended before the answer to ``method``."""
        head = self._head
        if head is None:
            return outcome_unknown("the entry's stream ended without an answer")
        has_body = method != "HEAD" and head.status not in (204, 304)
        length = head.content_length if has_body else None
        if length is not None and length != self._body_bytes:
            message = f"the entry sent {self._body_bytes} of {length} bytes"
            return truncated_answer(message)
        return None
