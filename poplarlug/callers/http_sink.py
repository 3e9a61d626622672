"""Writes an answer to the caller's HTTP connection."""

import asyncio
from collections.abc import Callable, Mapping

from aiohttp import web
from multidict import CIMultiDict

from poplarlug.logs import ComponentLogger
from poplarlug.serving.answers import AnswerHead, AnswerSink, CallerLostError
from poplarlug.serving.trace import RequestTrace
from poplarlug.sockets import reset_connection, set_reset_at_close

WRITE_TIMEOUT_SECONDS = 30.0
HIGH_WATER_BYTES = 32 * 1024
MAX_BUFFERED_BYTES = 64 * 1024
FIRST_DRAIN_POLL_SECONDS = 0.005
MAX_DRAIN_POLL_SECONDS = 0.2

_log = ComponentLogger(prefix="callers")


class HttpSink(AnswerSink):
    """
    Write an answer to the caller of a request.

    The head is sent through aiohttp; the body is written directly to the caller's
    transport, with the chunked encoding that aiohttp chose for the response. A small
    answer of known length is buffered until it is complete and sent in one write.

    Parameters
    ----------
    should_close : callable, optional
        Returns whether to close the connection after the answer.
    on_slow : callable, optional
        Called each time that a part of the answer has to wait for the caller.
    """

    def __init__(
        self,
        *,
        request: web.BaseRequest,
        request_id: str,
        trace: RequestTrace | None = None,
        should_close: Callable[[], bool] | None = None,
        on_slow: Callable[[], None] | None = None,
    ) -> None:
        super().__init__()
        self._request = request
        self._request_id = request_id
        self._trace = trace or RequestTrace(request_id=request_id, started_at=0.0)
        self._should_close = should_close
        self._on_slow = on_slow
        self._transport = request.transport
        self._chunked = False
        self._buffer: bytearray | None = None
        self._head: AnswerHead | None = None
        self._finished = False
        self._is_given_up = False
        self.response: web.StreamResponse | None = None

    @property
    def closed(self) -> bool:
        transport = self._transport
        return self._is_given_up or transport is None or transport.is_closing()

    def give_up(self) -> None:
        """Write nothing more, as the request gets another answer."""
        self._is_given_up = True

    async def start(self, head: AnswerHead) -> None:
        self.started = True
        self._head = self._trace.head = head
        if (
            head.content_length is not None
            and head.content_length <= MAX_BUFFERED_BYTES
        ):
            self._buffer = bytearray()
            return
        if self._is_given_up:
            raise CallerLostError("the caller got another answer")
        response = web.StreamResponse(status=head.status, headers=self._headers(head))
        if head.content_length is not None:
            response.content_length = head.content_length
        self.response = response
        self._force_close_if_needed(response)
        try:
            await response.prepare(self._request)
        except ConnectionResetError as error:
            raise CallerLostError("the caller is gone") from error
        coding = response.headers.get("Transfer-Encoding", "")
        self._chunked = coding == "chunked"
        if self._ends_with_connection and not self.closed:
            # Otherwise the answer would look whole if this process ended now.
            assert self._transport is not None
            set_reset_at_close(self._transport, True)

    def write_nowait(self, data: bytes) -> bool:
        if self._buffer is not None:
            self._count(data)
            self._buffer += data
            return True
        transport = self._transport
        if transport is None or self.closed:
            return False
        if transport.get_write_buffer_size() > HIGH_WATER_BYTES:
            return False
        self._count(data)
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        transport.write(data)
        return True

    async def write(self, data: bytes) -> None:
        """
        Write a part of the body once the write buffer has room.

        Raises
        ------
        CallerLostError
            When the caller has disconnected, or the buffer has no room for
            ``WRITE_TIMEOUT_SECONDS``, as the caller does not read.
        """
        if self.write_nowait(data):
            return
        if self._on_slow is not None and not self.closed:
            self._on_slow()
        await self._poll(lambda: self.write_nowait(data))

    async def finish(self) -> None:
        """Complete the answer; a second call does nothing."""
        if self._finished:
            return
        self._finished = True
        if self._buffer is not None:
            self.response = self._buffered_response(bytes(self._buffer))
            self._force_close_if_needed(self.response)
        assert self.response is not None
        if self.closed:
            self._trace.abandoned = True
            return
        try:
            if self._buffer is not None:
                await self.response.prepare(self._request)
            await self.response.write_eof()
        except ConnectionResetError:
            self._trace.abandoned = True
            return
        if self._ends_with_connection:
            await self._end_gracefully()

    def break_off(self) -> None:
        """Abort the connection, so that the answer can't be taken for a complete one."""
        transport = self._transport
        if transport is None:
            return
        if self._ends_with_connection:
            # The end of the connection is the end of the answer, unless it is reset.
            reset_connection(transport)
        else:
            transport.abort()

    @property
    def _ends_with_connection(self) -> bool:
        """Whether only the end of the connection shows the end of the answer."""
        response = self.response
        if response is None or self._chunked:
            return False
        return response.content_length is None

    async def _end_gracefully(self) -> None:
        """Let the connection end without a reset once this process holds no byte."""
        transport = self._transport
        assert transport is not None
        try:
            await self._poll(lambda: transport.get_write_buffer_size() == 0)
            set_reset_at_close(transport, False)
        except (CallerLostError, OSError) as error:
            _log.warning("a caller did not read the end", error=repr(error))

    async def _poll(self, is_done: Callable[[], bool]) -> None:
        """Wait until ``is_done()``; see :meth:`write` for its errors."""
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_SECONDS):
                delay = FIRST_DRAIN_POLL_SECONDS
                while not is_done():
                    if self.closed:
                        raise CallerLostError("the caller is gone")
                    await asyncio.sleep(delay)
                    delay = min(2 * delay, MAX_DRAIN_POLL_SECONDS)
        except TimeoutError:
            message = f"the caller read nothing for {WRITE_TIMEOUT_SECONDS} s"
            raise CallerLostError(message) from None

    def _count(self, data: bytes) -> None:
        trace = self._trace
        trace.bytes += len(data)
        if trace.first_byte_at is None:
            trace.first_byte_at = asyncio.get_running_loop().time()

    def _buffered_response(self, body: bytes) -> web.Response:
        assert self._head is not None
        headers = self._headers(self._head)
        response = web.Response(status=self._head.status, headers=headers, body=body)
        if self._request.method == "HEAD":
            response.content_length = self._head.content_length
        return response

    def _force_close_if_needed(self, response: web.StreamResponse) -> None:
        if self._should_close is not None and self._should_close():
            response.force_close()

    def _headers(self, head: AnswerHead) -> Mapping[str, str]:
        if head.headers:
            return CIMultiDict(head.headers)
        headers = {
            "Content-Type": head.content_type,
            "X-Request-Id": self._request_id,
            "X-Served-Zone": head.zone,
        }
        if head.served_by:
            headers["X-Served-By"] = head.served_by
        return headers
