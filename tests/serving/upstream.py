"""Test upstream that writes scripted bytes, and test sinks."""

import asyncio
from collections.abc import Awaitable, Callable

from poplarlug.serving.answers import AnswerHead, AnswerSink

Answer = Callable[["ScriptedUpstream", asyncio.StreamWriter], Awaitable[None]]

CHUNKED_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class ScriptedUpstream:
    """Answer each request with ``answer`` and count requests and connections."""

    def __init__(self, *, answer: Answer) -> None:
        self._answer = answer
        self.requests = 0
        self.connections = 0
        self.request_received = asyncio.Event()
        self.closed = asyncio.Event()
        self.address = ""

    async def start(self) -> "ScriptedUpstream":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def stop(self) -> None:
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = head.lower().partition(b"content-length:")[2]
                if length:
                    await reader.readexactly(int(length.split(b"\r\n")[0]))
                self.requests += 1
                self.request_received.set()
                await self._answer(self, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self.closed.set()
            writer.close()


class MemorySink(AnswerSink):
    """Store an answer; can reject ``write_nowait`` or report that it is closed."""

    def __init__(self, *, accepts_nowait: bool = True) -> None:
        super().__init__()
        self.accepts_nowait = accepts_nowait
        self.head: AnswerHead | None = None
        self.data = b""
        self.is_closed = False

    @property
    def closed(self) -> bool:
        return self.is_closed

    async def start(self, head: AnswerHead) -> None:
        self.started = True
        self.head = head

    def write_nowait(self, data: bytes) -> bool:
        if self.accepts_nowait:
            self.data += data
        return self.accepts_nowait

    async def write(self, data: bytes) -> None:
        await asyncio.sleep(0)
        self.data += data

    async def finish(self) -> None:
        pass


class WaitingSink(MemorySink):
    """Block each write until :attr:`resume` is set."""

    def __init__(self) -> None:
        super().__init__(accepts_nowait=False)
        self.write_started = asyncio.Event()
        self.resume = asyncio.Event()
        self.taken_bytes = 0

    async def write(self, data: bytes) -> None:
        self.write_started.set()
        await self.resume.wait()
        self.taken_bytes += len(data)
