"""Tests of the HTTP client for upstreams with pooled connections."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from unittest import TestCase

import aiohttp
from returns.result import Failure

from poplarlug.relay.client import RelayClient, SendErrorKind

HEAD = b"HTTP/1.1 200 OK\r\n"
PATHS = ("/look/7?", "/look?a=b&c=%2f", "//look/../7", "/%7Elook?a?b", "/look#7")

Talk = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class RelayClientTests(TestCase):
    def exchange(self, talk: Talk, *, times: int = 1) -> list[object]:
        """Return the bodies or error types of ``times`` requests."""

        async def main() -> list[object]:
            server = await asyncio.start_server(talk, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            client = RelayClient()
            await client.open()
            results: list[object] = []
            for _ in range(times):
                sent = await client.send(
                    target=f"{host}:{port}",
                    method="GET",
                    path="/x",
                    headers=(),
                    body=b"",
                    timeout_seconds=5.0,
                )
                if isinstance(sent, Failure):
                    results.append(sent.failure().kind)
                    continue
                try:
                    results.append(await sent.unwrap().read())
                except aiohttp.ClientError as error:
                    results.append(type(error))
                await asyncio.sleep(0.05)
            await client.close()
            server.close()
            return results

        return asyncio.run(main())

    def test_answer_without_length_ends_with_its_connection(self) -> None:
        """A graceful close completes a response without a length."""

        async def talk(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + b"\r\nwhole")
            writer.close()

        self.assertEqual(self.exchange(talk), [b"whole"])

    # Guards against an empty query that was dropped on the way to the upstream.
    def test_path_and_query_arrive_as_they_were_sent(self) -> None:
        """The client neither normalizes nor parses them."""

        async def main() -> list[str]:
            lines = []

            async def talk(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                head = await reader.readuntil(b"\r\n\r\n")
                lines.append(head.decode().split("\r\n")[0])
                writer.write(HEAD + b"Connection: close\r\n\r\n")
                writer.close()

            server = await asyncio.start_server(talk, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            client = RelayClient()
            await client.open()
            for path in PATHS:
                sent = await client.send(
                    target=f"{host}:{port}",
                    method="GET",
                    path=path,
                    headers=(),
                    body=b"",
                    timeout_seconds=5.0,
                )
                await sent.unwrap().read()
            await client.close()
            server.close()
            return lines

        expected = [f"GET {path} HTTP/1.1" for path in PATHS]
        self.assertEqual(asyncio.run(main()), expected)

    def test_reset_is_no_end_of_an_answer(self) -> None:
        """A reset connection never completes a truncated response."""

        async def talk(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + b"\r\nhalf")
            await asyncio.sleep(0.1)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            writer.transport.abort()

        self.assertEqual(self.exchange(talk), [aiohttp.ClientPayloadError])

    def test_connection_with_bytes_after_its_answer_is_not_used_again(self) -> None:
        """An unsolicited second response belongs to no request."""

        async def talk(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while not reader.at_eof():
                try:
                    await reader.readuntil(b"\r\n\r\n")
                except asyncio.IncompleteReadError:
                    return
                writer.write(HEAD + b"Content-Length: 4\r\n\r\nmine")
                await asyncio.sleep(0.01)
                writer.write(HEAD + b"Content-Length: 6\r\n\r\nothers")

        self.assertEqual(self.exchange(talk, times=3), [b"mine"] * 3)

    def test_refused_connection_was_not_sent(self) -> None:
        """Only a failed connect guarantees that nothing was sent."""

        async def main() -> object:
            with socket.socket() as free:
                free.bind(("127.0.0.1", 0))
                port = free.getsockname()[1]
            client = RelayClient()
            await client.open()
            sent = await client.send(
                target=f"127.0.0.1:{port}",
                method="GET",
                path="/",
                headers=(),
                body=b"",
                timeout_seconds=1.0,
            )
            await client.close()
            assert isinstance(sent, Failure)
            return sent.failure().kind

        self.assertIs(asyncio.run(main()), SendErrorKind.NOT_SENT)

    # Guards against status 502 for requests to an address that can't be connected to.
    def test_invalid_address_was_not_sent(self) -> None:
        """No byte leaves for an address that isn't part of any URL."""

        async def main() -> set[object]:
            client = RelayClient()
            await client.open()
            kinds = set()
            for target in ("127.0.0.1:80999", "]127.0.0.1[:80", "::1:80", "[::1:80"):
                sent = await client.send(
                    target=target,
                    method="GET",
                    path="/",
                    headers=(),
                    body=b"",
                    timeout_seconds=1.0,
                )
                assert isinstance(sent, Failure)
                kinds.add(sent.failure().kind)
            await client.close()
            return kinds

        self.assertEqual(asyncio.run(main()), {SendErrorKind.NOT_SENT})

    def test_abandoned_request_is_not_sent_further(self) -> None:
        """A peer that reads late gets a reset instead of the complete request."""
        # Guards against requests that reach an upstream long after their caller
        # disconnected, because their bytes were still in the send buffer.
        body = bytes(200_000)
        read: list[int] = []
        ends: list[str] = []

        async def talk(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.transport.pause_reading()
            await asyncio.sleep(0.6)
            writer.transport.resume_reading()
            try:
                while data := await reader.read(65536):
                    read.append(len(data))
                ends.append("closed")
            except ConnectionResetError:
                ends.append("reset")
            writer.close()

        async def main() -> None:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
            sock.bind(("127.0.0.1", 0))
            server = await asyncio.start_server(talk, sock=sock)
            host, port = sock.getsockname()
            client = RelayClient()
            await client.open()
            sending = asyncio.ensure_future(
                client.send(
                    target=f"{host}:{port}",
                    method="POST",
                    path="/x",
                    headers=(),
                    body=body,
                    timeout_seconds=5.0,
                )
            )
            await asyncio.sleep(0.2)
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)
            await asyncio.sleep(1.0)
            await client.close()
            server.close()

        asyncio.run(main())
        self.assertEqual(ends, ["reset"])
        self.assertLess(sum(read), len(body))
