"""Tests of which request a response on a pooled connection is for."""

import asyncio
from typing import Any, cast
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from poplarlug.relay.client import RelayClient
from poplarlug.relay.connections import RelayResponse
from poplarlug.relay.header_names import HeaderNames

HEADER_NAMES = HeaderNames()
EARLY_SECONDS = 0.05


def encode_response(
    request_id: str | None, *, status: int = 200, is_refusal: bool = False
) -> bytes:
    """Return an empty response that names a request."""
    lines = [f"HTTP/1.1 {status} Status", "Content-Length: 0"]
    if request_id is not None:
        lines.append(f"{HEADER_NAMES.request_id}: {request_id}")
    if is_refusal:
        lines.append(f"{HEADER_NAMES.not_executed}: 1")
    else:
        lines.append(f"{HEADER_NAMES.signature}: signed")
    return "\r\n".join([*lines, "", ""]).encode()


class ConnectionTestCase(IsolatedAsyncioTestCase):
    """
    Send requests to a server that writes prepared responses.

    Attributes
    ----------
    greeting : bytes
        Written when a connection is made.
    responses : list of bytes
        Written for the requests in their order, whatever their connection.
    connections : int
        Number of connections that the server accepted.
    """

    async def asyncSetUp(self) -> None:
        self.greeting = b""
        self.responses: list[bytes] = []
        self.connections = 0
        server = await asyncio.start_server(self._talk, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self.client = RelayClient(header_names=HEADER_NAMES)
        await self.client.open()
        self.addAsyncCleanup(self.client.close)

    async def _talk(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        writer.write(self.greeting)
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(self.responses.pop(0))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def send(self, request_id: str) -> RelayResponse:
        """Send a request, and read its response to the end."""
        sent = await self.client.send(
            target=self.address,
            method="GET",
            path="/x",
            headers=((HEADER_NAMES.request_id, request_id),),
            body=b"",
            timeout_seconds=5.0,
        )
        response = sent.unwrap()
        await response.read()
        response.close()
        return response


class ResponseSourceTests(ConnectionTestCase):
    async def test_source_tells_the_request_and_the_exchange(self) -> None:
        """The log line of a request shows both."""
        self.responses = [
            encode_response("r-1"),
            encode_response("r-1"),
            encode_response(None),
        ]
        sources = [(await self.send(f"r-{number}")).source for number in (1, 2, 3)]
        self.assertEqual(
            [source.names_request for source in sources], [True, False, None]
        )
        self.assertEqual([source.exchange for source in sources], [1, 2, 3])

    async def test_source_tells_of_bytes_before_the_request(self) -> None:
        """They can't be the response to it."""
        self.greeting = encode_response("r-1")
        self.responses = [encode_response("r-1")] * 2
        connector = cast(Any, self.client._session).connector
        connect = connector.connect

        async def connect_late(*arguments: Any, **options: Any) -> Any:
            connection = await connect(*arguments, **options)
            await asyncio.sleep(EARLY_SECONDS)
            return connection

        with patch.object(connector, "connect", connect_late):
            self.assertTrue((await self.send("r-1")).source.has_early_bytes)
