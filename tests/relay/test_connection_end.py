"""Tests of who ended a connection, and what that makes of the response on it."""

import asyncio
from collections.abc import Awaitable, Callable
from itertools import product
from typing import NamedTuple
from unittest import IsolatedAsyncioTestCase

import aiohttp
from returns.result import Result

from poplarlug.relay.client import RelayClient, SendError, SendErrorKind
from poplarlug.relay.connections import (
    ClosedHereError,
    ConnectionEnd,
    RelayResponse,
)
from poplarlug.sockets import reset_connection

FRAMINGS = (b"", b"Content-Length: 100\r\n", b"Transfer-Encoding: chunked\r\n")
PART = b"5\r\nparts\r\n"
SETTLE_SECONDS = 0.02
WAIT_SECONDS = 2.0


class End(NamedTuple):
    """A way to end a connection, who then ended it, and whether a body can be whole."""

    run: Callable[["ConnectionEndTests", RelayResponse], Awaitable[None]]
    by: ConnectionEnd
    may_be_whole: bool = False


class ConnectionEndTests(IsolatedAsyncioTestCase):
    """A server sends the head and a part of the body, and waits."""

    async def asyncSetUp(self) -> None:
        self.head = b""
        self.writers: list[asyncio.StreamWriter] = []
        server = await asyncio.start_server(self._talk, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self.addAsyncCleanup(self.close_server_side)

    async def close_server_side(self) -> None:
        for writer in self.writers:
            writer.transport.abort()
        await asyncio.sleep(0)

    async def open_client(self) -> RelayClient:
        client = RelayClient()
        await client.open()
        self.addAsyncCleanup(client.close)
        return client

    async def _talk(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.append(writer)
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.head)

    async def send(self, client: RelayClient) -> Result[RelayResponse, SendError]:
        return await client.send(
            target=self.address,
            method="GET",
            path="/x",
            headers=(),
            body=b"",
            timeout_seconds=WAIT_SECONDS,
        )

    async def close_client(self, response: RelayResponse) -> None:
        await self.client.close()

    async def close_transport(self, response: RelayResponse) -> None:
        transport(response).close()

    async def abort_transport(self, response: RelayResponse) -> None:
        transport(response).abort()

    async def close_at_peer(self, response: RelayResponse) -> None:
        self.writers[-1].close()

    async def reset_at_peer(self, response: RelayResponse) -> None:
        reset_connection(self.writers[-1].transport)

    # Guards against answers that ended as whole because this process closed them.
    async def test_only_the_end_of_the_peer_ends_a_body(self) -> None:
        """Each end, for each framing: an error, at once, unless the peer ended it."""
        ends = (
            End(ConnectionEndTests.close_client, ConnectionEnd.CLOSED_HERE),
            End(ConnectionEndTests.close_transport, ConnectionEnd.CLOSED_HERE),
            End(ConnectionEndTests.abort_transport, ConnectionEnd.CLOSED_HERE),
            End(ConnectionEndTests.reset_at_peer, ConnectionEnd.LOST),
            End(ConnectionEndTests.close_at_peer, ConnectionEnd.PEER, True),
        )
        for framing, is_awaited in product(FRAMINGS, (True, False)):
            self.head = b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n" + PART
            for end in ends:
                self.client = await self.open_client()
                response = (await self.send(self.client)).unwrap()
                reading = None
                if is_awaited:
                    reading = asyncio.ensure_future(response.read())
                await asyncio.sleep(SETTLE_SECONDS)
                await end.run(self, response)
                await asyncio.sleep(SETTLE_SECONDS)
                # A reader that waits for its caller comes later.
                reading = reading or asyncio.ensure_future(response.read())
                async with asyncio.timeout(WAIT_SECONDS):
                    await asyncio.wait({reading})
                what = framing, is_awaited, end.run.__name__
                self.assertIs(response.connection_end, end.by, what)
                error = reading.exception()
                if end.may_be_whole and not framing:
                    self.assertIsNone(error, what)
                    continue
                self.assertIsInstance(error, aiohttp.ClientError, what)
                is_own = isinstance(error, ClosedHereError)
                self.assertEqual(is_own, end.by is ConnectionEnd.CLOSED_HERE, what)

    async def test_close_before_a_head_tells_nothing_of_the_upstream(self) -> None:
        """Its send may have run, and its connection wasn't lost."""
        client = await self.open_client()
        sending = asyncio.ensure_future(self.send(client))
        await asyncio.sleep(SETTLE_SECONDS)
        await client.close()
        async with asyncio.timeout(WAIT_SECONDS):
            sent = await sending
        self.assertIs(sent.failure().kind, SendErrorKind.CLOSED_HERE)

    # Guards against a send through a closed client that ended in a traceback.
    async def test_closed_client_sends_nothing(self) -> None:
        """Its request has run nowhere."""
        client = await self.open_client()
        await client.close()
        sent = await self.send(client)
        self.assertIs(sent.failure().kind, SendErrorKind.NOT_SENT)
        self.assertEqual(self.writers, [])


def transport(response: RelayResponse) -> asyncio.Transport:
    connection = response.connection
    assert connection is not None
    assert isinstance(connection.transport, asyncio.Transport)
    return connection.transport
