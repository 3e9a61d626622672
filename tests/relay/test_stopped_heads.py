"""Tests of upstreams and entries that stop within the head of their answer."""

import asyncio
import socket
from unittest import TestCase

import aiohttp
from returns.result import Failure

from poplarlug.relay.client import RelayClient
from poplarlug.sockets import NO_LINGER

HEADS_BY_NAME = {
    "length": b"HTTP/1.1 200 OK\r\nX-Name: x\r\nContent-Length: 5\r\n\r\n",
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Name: x\r\n\r\n",
    "neither": b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
    "bare line feeds": b"HTTP/1.1 200 OK\nContent-Length: 5\n\n",
    "interim": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Name: x\r\n\r\n",
    "no content": b"HTTP/1.1 204 No Content\r\nX-Name: x\r\n\r\n",
    "not modified": b"HTTP/1.1 304 Not Modified\r\nX-Name: x\r\n\r\n",
    "old": b"HTTP/1.0 200 OK\r\nX-Name: x\r\n\r\n",
}
LARGE_HEAD = b"HTTP/1.1 200 OK\r\nX-Name: " + b"x" * 17_000
PAUSE_SECONDS = 0.5


class StoppedHeadTests(TestCase):
    def exchange(self, *parts: bytes, resets: bool, pause: float = 0.0) -> str:
        """Return how an answer ends whose parts are followed by the connection's end."""

        async def talk(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            for part in parts:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(pause)
            if resets:
                client_socket = writer.get_extra_info("socket")
                client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            writer.close()

        async def main() -> str:
            server = await asyncio.start_server(talk, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            client = RelayClient()
            await client.open()
            try:
                sent = await client.send(
                    target=f"{host}:{port}",
                    method="GET",
                    path="/x",
                    headers=(),
                    body=b"",
                    timeout_seconds=5.0,
                )
                if isinstance(sent, Failure):
                    return sent.failure().kind.value
                try:
                    return (await sent.unwrap().read()).decode()
                except aiohttp.ClientError:
                    return "body broken off"
            finally:
                await client.close()
                server.close()
                # The server's connections close in the next iteration.
                await asyncio.sleep(0)

        return asyncio.run(main())

    # Guards against a success with an empty or short body in place of a head that
    # never came whole.
    def test_head_that_stops_is_no_answer(self) -> None:
        """Wherever it stops, by a graceful end and by a reset."""
        for name, head in HEADS_BY_NAME.items():
            for end in range(1, len(head)):
                for resets in (False, True):
                    ended = self.exchange(head[:end], resets=resets)
                    self.assertEqual(ended, "broken", (name, head[:end], resets))

    def test_head_in_two_writes_is_whole(self) -> None:
        """It may arrive in parts, however far apart."""
        head = HEADS_BY_NAME["length"]
        for end in (5, 20, len(head) - 1):
            ended = self.exchange(
                head[:end], head[end:] + b"hello", resets=False, pause=PAUSE_SECONDS
            )
            self.assertEqual(ended, "hello")

    def test_large_head_that_stops_is_no_answer(self) -> None:
        """Neither is one that ends after more than callers may send."""
        for resets in (False, True):
            self.assertEqual(self.exchange(LARGE_HEAD, resets=resets), "broken")
            whole = LARGE_HEAD + b"\r\n\r\n"
            self.assertEqual(self.exchange(whole, resets=resets), "broken")
