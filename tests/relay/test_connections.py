"""Tests of which request a response on a pooled connection is for."""

import asyncio
from typing import Any, cast
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from returns.primitives.exceptions import UnwrapFailedError

from poplarlug.relay.client import RelayClient, SendErrorKind
from poplarlug.relay.connections import MAX_REFUSALS, RelayResponse
from poplarlug.relay.header_names import HeaderNames
from poplarlug.types import Seconds

HEADER_NAMES = HeaderNames()
EARLY_SECONDS = 0.05

LONG_BODY_BYTES = 1024 * 1024
"""More than the client reads at a time."""


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
    later : bytes
        Written a moment after the first response.
    connections : int
        Number of connections that the server accepted.
    """

    async def asyncSetUp(self) -> None:
        self.greeting = b""
        self.responses: list[bytes] = []
        self.later = b""
        self.connections = 0
        server = await asyncio.start_server(self._talk, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self.client = RelayClient(header_names=HEADER_NAMES)
        await self.client.open()
        # The server sees the end of its connections before the loop ends.
        self.addAsyncCleanup(asyncio.sleep, EARLY_SECONDS / 5)
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
                if self.later:
                    await asyncio.sleep(EARLY_SECONDS / 5)
                    writer.write(self.later)
                    self.later = b""
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def send(
        self, request_id: str, *, timeout_seconds: Seconds = 5.0
    ) -> RelayResponse:
        """Send a request, and read its response to the end."""
        sent = await self.client.send(
            target=self.address,
            method="GET",
            path="/x",
            headers=((HEADER_NAMES.request_id, request_id),),
            body=b"",
            timeout_seconds=timeout_seconds,
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
        # A connection isn't kept after a response that is for another request.
        self.assertEqual([source.exchange for source in sources], [1, 2, 1])

    async def test_bytes_before_the_request_are_no_response_to_it(self) -> None:
        """Not even on a new connection, if they name no request."""
        self.greeting = encode_response(None, status=503, is_refusal=True)
        self.responses = [encode_response("r-1")] * 2
        connector = cast(Any, self.client._session).connector
        connect = connector.connect

        async def connect_late(*arguments: Any, **options: Any) -> Any:
            connection = await connect(*arguments, **options)
            await asyncio.sleep(EARLY_SECONDS)
            return connection

        with patch.object(connector, "connect", connect_late):
            source = (await self.send("r-1")).source
        self.assertTrue(source.has_early_bytes)
        self.assertFalse(source.is_reliable)


class RefusalTests(ConnectionTestCase):
    async def test_refusal_that_names_its_request_is_believed(self) -> None:
        """Also one of many on a kept connection."""
        ids = [f"r-{number}" for number in range(9)]
        self.responses = [
            encode_response(request_id, status=503, is_refusal=True)
            for request_id in ids
        ]
        sources = [(await self.send(request_id)).source for request_id in ids]
        self.assertTrue(all(s.is_refusal and s.is_reliable for s in sources))
        self.assertEqual(self.connections, 1)

    async def test_refusal_without_id_is_believed_on_a_new_connection(self) -> None:
        """On a kept one it may be an earlier one, written once more."""
        refusal = encode_response(None, status=503, is_refusal=True)
        self.responses = [refusal, refusal, encode_response("r-3"), refusal]
        sources = [(await self.send(f"r-{number}")).source for number in (1, 2, 3, 4)]
        self.assertEqual([s.is_reliable for s in sources], [True, True, True, False])
        self.assertEqual([s.exchange for s in sources], [1, 1, 1, 2])

    async def test_refused_request_is_not_sent_again_on_its_connection(self) -> None:
        """The id could not tell an old refusal from a new one."""
        refusal = encode_response("r-1", status=503, is_refusal=True)
        self.responses = [refusal, encode_response("r-1")]
        for _ in range(2):
            self.assertEqual((await self.send("r-1")).source.exchange, 1)

    async def test_refusal_before_an_answer_is_not_believed(self) -> None:
        """The answer to the request shows that it ran."""
        refusal = encode_response("r-1", status=503, is_refusal=True)
        self.responses = [refusal + encode_response("r-1")]
        self.assertFalse((await self.send("r-1")).source.is_reliable)

    # Guards against old refusals that are believed because the first was not read.
    async def test_refusal_after_an_abandoned_send_is_not_believed(self) -> None:
        """It may be that of the first send."""
        self.responses = [b"", encode_response("r-1", status=503, is_refusal=True)]
        with self.assertRaises(UnwrapFailedError):
            await self.send("r-1", timeout_seconds=EARLY_SECONDS)
        source = (await self.send("r-1")).source
        self.assertEqual((source.names_request, source.is_reliable), (True, False))

    # Guards against answers behind a disbelieved refusal that meet another request.
    async def test_connection_is_not_used_after_a_refusal_that_is_not_believed(
        self,
    ) -> None:
        """The answer to the refused request may follow there."""
        refusal = encode_response("r-1", status=503, is_refusal=True)
        self.responses = [refusal, refusal, encode_response("r-2")]
        for _ in range(2):
            await self.send("r-1")
        self.assertEqual((await self.send("r-2")).source.exchange, 1)

    async def test_refusal_after_an_answer_is_believed(self) -> None:
        """The first send was not refused, so it is no copy of an earlier refusal."""
        refusal = encode_response("r-1", status=503, is_refusal=True)
        self.responses = [encode_response("r-1"), refusal]
        await self.send("r-1")
        self.assertTrue((await self.send("r-1")).source.is_reliable)

    async def test_second_copy_does_not_contradict_a_refusal(self) -> None:
        """It is no answer to the next request either."""
        refusal = encode_response("r-1", status=503, is_refusal=True)
        self.responses = [refusal * 2, encode_response("r-2")]
        self.assertTrue((await self.send("r-1")).source.is_reliable)
        source = (await self.send("r-2")).source
        self.assertEqual((source.names_request, source.exchange), (True, 1))

    async def test_part_of_a_response_between_requests_ends_a_connection(self) -> None:
        """Its rest would be read as the response to the next request."""
        refusal = encode_response("r-2", status=503, is_refusal=True)
        self.responses = [encode_response("r-1"), refusal[9:] + encode_response("r-2")]
        self.later = refusal[:9]
        await self.send("r-1")
        await asyncio.sleep(EARLY_SECONDS)
        self.responses[0] = encode_response("r-2")
        source = (await self.send("r-2")).source
        self.assertEqual((source.is_refusal, source.exchange), (False, 1))

    async def test_switch_of_protocols_is_no_answer(self) -> None:
        """No request asks for one; it isn't taken for an interim response."""
        self.responses = [encode_response("r-1", status=101), encode_response("r-2")]
        sent = await self.client.send(
            target=self.address,
            method="GET",
            path="/x",
            headers=((HEADER_NAMES.request_id, "r-1"),),
            body=b"",
            timeout_seconds=5.0,
        )
        self.assertIs(sent.failure().kind, SendErrorKind.BROKEN)
        self.assertEqual((await self.send("r-2")).source.exchange, 1)

    async def test_connection_is_kept_after_a_long_response(self) -> None:
        """Reading is paused and resumed within it."""
        body = bytes(LONG_BODY_BYTES)
        head = encode_response("r-1").replace(b": 0", b": %d" % len(body))
        self.responses = [head + body] * 3
        for _ in self.responses.copy():
            await self.send("r-1")
        self.assertEqual(self.connections, 1)

    async def test_connection_remembers_a_bounded_number_of_refusals(self) -> None:
        """It is closed then."""
        ids = [f"r-{number}" for number in range(MAX_REFUSALS + 1)]
        self.responses = [
            encode_response(request_id, status=503, is_refusal=True)
            for request_id in ids
        ]
        for request_id in ids:
            await self.send(request_id)
        self.assertEqual(self.connections, 2)
