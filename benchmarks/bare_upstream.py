"""Minimal low-overhead upstream with a fixed small response or paced token streams."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from poplarlug.fakes.announcer import Announcer

TICK_SECONDS = 0.001
TOKEN_EVENT = (
    b'data: {"id":"chatcmpl-1","object":"chat.completion.chunk","model":"corn-7b",'
    b'"choices":[{"index":0,"delta":{"content":" peel"},"finish_reason":null}]}\n\n'
)
TOKEN_CHUNK = b"%x\r\n%b\r\n" % (len(TOKEN_EVENT), TOKEN_EVENT)
LAST_EVENT = b"data: [DONE]\n\n"
LAST_CHUNK = b"%x\r\n%b\r\n0\r\n\r\n" % (len(LAST_EVENT), LAST_EVENT)
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
SMALL_BODY = b'{"choices":[{"message":{"role":"assistant","content":"peel"}}]}'
SMALL_ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
    % (len(SMALL_BODY), SMALL_BODY)
)


class Pacer:
    """Write a token to each stream every ``interval_ticks``, staggered by stream."""

    def __init__(self) -> None:
        self._due_by_tick: dict[int, list[tuple[BareProtocol, int, int]]] = {}
        self._tick = 0
        self._streams = 0

    def add(self, stream: "BareProtocol", tokens: int, interval_ticks: int) -> None:
        self._streams += 1
        first = self._tick + 1 + self._streams % interval_ticks
        self._due_by_tick.setdefault(first, []).append((stream, tokens, interval_ticks))

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        while True:
            now_tick = int((loop.time() - started) / TICK_SECONDS)
            while self._tick < now_tick:
                self._tick += 1
                self._write_due(self._due_by_tick.pop(self._tick, ()))
            await asyncio.sleep(TICK_SECONDS)

    def _write_due(self, due: "list[tuple[BareProtocol, int, int]] | tuple") -> None:
        for stream, tokens, interval in due:
            if stream.transport.is_closing():
                continue
            if tokens == 0:
                stream.transport.write(LAST_CHUNK)
                continue
            stream.transport.write(TOKEN_CHUNK)
            later = self._due_by_tick.setdefault(self._tick + interval, [])
            later.append((stream, tokens - 1, interval))


class BareProtocol(asyncio.Protocol):
    """Server side of one connection; request bodies need a ``Content-Length``."""

    transport: asyncio.Transport

    def __init__(self, *, pacer: Pacer) -> None:
        self._pacer = pacer
        self._data = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self._data += data
        head, separator, body = self._data.partition(b"\r\n\r\n")
        if not separator:
            return
        lowered = head.lower()
        at = lowered.find(b"content-length:")
        length = int(lowered[at + 15 :].split(b"\r\n")[0]) if at >= 0 else 0
        if len(body) < length:
            return
        self._data = b""
        parameters = json.loads(body)
        if not parameters.get("stream"):
            self.transport.write(SMALL_ANSWER)
            return
        self.transport.write(STREAM_HEAD)
        self._pacer.add(self, parameters["max_tokens"], parameters["interval_ticks"])


async def main(entry: str, addresses: list[str]) -> None:
    """Listen at ``addresses`` and announce each to ``entry`` as an upstream."""
    pacer = Pacer()
    loop = asyncio.get_running_loop()
    for address in addresses:
        host, _, port = address.rpartition(":")
        await loop.create_server(lambda: BareProtocol(pacer=pacer), host, int(port))
    announcers = [_announcer(address, entry) for address in addresses]
    await asyncio.gather(pacer.run(), *(announcer.run() for announcer in announcers))


def _announcer(address: str, entry: str) -> Announcer:
    description = {
        "id": f"bare-{address}",
        "kind": "engine",
        "models": ["corn-7b"],
        "address": address,
    }
    return Announcer(entries=[entry], describe=lambda: description)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], sys.argv[2:]))
