"""Tests of upstreams' replies to orders that their connection ends too early."""

import asyncio
from contextlib import suppress
from typing import Any
from unittest import TestCase

from poplarlug.control.order_endpoint import (
    MAX_REPLY_BYTES,
    HttpOrderEndpoint,
    OrderReply,
)
from poplarlug.control.orders import FencingNumber, OrderRequest, OrderStatus
from poplarlug.sockets import reset_connection

ORDER = OrderRequest("o-1", "quito-a", "u-1", "load", "corn-7b")
LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class OrderReplyTests(TestCase):
    def send(self, *parts: bytes, end: str = "closes") -> OrderReply:
        """Return the reply to an order that is answered with ``parts`` and the end."""

        async def talk(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            try:
                await reader.readuntil(b"0\r\n\r\n")
            except asyncio.IncompleteReadError:
                # Only looks whether somebody listens.
                writer.close()
                return
            # The caller may close the connection first.
            with suppress(ConnectionError):
                for part in parts:
                    writer.write(part)
                    await writer.drain()
                    await asyncio.sleep(0.02)
                if end == "ends":
                    server.close()
                if end == "resets":
                    reset_connection(writer.transport)
                writer.close()
                await writer.wait_closed()
            ended.set()

        async def main() -> OrderReply:
            nonlocal server
            server = await asyncio.start_server(talk, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            async with server:
                reply = await HttpOrderEndpoint().send(
                    address=f"{host}:{port}",
                    order=ORDER,
                    fencing=FencingNumber(1, 1),
                    may_send=lambda: True,
                    timeout_seconds=5.0,
                )
                await ended.wait()
                # The probe of the address ends, too.
                await asyncio.sleep(0.01)
            return reply

        server: Any = None
        ended = asyncio.Event()
        return asyncio.run(main())

    def test_whole_reply_is_read_to_its_end(self) -> None:
        """It comes in two parts."""
        done = OrderReply(OrderStatus.DONE, "half whole")
        self.assertEqual(self.send(LENGTH, b"half ", b"whole"), done)
        chunks = (b"5\r\nhalf \r\n", b"5\r\nwhole\r\n0\r\n\r\n")
        self.assertEqual(self.send(CHUNKED, *chunks), done)

    # Guards against orders that count as done by half a reply.
    def test_reply_that_is_cut_short_is_unknown(self) -> None:
        """Within its head, its body, or before the last chunk."""
        for parts in (
            (b"",),
            (LENGTH[:-2],),
            (LENGTH,),
            (LENGTH, b"half "),
            (CHUNKED, b"5\r\nhalf \r\n"),
        ):
            self.assertIs(self.send(*parts).status, OrderStatus.UNKNOWN, parts)

    # Guards against orders that count as done as their upstream ended in its reply.
    def test_reply_without_framing_needs_its_upstream(self) -> None:
        """Only its connection ends it: by a reset, by its end, or by its upstream."""
        for end, status in (
            ("resets", OrderStatus.UNKNOWN),
            ("ends", OrderStatus.UNKNOWN),
            ("closes", OrderStatus.DONE),
        ):
            self.assertIs(self.send(UNFRAMED, b"half", end=end).status, status, end)

    # Guards against replicas that read an upstream's bytes without end.
    def test_reply_without_end_is_unknown(self) -> None:
        """Interim replies, or a body that is too long; neither is read further."""
        whole = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
        for parts in (
            (b"HTTP/1.1 100 Continue\r\n\r\n" * 1000, LENGTH, b"half whole"),
            (whole % (MAX_REPLY_BYTES + 1) + b"x" * (MAX_REPLY_BYTES + 1),),
        ):
            self.assertIs(self.send(*parts).status, OrderStatus.UNKNOWN)
        most = whole % MAX_REPLY_BYTES + b"x" * MAX_REPLY_BYTES
        self.assertIs(self.send(most).status, OrderStatus.DONE)
